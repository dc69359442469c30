use std::path::Path;

use plotters::prelude::*;

use super::run::{Run, SAMPLED_STEPS, Scheme};

/// Width and height of the plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (1200, 760);
/// Rows and columns of panels.
const PANEL_GRID: (usize, usize) = (2, 3);

/// Draws the mean skew of each interval, with one panel per run.
pub(crate) fn draw(path: &Path, runs: &[&Run]) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, run) in root.split_evenly(PANEL_GRID).iter().zip(runs) {
        draw_panel(area, run)?;
    }
    root.present()?;
    Ok(())
}

fn draw_panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    run: &Run,
) -> anyhow::Result<()> {
    let lines = run.outcomes.iter().map(|(scheme, outcome)| {
        let means = outcome
            .skews
            .chunks(SAMPLED_STEPS)
            .map(|c| c.iter().sum::<f64>() / c.len() as f64);
        (*scheme, means.collect::<Vec<f64>>())
    });
    let lines: Vec<(Scheme, Vec<f64>)> = lines.collect();
    let max_skew = lines
        .iter()
        .flat_map(|(_, l)| l)
        .copied()
        .fold(1.1, f64::max);
    let width = lines.first().map_or(1, |(_, l)| l.len());
    let title = format!("{}, {} ranks", run.workload.name(), run.ranks);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..width as f64, 1.0..max_skew)?;
    chart
        .configure_mesh()
        .x_desc("interval")
        .y_desc("skew")
        .draw()?;
    for (scheme, line) in lines {
        let color = line_color(scheme);
        let points = line.iter().enumerate().map(|(i, skew)| (i as f64, *skew));
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(scheme.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

const fn line_color(scheme: Scheme) -> RGBColor {
    match scheme {
        Scheme::Fixed => RGBColor(150, 150, 150),
        Scheme::Full => RGBColor(30, 90, 200),
        Scheme::Planner => RGBColor(200, 60, 30),
    }
}
