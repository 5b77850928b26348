//! Numbered log events and metrics.
//!
//! ```
//! use mustardshedd::log::{self, event};
//!
//! log::emit(&event::Event::DrainBegan { in_flight: 3 });
//! ```

pub mod catalogue;
pub mod event;
pub mod fields;
pub mod metrics;

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
