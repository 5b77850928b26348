//! Signals that tell the process to stop.

use std::io;

use tokio::signal::unix;

/// Handlers of the signals that begin a planned stop: SIGTERM and SIGINT.
///
/// While they are installed, and for as long as the process runs, neither signal ends it at once.
#[derive(Debug)]
pub struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl Signals {
    /// Installs the handlers. Must be called in a runtime, before the first listener is bound: a
    /// signal that came earlier would cut what the process has accepted.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a handler cannot be installed.
    pub fn open() -> io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
        })
    }

    /// Waits for the first signal since the handlers were installed.
    pub async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
