//! Operators' text and daemon settings: parsing, checking, comparing.

pub mod text;
