//! Measures how CPU time, memory and traffic of each part grow with its size.

mod bundle;
mod claims;
mod cluster;
mod codec;
mod deployment;
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

/// Part of the router that is measured on its own.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Part {
    /// Failure detection between routers.
    Membership,
    /// Encoding and authentication of messages between routers.
    Codec,
    /// Propagation of news from one router to all others.
    Spread,
    /// Map of shards and homes that each router keeps.
    Shards,
    /// Renewal of leases by the home of the upstreams.
    Home,
    /// Admission and dispatch of requests.
    Request,
    /// Claims of idempotency keys.
    Claims,
    /// Parsing and comparison of bundles.
    Bundle,
}

impl Part {
    /// All parts, in the order in which they are measured.
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

    /// Runs the measurements of the part and returns one series for each quantity.
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

/// Expected dependence of a value on the size, which selects how the series is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trend {
    /// The value grows with the size. It is printed with the slope and the intercept.
    Growing,
    /// The value hardly depends on the size. It is printed with the mean.
    Flat,
}

/// Values of one quantity, measured at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    name: &'static str,
    value_unit: &'static str,
    size_unit: &'static str,
    trend: Trend,
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
            trend: Trend::Growing,
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
            trend: Trend::Flat,
            ..Self::new(name, value_unit, size_unit)
        }
    }

    pub(crate) fn push(&mut self, size: usize, value: f64) {
        self.points.push(Point {
            size: size as f64,
            value,
        });
    }

    /// Returns the least-squares line through the points.
    pub fn line(&self) -> Line {
        Line::through(&self.points)
    }

    /// Returns the mean of the values over all sizes.
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
        match self.trend {
            Trend::Growing => write!(
                f,
                "  slope {:.4} {} per {}, intercept {:.3}, r2 {:.4}",
                line.slope, self.value_unit, self.size_unit, line.intercept, line.r_squared
            ),
            Trend::Flat => write!(
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

/// Returns a duration in microseconds.
pub(crate) fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
