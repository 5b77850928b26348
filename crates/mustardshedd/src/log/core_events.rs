//! Converts log events of the decision core to numbered events.

use mustardshed::core::process::action::LogEvent;

use crate::log::{self, event::Event};

/// Writes a log event of the decision core.
pub fn emit(event: &LogEvent) {
    log::emit(&Event::from(event));
}

impl<'a> From<&'a LogEvent> for Event<'a> {
    fn from(event: &'a LogEvent) -> Self {
        match event {
            LogEvent::ConfigurationInForce { generation, source } => Self::ConfigurationInForce {
                generation: *generation,
                source,
            },
            LogEvent::ConfigurationNotUnderstood { generation, reason } => {
                Self::ConfigurationNotUnderstood {
                    generation: *generation,
                    reason,
                }
            }
            LogEvent::MemberChanged { vm, state } => Self::MemberChanged { vm, state },
            LogEvent::StewardChanged { server, steward } => Self::StewardChanged {
                server,
                steward: steward.as_deref().unwrap_or("none"),
            },
            LogEvent::ServerChanged {
                server,
                state,
                reason,
            } => Self::ServerChanged {
                server,
                state,
                reason,
            },
            LogEvent::CreditDecided {
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
            LogEvent::Reaped { server, request } => Self::Reaped { server, request },
            LogEvent::FreshnessChanged { fresh, reason } => Self::FreshnessChanged {
                fresh: *fresh,
                reason,
            },
            LogEvent::PlacementLease { fence, state } => Self::PlacementLease {
                fence: *fence,
                state,
            },
            LogEvent::PlacementDecided {
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
            LogEvent::PlacementOrdered {
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
