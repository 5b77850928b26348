//! Kinds of faults.

/// A kind of fault.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// An entry is killed and started again on its VM.
    EntryKilled,
    /// An entry is suspended and resumed later.
    EntryFrozen,
    /// An entry is asked to stop, and started again once it has exited.
    EntryStopped,
    /// The platform does not answer.
    PlatformOutage,
    /// The platform is slow.
    PlatformSlow,
    /// The platform carries out writes but does not answer.
    AnswersLost,
    /// The platform's reads return stale data.
    StaleReads,
    /// The platform does not answer one of its callers.
    CallerCut,
    /// Several operators write concurrently.
    OperatorsRace,
    /// Operators take a data centre out of service and restore it.
    DataCentreOut,
    /// An engine loses all its state and does not answer.
    EngineDead,
    /// An engine turns cold without warning.
    EngineCold,
    /// An engine cuts streams off.
    StreamsBroken,
    /// An engine writes frames of other requests into streams.
    FramesCrossed,
    /// The platform lists a backend server as leaving.
    ServerLeaving,
    /// A server of a plain service turns cold without warning.
    ServiceCold,
    /// A server of a plain service executes calls but does not answer.
    ServiceAnswersLost,
}

impl Kind {
    /// All kinds of faults.
    pub const ALL: [Self; 17] = [
        Self::EntryKilled,
        Self::EntryFrozen,
        Self::EntryStopped,
        Self::PlatformOutage,
        Self::PlatformSlow,
        Self::AnswersLost,
        Self::StaleReads,
        Self::CallerCut,
        Self::OperatorsRace,
        Self::DataCentreOut,
        Self::EngineDead,
        Self::EngineCold,
        Self::StreamsBroken,
        Self::FramesCrossed,
        Self::ServerLeaving,
        Self::ServiceCold,
        Self::ServiceAnswersLost,
    ];

    /// Returns the shortest and the longest duration of the fault, in milliseconds.
    pub const fn lasts_ms(self) -> (u64, u64) {
        match self {
            Self::EntryKilled => (500, 6_000),
            Self::EntryFrozen => (1_000, 12_000),
            Self::EntryStopped | Self::OperatorsRace => (100, 1_000),
            Self::PlatformOutage => (2_000, 15_000),
            Self::PlatformSlow | Self::StaleReads | Self::CallerCut => (1_000, 8_000),
            Self::AnswersLost => (500, 3_000),
            Self::DataCentreOut => (6_000, 12_000),
            Self::EngineDead => (500, 5_000),
            Self::EngineCold | Self::ServiceCold => (100, 500),
            Self::StreamsBroken | Self::FramesCrossed => (2_000, 8_000),
            Self::ServerLeaving => (7_000, 12_000),
            Self::ServiceAnswersLost => (500, 2_000),
        }
    }

    /// Returns the relative frequency of the fault.
    pub const fn weight(self) -> u32 {
        match self {
            Self::EntryKilled | Self::EntryFrozen | Self::EntryStopped => 3,
            Self::PlatformOutage | Self::OperatorsRace | Self::DataCentreOut => 2,
            Self::EngineCold | Self::EngineDead | Self::ServiceCold | Self::ServerLeaving => 2,
            _ => 1,
        }
    }
}
