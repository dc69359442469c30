use std::path::Path;

use plotters::prelude::*;

use super::run::{Course, STEPS, Scheme};

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (1200, 760);
/// Panels in a row and in a column.
const PANELS: (usize, usize) = (2, 3);

/// Draws the skew of each interval, a panel for each workload.
pub(crate) fn draw(path: &Path, courses: &[&Course]) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, course) in root.split_evenly(PANELS).iter().zip(courses) {
        panel(area, course)?;
    }
    root.present()?;
    Ok(())
}

fn panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    course: &Course,
) -> anyhow::Result<()> {
    let lines = course.results.iter().map(|(scheme, result)| {
        let means = result
            .skews
            .chunks(STEPS)
            .map(|c| c.iter().sum::<f64>() / c.len() as f64);
        (*scheme, means.collect::<Vec<f64>>())
    });
    let lines: Vec<(Scheme, Vec<f64>)> = lines.collect();
    let top = lines
        .iter()
        .flat_map(|(_, l)| l)
        .copied()
        .fold(1.1, f64::max);
    let width = lines.first().map_or(1, |(_, l)| l.len());
    let title = format!("{}, {} ranks", course.workload.name(), course.ranks);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..width as f64, 1.0..top)?;
    chart
        .configure_mesh()
        .x_desc("interval")
        .y_desc("skew")
        .draw()?;
    for (scheme, line) in lines {
        let colour = colour(scheme);
        let points = line.iter().enumerate().map(|(i, skew)| (i as f64, *skew));
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(scheme.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

const fn colour(scheme: Scheme) -> RGBColor {
    match scheme {
        Scheme::Fixed => RGBColor(150, 150, 150),
        Scheme::Full => RGBColor(30, 90, 200),
        Scheme::Planner => RGBColor(200, 60, 30),
    }
}
