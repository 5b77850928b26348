//! Signals that stop the process or announce changed settings.

use std::io;

use tokio::signal::unix;

/// What a signal orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// SIGTERM or SIGINT: begin a planned stop.
    Stop,
    /// SIGHUP: the settings file may have changed.
    Reload,
}

/// Handlers of the signals.
///
/// From their installation until the process ends, none of these signals ends it at once.
#[derive(Debug)]
pub struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
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
            hangup: unix::signal(unix::SignalKind::hangup())?,
        })
    }

    /// Waits for the next order since the handlers were installed; an order to stop goes first.
    pub async fn recv(&mut self) -> Order {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Order::Stop,
            _ = self.interrupt.recv() => Order::Stop,
            _ = self.hangup.recv() => Order::Reload,
        }
    }
}
