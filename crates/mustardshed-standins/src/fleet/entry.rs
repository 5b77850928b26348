//! An entry process of a fleet.

use std::{fs, net, process as std_process};

use super::{FleetError, files, process};

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// VM on which it says that it runs.
    pub vm_id: String,
    /// Data centre.
    pub data_centre: String,
    /// `IP:PORT` towards callers.
    pub address: String,
    /// `IP:PORT` towards peers.
    pub peer_address: String,
    /// Its process.
    pub process: process::Process,
}

impl Entry {
    /// Writes settings and starts an entry on free ports.
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
        let address = free_address()?;
        let peer_address = free_address()?;
        let settings =
            files.write_settings(vm, data_centre, &address, &peer_address, platform_url)?;
        let log = files.folder.join(format!("{vm}.log"));
        let log = fs::File::create(&log).map_err(|e| FleetError::File(log, e))?;
        let errors = log
            .try_clone()
            .map_err(|e| FleetError::Spawn(vm.to_owned(), e))?;
        let mut command = std_process::Command::new(&files.daemon);
        command.arg("--settings").arg(settings);
        command.stdout(log).stderr(errors);
        Ok(Self {
            vm_id: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            address,
            peer_address,
            process: process::Process::spawn(vm, command)?,
        })
    }

    /// Returns the base URL towards callers.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns its item of the platform's list.
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

/// Returns a loopback address that nobody listens on now.
fn free_address() -> Result<String, FleetError> {
    let failed = |e| FleetError::Spawn("a listener".to_owned(), e);
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok(address.to_string())
}
