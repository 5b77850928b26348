//! Facade over the packages of mustardshed.
//!
//! ```
//! use mustardshed::core::error;
//!
//! assert_eq!(error::ErrorKind::Overloaded.to_response().status, 429);
//! ```

pub use mustardshed_config as config;
pub use mustardshed_core as core;
pub use mustardshed_platform as platform;
pub use mustardshed_wire as wire;
