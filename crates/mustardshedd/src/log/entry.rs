//! Log entries of the decision core as numbered events.

use mustardshed::core::process::action::Entry;

use crate::log::{self, event::Event};

/// Writes a log entry of the decision core.
pub fn emit(entry: &Entry) {
    log::emit(&Event::from(entry));
}

impl<'a> From<&'a Entry> for Event<'a> {
    fn from(entry: &'a Entry) -> Self {
        match entry {
            Entry::ConfigurationInForce { generation, source } => Self::ConfigurationInForce {
                generation: *generation,
                source,
            },
            Entry::ConfigurationNotUnderstood { generation, reason } => {
                Self::ConfigurationNotUnderstood {
                    generation: *generation,
                    reason,
                }
            }
            Entry::MemberChanged { vm, state } => Self::MemberChanged { vm, state },
            Entry::StewardChanged { server, steward } => Self::StewardChanged {
                server,
                steward: steward.as_deref().unwrap_or("none"),
            },
            Entry::ServerChanged {
                server,
                state,
                reason,
            } => Self::ServerChanged {
                server,
                state,
                reason,
            },
            Entry::CreditDecided {
                request,
                server,
                granted,
                reason,
            } => Self::CreditDecided {
                request,
                server,
                granted: *granted,
                reason,
            },
            Entry::Reaped { server, request } => Self::Reaped { server, request },
            Entry::FreshnessChanged { fresh, reason } => Self::FreshnessChanged {
                fresh: *fresh,
                reason,
            },
            Entry::PlacementLease { fence, state } => Self::PlacementLease {
                fence: *fence,
                state,
            },
            Entry::PlacementDecided {
                server,
                change,
                fence,
                reason,
            } => Self::PlacementDecided {
                server,
                change,
                fence: *fence,
                reason,
            },
            Entry::PlacementOrdered {
                server,
                change,
                fence,
                result,
            } => Self::PlacementOrdered {
                server,
                change,
                fence: *fence,
                result,
            },
        }
    }
}
