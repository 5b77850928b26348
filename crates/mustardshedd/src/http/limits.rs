//! Limits of the listener, as the settings state them.

pub use mustardshed::config::settings::Limits;
