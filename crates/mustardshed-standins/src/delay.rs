//! Delays of a network between data centres, added by the stand-ins.
//!
//! A request reaches a stand-in one way later than it was sent, and each part of the answer comes
//! one way later than it was made. Who calls is read from the request's identifier, which begins
//! with the VM of the entry.
//!
//! ```
//! use std::time;
//!
//! use mustardshed_standins::delay;
//!
//! let one_way = time::Duration::from_micros(1_500);
//! let delays = delay::Delays::new([("entry-1".to_owned(), one_way)]);
//! assert_eq!(delays.of_request("entry-1.7.1"), one_way);
//! assert!(delays.of_request("entry-2.7.1").is_zero());
//! ```

use std::{collections, str, time};

use displaydoc::Display;
use futures_util::{Stream, StreamExt, stream};
use tokio::sync::mpsc;

pub mod timer;

/// Parts of an answer that are on their way at once, at most.
const MAX_IN_FLIGHT: usize = 1_024;

/// One-way delay to each caller that is far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delays {
    by_vm: collections::BTreeMap<String, time::Duration>,
}

impl Delays {
    /// Makes the delays of entries by their VMs.
    pub fn new(by_vm: impl IntoIterator<Item = (String, time::Duration)>) -> Self {
        Self {
            by_vm: by_vm.into_iter().collect(),
        }
    }

    /// Returns the same delays for a clock that runs `factor` times as fast.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        let scaled = |(vm, delay): (&String, &time::Duration)| (vm.clone(), delay.div_f64(factor));
        Self::new(self.by_vm.iter().map(scaled))
    }

    /// Returns the one-way delay to the entry that a request's identifier names; zero for others.
    pub fn of_request(&self, id: &str) -> time::Duration {
        let vm = id.split('.').next().unwrap_or_default();
        self.by_vm.get(vm).copied().unwrap_or_default()
    }
}

/// A delay to one entry as a program's flag states it: `VM=MICROSECONDS`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Flag(pub String, pub time::Duration);

/// expected VM=MICROSECONDS
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct FlagError;

impl std::error::Error for FlagError {}

impl str::FromStr for Flag {
    type Err = FlagError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (vm, us) = text.split_once('=').ok_or(FlagError)?;
        let us = us.parse().map_err(|_| FlagError)?;
        Ok(Self(vm.to_owned(), time::Duration::from_micros(us)))
    }
}

impl From<Vec<Flag>> for Delays {
    fn from(flags: Vec<Flag>) -> Self {
        Self::new(flags.into_iter().map(|Flag(vm, delay)| (vm, delay)))
    }
}

/// Returns the parts of an answer, each `delay` after it was made.
///
/// The parts are taken from now on, whether or not the returned ones are.
pub fn delayed<T: Send + 'static>(
    timer: &timer::Timer,
    delay: time::Duration,
    parts: impl Stream<Item = T> + Send + 'static,
) -> impl Stream<Item = T> + Send + 'static {
    let (tx, rx) = mpsc::channel(MAX_IN_FLIGHT);
    tokio::spawn(async move {
        let mut parts = std::pin::pin!(parts);
        while let Some(part) = parts.next().await {
            let at = time::Instant::now() + delay;
            if tx.send((at, part)).await.is_err() {
                return;
            }
        }
    });
    let timer = timer.clone();
    stream::unfold((rx, timer), |(mut rx, timer)| async move {
        let (at, part) = rx.recv().await?;
        timer.wait_until(at).await;
        Some((part, (rx, timer)))
    })
}
