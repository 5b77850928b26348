//! Seeded faults by which the proofs show that they would notice.
//!
//! Without the feature `mutations` every question is answered with `false` at compile time.

/// Returns whether the named fault is seeded in this process, by `MUSTARDSHED_MUTATION`.
#[cfg(feature = "mutations")]
pub fn on(name: &str) -> bool {
    use std::{env, sync};

    static SEEDED: sync::OnceLock<Option<String>> = sync::OnceLock::new();
    let seeded = SEEDED.get_or_init(|| env::var("MUSTARDSHED_MUTATION").ok());
    seeded.as_deref() == Some(name)
}

/// Returns `false`: no fault is seeded.
#[cfg(not(feature = "mutations"))]
pub const fn on(_name: &str) -> bool {
    false
}
