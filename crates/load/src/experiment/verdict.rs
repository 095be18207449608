//! What an experiment found, beside its bound.

use std::fmt;

use hibiscusrail_macros::{id, record};
use serde::Serialize;

/// Which side of the bound is good.
#[id]
#[derive(Serialize)]
pub enum Side {
    /// The bound is the most allowed.
    AtMost,
    /// The bound is the least allowed.
    AtLeast,
}

/// One measured figure and its bound.
#[record]
#[derive(Serialize)]
pub struct Verdict {
    /// What was measured.
    pub name: String,
    /// The figure.
    pub measured: f64,
    /// The stated target.
    pub bound: f64,
    /// Which side of the bound is good.
    pub side: Side,
    /// Whether the figure is on the good side.
    pub ok: bool,
}

impl Verdict {
    /// Judges a figure that may be as high as `bound`.
    #[must_use]
    pub fn at_most(name: &str, measured: f64, bound: f64) -> Self {
        Self {
            name: name.to_owned(),
            measured,
            bound,
            side: Side::AtMost,
            // A figure that is no number is on no side.
            ok: measured <= bound,
        }
    }

    /// Judges a figure that has to reach `bound`.
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
