//! Stand-in for a model engine with continuous batching.
//!
//! [`scheduler`] models the engine's speed: a plain struct without a clock of its own, which the
//! caller advances. [`server`] serves it over HTTP and advances it by the wall clock.
//!
//! ```no_run
//! use mustardshed_standins::engine::{server, settings};
//!
//! # async fn example() -> std::io::Result<()> {
//! let engine = server::Engine::bind(settings::Settings::default()).await?;
//! println!("LISTENING {}", engine.address());
//! # Ok(())
//! # }
//! ```

pub mod faults;
pub mod job;
pub mod memory;
pub mod progress;
pub mod prompt;
pub mod records;
pub mod refusal;
pub mod scheduler;
pub mod server;
pub mod settings;

mod cache_events;
mod clock;
mod gang;
mod http;
mod load_history;
mod prefix_cache;
mod shared;
mod stream;
mod wire;
