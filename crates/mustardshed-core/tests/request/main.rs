//! Decisions that live as long as one request.

mod admission;
mod assembly;
mod fixtures;
mod gang;
mod retry;
mod route;
