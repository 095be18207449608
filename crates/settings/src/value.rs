//! Types of settings' values: how each is parsed and which values are allowed.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hibiscusrail_fleet::model::Learn;

/// A type that a setting's value can have.
pub trait Value: Sized {
    /// Description of the allowed values, for error messages.
    const ALLOWED: &'static str;

    /// Parses a value; returns `None` if the text is malformed or the value is not allowed.
    fn parse(text: &str) -> Option<Self>;
}

impl Value for String {
    const ALLOWED: &'static str = "a non-empty string";

    fn parse(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| text.to_owned())
    }
}

impl Value for SocketAddr {
    const ALLOWED: &'static str = "an IP address and a port above 0, such as 127.0.0.1:8080";

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok().filter(|a: &Self| a.port() > 0)
    }
}

impl Value for PathBuf {
    const ALLOWED: &'static str = "a file path";

    fn parse(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| text.into())
    }
}

impl Value for Duration {
    const ALLOWED: &'static str = "a positive duration with its unit, such as 500ms, 10s or 2m";

    fn parse(text: &str) -> Option<Self> {
        let duration = humantime::parse_duration(text).ok()?;
        (!duration.is_zero()).then_some(duration)
    }
}

impl Value for u32 {
    const ALLOWED: &'static str = "a whole number from 1 to 4294967295";

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok().filter(|n| *n > 0)
    }
}

impl Value for f64 {
    const ALLOWED: &'static str = "a number above 0, such as 0.1 or 100";

    fn parse(text: &str) -> Option<Self> {
        text.parse()
            .ok()
            .filter(|n: &Self| n.is_finite() && *n > 0.0)
    }
}

impl Value for Learn {
    const ALLOWED: &'static str = "auto, on or off";

    fn parse(text: &str) -> Option<Self> {
        match text {
            "auto" => Some(Self::Auto),
            "on" => Some(Self::On),
            "off" => Some(Self::Off),
            _ => None,
        }
    }
}

/// Lowest severity of the log records that are written.
#[hibiscusrail_macros::record]
pub struct LogLevel(pub String);

impl Value for LogLevel {
    const ALLOWED: &'static str = "off, error, warn, info, debug or trace";

    fn parse(text: &str) -> Option<Self> {
        const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
        LEVELS.contains(&text).then(|| Self(text.to_owned()))
    }
}

/// A size in bytes, written with its unit.
#[hibiscusrail_macros::id]
pub struct Size(pub usize);

impl Value for Size {
    const ALLOWED: &'static str = "a size with its unit, such as 64B, 16KiB or 4MiB";

    fn parse(text: &str) -> Option<Self> {
        const UNITS: [(&str, usize); 3] = [("KiB", 1 << 10), ("MiB", 1 << 20), ("B", 1)];
        let (digits, factor) = UNITS
            .iter()
            .find_map(|(unit, factor)| Some((text.strip_suffix(unit)?, factor)))?;
        let count: usize = digits.trim().parse().ok()?;
        count.checked_mul(*factor).filter(|n| *n > 0).map(Self)
    }
}

impl Value for bool {
    const ALLOWED: &'static str = "true or false";

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}
