//! Logging in logfmt: one line of key=value pairs for each event.
//!
//! [`init`] writes to standard error and may block. [`init_rate_limited`]
//! writes to standard output, never blocks and drops lines above a rate, so
//! that neither a flood of requests nor a stalled reader can delay a router.

use std::sync::{Mutex, MutexGuard, OnceLock};
use std::time::Instant;

use logforth::Layout;
use logforth::append::Append;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Sets up logging to standard error at the given level (`info`, `debug`, ...).
///
/// # Errors
///
/// Fails if the level is unknown.
pub fn init(level: &str) -> Result<(), String> {
    level
        .parse::<log::LevelFilter>()
        .map_err(|_| format!("unknown log level {level}"))?;
    let filter = RustLogFilterBuilder::from_spec(level).build();
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(filter)
                .append(Stderr::default().with_layout(LogfmtLayout::default()))
        })
        .apply();
    Ok(())
}

/// Capacity of the token bucket, in seconds of the rate.
const BURST_SECONDS: f64 = 2.0;
/// Lines that only warnings and errors may use: a flood of requests must not drop the lines that tell of
/// it. At low rates it is half of the bucket.
const RESERVED_LINES: f64 = 16.0;

/// Sets up logging to standard output, limited to `rate` lines per second.
///
/// # Errors
///
/// Fails if the level is unknown or standard output can't be made non-blocking.
pub fn init_rate_limited(level: &str, rate: u32) -> Result<(), String> {
    level
        .parse::<log::LevelFilter>()
        .map_err(|_| format!("unknown log level {level}"))?;
    let output = rustix::stdio::stdout();
    rustix::fs::fcntl_getfl(output)
        .and_then(|flags| rustix::fs::fcntl_setfl(output, flags | rustix::fs::OFlags::NONBLOCK))
        .map_err(|error| format!("failed to make standard output non-blocking: {error}"))?;
    let filter = RustLogFilterBuilder::from_spec(level).build();
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(RateLimited::new(f64::from(rate))))
        .apply();
    Ok(())
}

/// Token bucket that limits the rate of lines.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled: Instant,
    /// Lines dropped since the last one written.
    dropped: u64,
}

/// Limit on the rate of lines, in lines per second.
#[derive(Debug)]
struct RateLimit {
    rate: f64,
    bucket: Mutex<TokenBucket>,
}

/// Limit of the process's log, once it is set up.
static LIMIT: OnceLock<RateLimit> = OnceLock::new();

/// Returns whether the log accepts a line at present; counts a dropped line otherwise.
///
/// Asking first costs less than a line that is dropped.
#[must_use]
pub fn has_token() -> bool {
    LIMIT.get().is_none_or(RateLimit::has_token)
}

impl RateLimit {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            bucket: Mutex::new(TokenBucket {
                tokens: rate * BURST_SECONDS,
                refilled: Instant::now(),
                dropped: 0,
            }),
        }
    }

    /// Returns the lines that only warnings and errors may use.
    fn reserved(&self) -> f64 {
        RESERVED_LINES.min(self.rate * BURST_SECONDS / 2.0)
    }

    /// Adds the tokens of the time that has passed and returns the bucket.
    fn refill(&self) -> Option<MutexGuard<'_, TokenBucket>> {
        let mut bucket = self.bucket.lock().ok()?;
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(bucket.refilled).as_secs_f64();
        bucket.refilled = now;
        bucket.tokens = (bucket.tokens + elapsed * self.rate).min(self.rate * BURST_SECONDS);
        Some(bucket)
    }

    fn has_token(&self) -> bool {
        let Some(mut bucket) = self.refill() else {
            return false;
        };
        let has_token = bucket.tokens >= 1.0 + self.reserved();
        bucket.dropped += u64::from(!has_token);
        has_token
    }

    /// Takes a token for a line and returns the number of lines dropped before it; none if there is
    /// no token.
    fn take_token(&self, is_warning: bool) -> Option<u64> {
        let mut bucket = self.refill()?;
        let reserved = if is_warning { 0.0 } else { self.reserved() };
        if bucket.tokens < 1.0 + reserved {
            bucket.dropped += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.dropped))
    }

    fn count_dropped(&self) {
        if let Ok(mut bucket) = self.bucket.lock() {
            bucket.dropped += 1;
        }
    }
}

/// Writes lines to standard output, limited by a token bucket, and drops the rest.
#[derive(Debug)]
struct RateLimited {
    limit: &'static RateLimit,
    layout: LogfmtLayout,
}

impl RateLimited {
    fn new(rate: f64) -> Self {
        Self {
            limit: LIMIT.get_or_init(|| RateLimit::new(rate)),
            layout: LogfmtLayout::default(),
        }
    }
}

impl Append for RateLimited {
    fn append(
        &self,
        record: &logforth::record::Record,
        diags: &[Box<dyn logforth::Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let is_warning = record.level() >= logforth::record::Level::Warn;
        let Some(dropped) = self.limit.take_token(is_warning) else {
            return Ok(());
        };
        let mut bytes = self.layout.format(record, diags)?;
        if dropped > 0 {
            bytes.extend_from_slice(format!(" log_lines_dropped_before={dropped}").as_bytes());
        }
        bytes.push(b'\n');
        // If the reader stalls, the line is dropped instead of blocking the router.
        if rustix::io::write(rustix::stdio::stdout(), &bytes).is_err() {
            self.limit.count_dropped();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}
