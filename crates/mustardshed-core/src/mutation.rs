//! Faults that tests switch on to show that they detect them (mutation testing).
//!
//! Without the feature `mutations`, [`on`] is `false` at compile time.

/// Returns whether `MUSTARDSHED_MUTATION` names this fault, read once per process.
#[cfg(feature = "mutations")]
pub fn on(name: &str) -> bool {
    use std::{env, sync};

    static NAMED: sync::OnceLock<Option<String>> = sync::OnceLock::new();
    let named = NAMED.get_or_init(|| env::var("MUSTARDSHED_MUTATION").ok());
    named.as_deref() == Some(name)
}

/// Returns `false`: the faults are not compiled in.
#[cfg(not(feature = "mutations"))]
pub const fn on(_name: &str) -> bool {
    false
}
