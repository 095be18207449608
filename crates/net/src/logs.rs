//! Logs: one line of key=value pairs for each event.
//!
//! [`init`] writes to standard error and may block on it. [`init_bounded`]
//! writes to standard output, never blocks and drops lines beyond a rate, so
//! that a flood of requests or a reader that stalls can't hold a router up.

use std::sync::Mutex;
use std::time::Instant;

use logforth::Layout;
use logforth::append::Append;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Sets up the process's logging at the given level (`info`, `debug`, ...).
///
/// # Errors
///
/// Names the level when it is unknown.
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

/// Lines that may be written at once after a quiet time, in seconds of the rate.
const BURST_SECONDS: f64 = 2.0;

/// Sets up logging to standard output, at most `rate` lines a second.
///
/// # Errors
///
/// Names the level when it is unknown, and what the system said when standard
/// output can't be made non-blocking.
pub fn init_rate_limited(level: &str, rate: u32) -> Result<(), String> {
    level
        .parse::<log::LevelFilter>()
        .map_err(|_| format!("unknown log level {level}"))?;
    let output = rustix::stdio::stdout();
    rustix::fs::fcntl_getfl(output)
        .and_then(|flags| rustix::fs::fcntl_setfl(output, flags | rustix::fs::OFlags::NONBLOCK))
        .map_err(|error| format!("standard output: {error}"))?;
    let filter = RustLogFilterBuilder::from_spec(level).build();
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(Bounded::new(f64::from(rate))))
        .apply();
    Ok(())
}

/// What a bounded log has written lately.
#[derive(Debug)]
struct Account {
    lines: f64,
    filled: Instant,
    dropped: u64,
}

/// Writes lines to standard output up to a rate and drops the rest.
#[derive(Debug)]
struct Bounded {
    rate: f64,
    layout: LogfmtLayout,
    account: Mutex<Account>,
}

impl Bounded {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            layout: LogfmtLayout::default(),
            account: Mutex::new(Account {
                lines: rate * BURST_SECONDS,
                filled: Instant::now(),
                dropped: 0,
            }),
        }
    }

    /// Takes the place of a line; returns how many were dropped before it.
    fn admit(&self) -> Option<u64> {
        let mut account = self.account.lock().ok()?;
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(account.filled).as_secs_f64();
        account.filled = now;
        account.lines = (account.lines + elapsed * self.rate).min(self.rate * BURST_SECONDS);
        if account.lines < 1.0 {
            account.dropped += 1;
            return None;
        }
        account.lines -= 1.0;
        Some(std::mem::take(&mut account.dropped))
    }

    fn note_dropped(&self) {
        if let Ok(mut account) = self.account.lock() {
            account.dropped += 1;
        }
    }
}

impl Append for Bounded {
    fn append(
        &self,
        record: &logforth::record::Record,
        diags: &[Box<dyn logforth::Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let Some(dropped) = self.admit() else {
            return Ok(());
        };
        let mut bytes = self.layout.format(record, diags)?;
        if dropped > 0 {
            bytes.extend_from_slice(format!(" log_lines_dropped_before={dropped}").as_bytes());
        }
        bytes.push(b'\n');
        // A reader that stalls costs the line, not the router's time.
        if rustix::io::write(rustix::stdio::stdout(), &bytes).is_err() {
            self.note_dropped();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}
