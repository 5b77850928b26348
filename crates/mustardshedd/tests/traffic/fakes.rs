//! Small fakes at the borders, and fixtures made of them.

pub mod clock;
pub mod control;
pub mod operator;
pub mod platform;
pub mod servers;
pub mod world;
