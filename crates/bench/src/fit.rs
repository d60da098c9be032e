//! Linear regression through measured points.

/// Value that was measured at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size at which the value was measured, such as a number of members.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

impl From<(f64, f64)> for Point {
    fn from((size, value): (f64, f64)) -> Self {
        Self { size, value }
    }
}

/// Straight line that is fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Coefficient of determination, the share of the variance that the line explains. It
    /// is at most 1, and 1 if all values are equal.
    pub r_squared: f64,
}

impl Line {
    /// Returns the least-squares line through `points`.
    ///
    /// # Panics
    ///
    /// Panics if the points have fewer than two distinct sizes.
    ///
    /// ```
    /// use eelgrassrock_bench::fit::{Line, Point};
    ///
    /// let line = Line::through(&[(0.0, 1.0), (10.0, 21.0)].map(Point::from));
    /// assert_eq!((line.slope, line.intercept, line.r_squared), (2.0, 1.0, 1.0));
    /// ```
    pub fn through(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean_of = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean_of(|point| point.size), mean_of(|point| point.value));
        // Sums of squares and products of the deviations from the mean. They aren't divided
        // by the count, which cancels out below.
        let size_variation: f64 = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum();
        assert!(
            size_variation > 0.0,
            "a line needs at least two distinct sizes"
        );
        let covariation: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        let value_variation: f64 = points
            .iter()
            .map(|point| (point.value - mean_value).powi(2))
            .sum();
        let slope = covariation / size_variation;
        let r_squared = if value_variation == 0.0 {
            1.0
        } else {
            slope * covariation / value_variation
        };
        Self {
            slope,
            intercept: mean_value - slope * mean_size,
            r_squared,
        }
    }
}
