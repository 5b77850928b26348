//! Messages that are sent later than they were composed.

use std::time;

use crate::forward::{Job, Message};

impl Message {
    /// Returns the message as it is to be sent `delay` after it was composed, or after its first
    /// sender had sent it.
    ///
    /// Ages grow by the delay. The time for which a server is cold is kept: a server that seems cold
    /// for too long gets less work, one that seems warm too early gets too much.
    #[must_use]
    pub fn delayed(mut self, delay: time::Duration) -> Self {
        self.add_delay(millis(delay));
        self
    }

    fn add_delay(&mut self, delay_ms: u64) {
        match self {
            Self::RateLimit { age_ms, .. }
            | Self::Crashed { age_ms, .. }
            | Self::Answered { age_ms, .. }
            | Self::Quarantined { age_ms, .. } => *age_ms = age_ms.saturating_add(delay_ms),
            Self::LiveEntries(entries) => {
                for heard in entries {
                    heard.age_ms = heard.age_ms.saturating_add(delay_ms);
                }
            }
            Self::Started { job, .. } => job.add_delay(delay_ms),
            Self::Relayed { message, .. } => message.add_delay(delay_ms),
            Self::Topic { state, .. } => state.age_ms = state.age_ms.saturating_add(delay_ms),
            Self::Echo { topics, .. } => {
                for state in topics.iter_mut().flatten() {
                    state.age_ms = state.age_ms.saturating_add(delay_ms);
                }
            }
            Self::Hello { .. }
            | Self::Reset
            | Self::Heartbeat(_)
            | Self::FirstEvent { .. }
            | Self::Ended { .. }
            | Self::Unreachable { .. }
            | Self::Cold { .. }
            | Self::Slowdown { .. }
            | Self::Leaving { .. }
            | Self::WantTopic { .. } => {}
        }
    }
}

impl Job {
    fn add_delay(&mut self, delay_ms: u64) {
        self.age_ms = self.age_ms.saturating_add(delay_ms);
        if let Some(protection) = &mut self.protection {
            protection.ends_in_ms = protection.ends_in_ms.saturating_sub(delay_ms);
        }
    }
}

/// Returns a delay in milliseconds, rounded up so that nothing appears younger than it is.
fn millis(delay: time::Duration) -> u64 {
    u64::try_from(delay.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
