//! Tests of the decisions with the lifetime of one request.

mod admission;
mod assembly;
mod fixtures;
mod gang;
mod prefix;
mod retry;
mod route;
