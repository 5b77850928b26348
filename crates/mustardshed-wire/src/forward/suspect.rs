//! A request that may have crashed a server, as sent between entries.

use std::time;

use mustardshed_core::forward::repeated_crashes;

/// A request that a crashed server had not begun to answer.
#[derive(Clone, Copy, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Suspect {
    /// Fingerprint of its content.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// Time from sending it to the crash, in milliseconds, if equal requests are usual.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub lasted_ms: Option<u64>,
}

impl From<repeated_crashes::Attempt> for Suspect {
    fn from(attempt: repeated_crashes::Attempt) -> Self {
        let millis = |lasted: time::Duration| u64::try_from(lasted.as_millis()).unwrap_or(u64::MAX);
        Self {
            fingerprint: attempt.request.into(),
            lasted_ms: attempt.lasted.map(millis),
        }
    }
}

impl From<Suspect> for repeated_crashes::Attempt {
    fn from(suspect: Suspect) -> Self {
        Self {
            request: suspect.fingerprint.into(),
            lasted: suspect.lasted_ms.map(time::Duration::from_millis),
        }
    }
}
