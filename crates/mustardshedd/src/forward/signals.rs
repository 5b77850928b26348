//! Signals that stop the entry or announce changed settings.

use std::io;

use tokio::signal::unix;

/// Handlers of the signals. Once opened, none of these signals ends the process by itself.
#[derive(Debug)]
pub struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    /// Installs the handlers; must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub fn open() -> io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            hangup: unix::signal(unix::SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT, received since the handlers were installed; calls `reload` on
    /// each SIGHUP before.
    pub async fn wait_for_stop(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                biased;
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
            }
        }
    }
}
