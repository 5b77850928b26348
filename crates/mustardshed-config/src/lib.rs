//! Configuration of the fleet and settings of the daemons: parsing, validating, comparing.
//!
//! All problems of a document are reported at once, each with its line, key, value and reason:
//!
//! ```
//! use mustardshed_config::text;
//!
//! let problems = text::parse("[[data_centre]]\nname = 'oak'\ncolour = 7\n").unwrap_err();
//!
//! assert_eq!(problems.len(), 2);
//! assert_eq!(problems[0].to_string(), "line 1: data_centre[0].region: this key is missing");
//! ```

pub mod diff;
pub mod forwarding;
pub mod problem;
mod reader;
pub mod settings;
pub mod text;
