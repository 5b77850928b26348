//! Responses of an entry to operators, as JSON.
//!
//! Unknown keys are ignored, so that a client can read the status of a newer daemon.

mod error_body;
mod member_status;
mod server_status;
mod status;

pub use error_body::{ErrorBody, ErrorDetail};
pub use member_status::MemberStatus;
pub use server_status::ServerStatus;
pub use status::Status;
