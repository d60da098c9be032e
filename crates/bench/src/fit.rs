//! Straight lines through measured points.

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size at which it was made.
    pub size: f64,
    /// Value that it gave.
    pub value: f64,
}

impl From<(f64, f64)> for Point {
    fn from((size, value): (f64, f64)) -> Self {
        Self { size, value }
    }
}

/// Straight line with the least squared distance from points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Share of the variance that the line explains, at most 1. A line through
    /// equal values explains all.
    pub r_squared: f64,
}

impl Line {
    /// Returns the line through `points`.
    ///
    /// # Panics
    ///
    /// Panics without at least two sizes.
    ///
    /// ```
    /// use eelgrassrock_bench::fit::{Line, Point};
    ///
    /// let line = Line::through(&[(0.0, 1.0), (10.0, 21.0)].map(Point::from));
    /// assert_eq!((line.slope, line.intercept, line.r_squared), (2.0, 1.0, 1.0));
    /// ```
    pub fn through(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (size, value) = (mean(|point| point.size), mean(|point| point.value));
        let spread: f64 = points.iter().map(|point| (point.size - size).powi(2)).sum();
        assert!(spread > 0.0, "a line needs at least two sizes");
        let shared: f64 = points
            .iter()
            .map(|point| (point.size - size) * (point.value - value))
            .sum();
        let total: f64 = points
            .iter()
            .map(|point| (point.value - value).powi(2))
            .sum();
        let slope = shared / spread;
        let r_squared = if total == 0.0 {
            1.0
        } else {
            slope * shared / total
        };
        Self {
            slope,
            intercept: value - slope * size,
            r_squared,
        }
    }
}
