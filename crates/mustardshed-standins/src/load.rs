//! Open-loop load generator for entries, or for one engine directly.
//!
//! Arrivals follow a seeded Poisson process. Every latency is measured from the intended send
//! time, so that a slow response does not hide the delay of the requests behind it (coordinated
//! omission), and every response is compared with the oracle.
//!
//! ```no_run
//! use mustardshed_standins::load::{plan, run};
//!
//! # async fn example() -> Result<(), run::RunError> {
//! let plan = plan::Plan {
//!     entries: vec![String::from("http://127.0.0.1:8080")],
//!     ..plan::Plan::default()
//! };
//! let report = run::run(plan).await?;
//! println!("{report}");
//! # Ok(())
//! # }
//! ```

pub mod arrival;
pub mod arrivals;
pub mod bucket;
pub mod latencies;
pub mod outcome;
pub mod plan;
pub mod report;
pub mod run;

mod call;
pub(crate) mod cpu;
mod directory;
mod measures;
mod prompt_text;
pub(crate) mod reader;
mod sample;
