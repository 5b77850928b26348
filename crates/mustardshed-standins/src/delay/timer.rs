//! Waits that are shorter than the runtime's timer can measure.

use std::{collections, sync::mpsc, thread, time};

use tokio::sync::oneshot;

/// A wait that is to end.
#[derive(Debug)]
struct Wait {
    at: time::Instant,
    tx: oneshot::Sender<()>,
}

/// Waits by a thread of its own; the runtime's timer counts whole milliseconds.
#[derive(Clone, Debug)]
pub struct Timer {
    waits: mpsc::Sender<Wait>,
}

impl Timer {
    /// Starts the thread; it ends with the last clone of the timer.
    pub fn spawn() -> Self {
        let (waits, rx) = mpsc::channel();
        thread::spawn(move || run(&rx));
        Self { waits }
    }

    /// Waits until a time.
    pub async fn wait_until(&self, at: time::Instant) {
        if at <= time::Instant::now() {
            return;
        }
        let (tx, rx) = oneshot::channel();
        let _ = self.waits.send(Wait { at, tx });
        // The thread ends only after the last timer.
        let _ = rx.await;
    }

    /// Waits for a time.
    pub async fn wait(&self, delay: time::Duration) {
        self.wait_until(time::Instant::now() + delay).await;
    }
}

fn run(rx: &mpsc::Receiver<Wait>) {
    let mut pending: collections::BTreeMap<(time::Instant, u64), oneshot::Sender<()>> =
        collections::BTreeMap::new();
    for number in 0.. {
        let next = match pending.keys().next() {
            None => rx.recv().map_err(|_| mpsc::RecvTimeoutError::Disconnected),
            Some((at, _)) => rx.recv_timeout(at.saturating_duration_since(time::Instant::now())),
        };
        match next {
            Ok(wait) => {
                pending.insert((wait.at, number), wait.tx);
            }
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        }
        end_due(&mut pending);
    }
}

/// Ends the waits whose time has come.
fn end_due(pending: &mut collections::BTreeMap<(time::Instant, u64), oneshot::Sender<()>>) {
    let now = time::Instant::now();
    while let Some(first) = pending.first_entry() {
        if first.key().0 > now {
            return;
        }
        // A caller that is gone waits no more.
        let _ = first.remove().send(());
    }
}
