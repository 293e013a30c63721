//! A straight line through measured points, by least squares.

/// `value = slope x count + constant`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// What one more costs.
    pub slope: f64,
    /// What there is with none.
    pub constant: f64,
    /// Root of the mean square of what the line misses, as a part of the largest value.
    pub residual: f64,
    /// The smallest and the largest count.
    pub range: [f64; 2],
}

/// Fits points of count and value; `None` for fewer than two counts.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let n = points.len() as f64;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(&|p| p.0), mean(&|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>() / spread;
    let constant = mean_y - slope * mean_x;
    let missed = points.iter().map(|p| (p.1 - slope * p.0 - constant).powi(2)).sum::<f64>() / n;
    let largest = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let least = points.iter().map(|p| p.0).fold(f64::MAX, f64::min);
    let most = points.iter().map(|p| p.0).fold(f64::MIN, f64::max);
    Some(Fit { slope, constant, residual: missed.sqrt() / largest, range: [least, most] })
}

impl Fit {
    /// The value at a count.
    pub fn at(&self, count: f64) -> f64 {
        self.slope * count + self.constant
    }
}

#[cfg(test)]
mod tests;
