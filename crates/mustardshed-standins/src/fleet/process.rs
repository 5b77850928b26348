//! A child process that is killed when it is dropped.

use std::{
    io::{self, BufRead},
    process,
};

use rustix::process as system;

use super::FleetError;

/// A running child process.
#[derive(Debug)]
pub struct Process {
    /// Name, for messages.
    pub name: String,
    /// `IP:PORT` on which it listens; empty if it did not print one.
    pub address: String,
    child: process::Child,
}

impl Process {
    /// Starts `command`.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub fn spawn(name: &str, mut command: process::Command) -> Result<Self, FleetError> {
        let child = command
            .stdin(process::Stdio::null())
            .spawn()
            .map_err(|e| FleetError::Spawn(name.to_owned(), e))?;
        Ok(Self {
            name: name.to_owned(),
            address: String::new(),
            child,
        })
    }

    /// Starts `command` and reads the address on which it listens from its output.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started or exits without printing the address.
    pub fn spawn_listening(name: &str, mut command: process::Command) -> Result<Self, FleetError> {
        command.stdout(process::Stdio::piped());
        let mut process = Self::spawn(name, command)?;
        let not_listening = || FleetError::NotListening(name.to_owned());
        let stdout = process.child.stdout.take().ok_or_else(not_listening)?;
        let mut line = String::new();
        io::BufReader::new(stdout)
            .read_line(&mut line)
            .map_err(|_| not_listening())?;
        let address = line.trim().strip_prefix("LISTENING ");
        process.address = address.ok_or_else(not_listening)?.to_owned();
        Ok(process)
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // A process that has already exited needs no signal.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process.
    pub fn suspend(&self) {
        self.signal(system::Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(system::Signal::CONT);
    }

    /// Asks the process to shut down gracefully.
    pub fn terminate(&self) {
        self.signal(system::Signal::TERM);
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the exit code once the process has exited by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten()?.code()
    }

    fn signal(&self, signal: system::Signal) {
        let pid = i32::try_from(self.child.id()).ok();
        if let Some(pid) = pid.and_then(system::Pid::from_raw) {
            // A process that has already exited needs no signal.
            let _ = system::kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
