//! Laid out in ARCHITECTURE.
