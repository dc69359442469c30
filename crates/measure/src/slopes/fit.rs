/// Straight line that is fitted to points of size and value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fit {
    /// Increase in value per unit of size.
    pub(crate) slope: f64,
    /// Value at size zero.
    pub(crate) intercept: f64,
    /// Largest distance of a value from the line, as a share of the largest value.
    pub(crate) max_deviation: f64,
}

impl Fit {
    pub(crate) fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let x_variation: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = points
            .iter()
            .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
            .sum::<f64>()
            / x_variation;
        let intercept = mean_y - slope * mean_x;
        let deviation = |p: &(f64, f64)| (p.1 - intercept - slope * p.0).abs();
        let max_value = points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let max_deviation = points.iter().map(deviation).fold(0.0, f64::max) / max_value;
        Self {
            slope,
            intercept,
            max_deviation,
        }
    }
}

/// Prints the fitted line and the points.
pub(crate) fn print_fit(subject: &str, unit: &str, points: &[(f64, f64)]) {
    let Fit {
        slope,
        intercept,
        max_deviation,
    } = Fit::least_squares(points);
    let percent = max_deviation * 100.0;
    println!("{subject}: {slope:.3} {unit}, {intercept:.1} at zero, {percent:.0}% off at worst");
    for (size, value) in points {
        println!("    {size:>9} {value:>14.1}");
    }
}
