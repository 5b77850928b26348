//! Numbered log events and metrics.
//!
//! ```
//! use mustardshedd::log::{self, event};
//!
//! log::emit(&event::Event::DrainBegan { in_flight: 3 });
//! ```

pub mod catalogue;
pub mod entry;
pub mod event;
pub mod fields;
pub mod metrics;

use mustardshed::config::settings;

/// Sets the least severity that the process's log shows.
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

/// Writes an event to the process's log.
pub fn emit(event: &event::Event<'_>) {
    let level = event.level();
    if !spdlog::default_logger().should_log(level) {
        return;
    }
    let number = event.number();
    let name = event.name();
    spdlog::log!(level, "E{number} {name}{}", fields::Fields(event));
}
