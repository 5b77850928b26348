//! Numbered log events and metrics.
//!
//! ```
//! use mustardshedd::log::{self, event};
//!
//! log::emit(&event::Event::DrainBegan { in_flight: 3 });
//! ```

pub mod catalogue;
pub mod core_events;
pub mod event;
pub mod fields;
pub mod lines;
pub mod metrics;
pub mod value;

use std::{io, sync};

use mustardshed::config::settings;

/// JSON log of the process, if it writes one.
static LINES: sync::OnceLock<lines::Lines> = sync::OnceLock::new();

/// Sets the minimum severity of the process's log.
pub fn open(level: settings::LogLevel) {
    let level = match level {
        settings::LogLevel::Critical => spdlog::Level::Critical,
        settings::LogLevel::Error => spdlog::Level::Error,
        settings::LogLevel::Warn => spdlog::Level::Warn,
        settings::LogLevel::Info => spdlog::Level::Info,
        settings::LogLevel::Debug => spdlog::Level::Debug,
        settings::LogLevel::Trace => spdlog::Level::Trace,
    };
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::MoreSevereEqual(level));
}

/// Makes the process write its log to standard output, as one JSON object a line.
///
/// # Errors
///
/// Returns an error if the thread that writes it cannot be started.
pub fn open_json(level: settings::LogLevel) -> io::Result<()> {
    open(level);
    let lines = lines::Lines::open(io::stdout())?;
    // A second call keeps the log that the first one opened.
    let _ = LINES.set(lines);
    Ok(())
}

/// Waits long enough for queued lines to be written, if the log is JSON.
pub fn flush() {
    if LINES.get().is_some() {
        std::thread::sleep(lines::BATCH_DELAY * 2);
    }
}

/// Returns the numbers of lines that were not written, all zero unless the log is JSON.
#[must_use]
pub fn lost_counts() -> lines::LostLines {
    LINES.get().map(lines::Lines::lost).unwrap_or_default()
}

/// Writes an event to the process's log.
pub fn emit(event: &event::Event<'_>) {
    let level = event.level();
    if !spdlog::default_logger().should_log(level) {
        return;
    }
    if let Some(lines) = LINES.get() {
        return lines.emit(event);
    }
    let number = event.number();
    let name = event.name();
    spdlog::log!(level, "E{number} {name}{}", fields::Fields(event));
}
