/// Straight line through measured points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fit {
    /// Growth for each unit of size.
    pub(crate) slope: f64,
    /// Value at size zero.
    pub(crate) base: f64,
    /// Worst distance of a point from the line, as a share of the largest value.
    pub(crate) worst: f64,
}

impl Fit {
    /// Fits a line by least squares to points of size and value.
    pub(crate) fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
        let base = y - slope * x;
        let distance = |p: &(f64, f64)| (p.1 - base - slope * p.0).abs();
        let largest = points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let worst = points.iter().map(distance).fold(0.0, f64::max) / largest;
        Self { slope, base, worst }
    }
}

/// Prints the points and the line through them.
pub(crate) fn print(what: &str, unit: &str, points: &[(f64, f64)]) {
    let Fit { slope, base, worst } = Fit::of(points);
    let percent = worst * 100.0;
    println!("{what}: {slope:.3} {unit}, {base:.1} at zero, {percent:.0}% off at worst");
    for (size, value) in points {
        println!("    {size:>9} {value:>14.1}");
    }
}
