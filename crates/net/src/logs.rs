//! Logs: one line of key=value pairs for each event, on standard error.

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
