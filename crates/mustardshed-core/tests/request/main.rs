//! Decisions that live as long as one request.

mod admission;
mod assembly;
mod fixtures;
mod gang;
mod prefix;
mod retry;
mod route;
