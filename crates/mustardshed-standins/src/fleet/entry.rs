//! An entry process of a fleet.

use std::{fs, path, process as std_process};

use super::{FleetError, address, files, process};

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// Identifier of the VM in its settings.
    pub vm_id: String,
    /// Data centre.
    pub data_centre: String,
    /// `IP:PORT` towards callers.
    pub address: String,
    /// `IP:PORT` towards peers.
    pub peer_address: String,
    /// Its process.
    pub process: process::Process,
    /// Log files of its runs, the oldest first.
    pub logs: Vec<path::PathBuf>,
    settings: path::PathBuf,
    /// Keeps its addresses for it while it does not listen on them.
    _reserved: [address::Reserved; 2],
}

impl Entry {
    /// Writes the settings of an entry and starts it on free addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if files cannot be written or the process cannot be started.
    pub fn spawn(
        files: &files::Files,
        vm: &str,
        data_centre: &str,
        platform_url: &str,
    ) -> Result<Self, FleetError> {
        let reserved = [reserve(vm)?, reserve(vm)?];
        let [address, peer_address] = reserved.each_ref().map(|r| r.addr().to_string());
        let settings =
            files.write_settings(vm, data_centre, &address, &peer_address, platform_url)?;
        let log = log_file(files, vm, 0);
        let process = spawn_process(files, vm, &settings, &log)?;
        Ok(Self {
            vm_id: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            address,
            peer_address,
            process,
            logs: vec![log],
            settings,
            _reserved: reserved,
        })
    }

    /// Kills the process if it still runs, and starts a new one with the same VM and addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart(&mut self, files: &files::Files) -> Result<(), FleetError> {
        self.process.kill();
        let log = log_file(files, &self.vm_id, self.logs.len());
        self.process = spawn_process(files, &self.vm_id, &self.settings, &log)?;
        self.logs.push(log);
        Ok(())
    }

    /// Returns the base URL towards callers.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the last lines of its latest log, to explain a failure.
    #[must_use]
    pub fn last_lines(&self) -> String {
        const LINES: usize = 5;
        let Some(log) = self.logs.last() else {
            return String::new();
        };
        let text = match fs::read_to_string(log) {
            Ok(text) => text,
            Err(e) => return format!("{}: {e}", log.display()),
        };
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LINES)..].join("\n")
    }

    /// Returns its item in the platform's list.
    pub fn vm(&self) -> serde_json::Value {
        serde_json::json!({
            "id": self.vm_id,
            "role": "entry",
            "kind": "",
            "address": self.address,
            "peer_address": self.peer_address,
            "data_centre": self.data_centre,
            "state": "live",
        })
    }
}

/// Returns the log file of a run.
fn log_file(files: &files::Files, vm: &str, run: usize) -> path::PathBuf {
    let name = match run {
        0 => format!("{vm}.log"),
        _ => format!("{vm}.{run}.log"),
    };
    files.folder.join(name)
}

fn spawn_process(
    files: &files::Files,
    vm: &str,
    settings: &path::Path,
    log: &path::Path,
) -> Result<process::Process, FleetError> {
    let output = fs::File::create(log).map_err(|e| FleetError::File(log.to_owned(), e))?;
    let errors = output
        .try_clone()
        .map_err(|e| FleetError::Spawn(vm.to_owned(), e))?;
    let mut command = std_process::Command::new(&files.daemon);
    command.arg("--settings").arg(settings);
    command.stdout(output).stderr(errors);
    process::Process::spawn(vm, command)
}

/// Reserves an address for an entry.
fn reserve(vm: &str) -> Result<address::Reserved, FleetError> {
    address::Reserved::open().map_err(|e| FleetError::Spawn(vm.to_owned(), e))
}
