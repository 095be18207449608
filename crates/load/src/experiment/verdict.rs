//! Compares measured figures with their bounds.

use std::fmt;

use hibiscusrail_macros::{id, record};
use serde::Serialize;

/// Direction of a bound.
#[id]
#[derive(Serialize)]
pub enum Side {
    /// The bound is a maximum.
    AtMost,
    /// The bound is a minimum.
    AtLeast,
}

/// One measured figure and its bound.
#[record]
#[derive(Serialize)]
pub struct Verdict {
    /// Name of the figure.
    pub name: String,
    /// Measured value.
    pub measured: f64,
    /// Maximum or minimum value.
    pub bound: f64,
    /// Whether the bound is a maximum or a minimum.
    pub side: Side,
    /// Whether the value is within the bound.
    pub ok: bool,
}

impl Verdict {
    /// Compares a value with a maximum.
    #[must_use]
    pub fn at_most(name: &str, measured: f64, bound: f64) -> Self {
        Self {
            name: name.to_owned(),
            measured,
            bound,
            side: Side::AtMost,
            // False for NaN.
            ok: measured <= bound,
        }
    }

    /// Compares a value with a minimum.
    #[must_use]
    pub fn at_least(name: &str, measured: f64, bound: f64) -> Self {
        Self {
            name: name.to_owned(),
            measured,
            bound,
            side: Side::AtLeast,
            ok: measured >= bound,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.ok { "ok" } else { "short" };
        let (name, measured, bound) = (&self.name, self.measured, self.bound);
        write!(f, "{name} measured={measured:.4} bound={bound} {word}")
    }
}
