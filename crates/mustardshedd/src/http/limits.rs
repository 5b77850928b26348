//! Limits of the listener, from the settings.

pub use mustardshed::config::settings::Limits;
