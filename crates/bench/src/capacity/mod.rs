//! Cost of the decisions as lines over their size.

mod bundle;
mod claims;
mod codec;
mod deployment;
mod fleet;
mod home;
mod membership;
mod names;
mod request;
mod shards;
mod spread;

use std::fmt;
use std::time::Duration;

use derive_more::Display;

use crate::fit::{Line, Point};

/// Part of the product that is measured.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Part {
    /// Failure detection.
    Membership,
    /// Encoding and authentication of messages.
    Codec,
    /// Spreading of news.
    Spread,
    /// Map of shards and homes.
    Shards,
    /// Leases that a home renews.
    Home,
    /// Admission and dispatch of requests.
    Request,
    /// Claims of idempotency keys.
    Claims,
    /// Reading and comparing of bundles.
    Bundle,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 8] = [
        Self::Membership,
        Self::Codec,
        Self::Spread,
        Self::Shards,
        Self::Home,
        Self::Request,
        Self::Claims,
        Self::Bundle,
    ];

    /// Measures all series of the part.
    pub fn measure(self) -> Vec<Series> {
        match self {
            Self::Membership => membership::measure(),
            Self::Codec => codec::measure(),
            Self::Spread => spread::measure(),
            Self::Shards => shards::measure(),
            Self::Home => home::measure(),
            Self::Request => request::measure(),
            Self::Claims => claims::measure(),
            Self::Bundle => bundle::measure(),
        }
    }
}

/// How a value depends on the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shape {
    /// It grows with the size.
    Growing,
    /// It hardly depends on the size.
    Flat,
}

/// Value of one kind at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    name: &'static str,
    value_unit: &'static str,
    size_unit: &'static str,
    shape: Shape,
    points: Vec<Point>,
}

impl Series {
    /// Creates a series of values that grow with the size.
    pub(crate) fn new(
        name: &'static str,
        value_unit: &'static str,
        size_unit: &'static str,
    ) -> Self {
        let points = Vec::new();
        Self {
            name,
            value_unit,
            size_unit,
            shape: Shape::Growing,
            points,
        }
    }

    /// Creates a series of values that hardly depend on the size.
    pub(crate) fn flat(
        name: &'static str,
        value_unit: &'static str,
        size_unit: &'static str,
    ) -> Self {
        Self {
            shape: Shape::Flat,
            ..Self::new(name, value_unit, size_unit)
        }
    }

    pub(crate) fn push(&mut self, size: usize, value: f64) {
        self.points.push(Point {
            size: size as f64,
            value,
        });
    }

    /// Returns the line through the points.
    pub fn line(&self) -> Line {
        Line::through(&self.points)
    }

    /// Returns the mean of the values.
    pub fn mean(&self) -> f64 {
        let sum: f64 = self.points.iter().map(|point| point.value).sum();
        sum / self.points.len() as f64
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.name)?;
        for point in &self.points {
            write!(f, " {}={:.3}", point.size, point.value)?;
        }
        writeln!(f, " [{} over {}]", self.value_unit, self.size_unit)?;
        let line = self.line();
        match self.shape {
            Shape::Growing => write!(
                f,
                "  slope {:.4} {} per {}, intercept {:.3}, r2 {:.4}",
                line.slope, self.value_unit, self.size_unit, line.intercept, line.r_squared
            ),
            Shape::Flat => write!(
                f,
                "  flat, mean {:.4} {}, slope {:.6}, r2 {:.4}",
                self.mean(),
                self.value_unit,
                line.slope,
                line.r_squared
            ),
        }
    }
}

/// Returns a span in microseconds.
pub(crate) fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
