//! A whole fleet as processes on loopback: platform, engines, plain services, entries.
//!
//! Used by tests, the storm and the experiment. Dropping the fleet kills every process.

use std::{fs, io, path, time};

use displaydoc::Display;

use crate::json_client;

pub mod address;
pub mod entry;
pub mod files;
pub mod process;
pub mod spec;

/// Returns the key of a client account: `key-of-A` for account `A`.
pub fn key_of(account: &str) -> String {
    format!("key-of-{account}")
}

/// Timeout for a process to become ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Timeout of a request to a stand-in or an entry.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Interval between checks of readiness.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Error from starting or controlling a fleet.
#[derive(Debug, Display)]
pub enum FleetError {
    /// {0}: {1}
    File(path::PathBuf, io::Error),
    /// cannot start {0}: {1}
    Spawn(String, io::Error),
    /// {0} did not print the address on which it listens
    NotListening(String),
    /// {0}: {1}
    Call(String, String),
    /// {0} was not ready in time; its last response: {1}
    NotReady(String, String),
}

impl std::error::Error for FleetError {}

/// Running processes of a fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Paths of the programs and of the fleet's files.
    pub files: files::Files,
    /// The platform stand-in.
    pub platform: process::Process,
    /// Model engines.
    pub engines: Vec<process::Process>,
    /// Servers of plain services.
    pub services: Vec<process::Process>,
    /// Entries.
    pub entries: Vec<entry::Entry>,
    /// HTTP client for the stand-ins' faults and records.
    pub client: json_client::JsonClient,
    /// Specification from which it was started.
    pub spec: spec::Spec,
}

impl Fleet {
    /// Starts all processes, registers their VMs and applies the first configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or is not ready in time.
    pub async fn start(spec: &spec::Spec) -> Result<Self, FleetError> {
        let client = json_client::JsonClient::open();
        let files = files::Files::create(spec)?;
        let platform = files.spawn_example("platform", "platform", &[])?;
        let mut fleet = Self {
            files,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            client,
            spec: spec.clone(),
        };
        for engine in &spec.engines {
            let args = [engine.args(), spec.delay_args(&engine.data_centre)].concat();
            let process = fleet.files.spawn_example("engine", &engine.name, &args)?;
            fleet.register(&engine.vm(&process.address)).await?;
            fleet.engines.push(process);
        }
        for service in &spec.services {
            let args = [service.args(), spec.delay_args(&service.data_centre)].concat();
            let process = fleet.files.spawn_example("service", &service.name, &args)?;
            fleet.register(&service.vm(&process.address)).await?;
            fleet.services.push(process);
        }
        for i in 0..spec.entries {
            fleet.add_entry(spec.entry_data_centre(i)).await?;
        }
        fleet.wait_for("healthz").await?;
        let text = fleet.files.text_file.clone();
        fleet
            .ctl(&["apply", &text.display().to_string(), "--wait"])
            .await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts one more entry and registers its VM; returns its index.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started or the platform refuses its VM.
    pub async fn add_entry(&mut self, data_centre: &str) -> Result<usize, FleetError> {
        let vm = format!("entry-{}", self.entries.len());
        let entry = entry::Entry::spawn(&self.files, &vm, data_centre, &self.platform.url())?;
        self.register(&entry.vm()).await?;
        self.entries.push(entry);
        Ok(self.entries.len() - 1)
    }

    /// Adds a VM to the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform refuses it.
    pub async fn register(&self, vm: &serde_json::Value) -> Result<(), FleetError> {
        let id = vm["id"].as_str().unwrap_or_default();
        let url = format!("{}/admin/vms/{id}", self.platform.url());
        self.put(&url, vm).await
    }

    /// Returns the name and the item in the platform's list of each backend server.
    pub fn listed_servers(&self) -> Vec<(String, serde_json::Value)> {
        let engines = self.spec.engines.iter().zip(&self.engines);
        let engines = engines.map(|(spec, process)| (spec.name.clone(), spec.vm(&process.address)));
        let services = self.spec.services.iter().zip(&self.services);
        let services =
            services.map(|(spec, process)| (spec.name.clone(), spec.vm(&process.address)));
        engines.chain(services).collect()
    }

    /// Changes the fault settings of a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in refuses them.
    pub async fn set_faults(
        &self,
        stand_in: &process::Process,
        faults: &serde_json::Value,
    ) -> Result<(), FleetError> {
        let url = format!("{}/admin/faults", stand_in.url());
        self.put(&url, faults).await
    }

    /// Reads the records of a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not answer.
    pub async fn records(
        &self,
        stand_in: &process::Process,
    ) -> Result<serde_json::Value, FleetError> {
        self.get(&format!("{}/admin/records", stand_in.url())).await
    }

    /// Fetches the JSON body of a URL.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not answer with 200.
    pub async fn get(&self, url: &str) -> Result<serde_json::Value, FleetError> {
        let answer = call(url, self.client.get(url)).await?;
        if answer.status == 200 {
            return Ok(answer.body);
        }
        let seen = format!("{} {}", answer.status, answer.body);
        Err(FleetError::Call(url.to_owned(), seen))
    }

    async fn put(&self, url: &str, body: &serde_json::Value) -> Result<(), FleetError> {
        let answer = call(url, self.client.put(url, body)).await?;
        if answer.status == 200 {
            return Ok(());
        }
        let seen = format!("{} {}", answer.status, answer.body);
        Err(FleetError::Call(url.to_owned(), seen))
    }

    /// Runs `mustardshedctl` with `args` and returns its standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not exit with zero.
    pub async fn ctl(&self, args: &[&str]) -> Result<String, FleetError> {
        self.files.ctl(&self.platform.url(), args).await
    }

    /// Waits until every entry reports that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry is not ready in time.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        self.wait_for("readyz").await
    }

    /// Waits until every entry answers `path` with 200.
    async fn wait_for(&self, path: &str) -> Result<(), FleetError> {
        let started = time::Instant::now();
        for entry in &self.entries {
            while let Err(last_seen) = self.answers(entry, path).await {
                if started.elapsed() > READY_TIMEOUT {
                    let last_seen = format!("{last_seen}\n{}", entry.last_lines());
                    return Err(FleetError::NotReady(entry.vm_id.clone(), last_seen));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Checks that an entry answers `path` with 200, or returns its last response as the error.
    async fn answers(&self, entry: &entry::Entry, path: &str) -> Result<(), String> {
        let url = format!("{}/{path}", entry.url());
        let answer = call(&url, self.client.get(&url)).await;
        let answer = answer.map_err(|e| e.to_string())?;
        if answer.status == 200 {
            return Ok(());
        }
        Err(format!("{}: {}", answer.status, answer.body))
    }
}

/// Waits for a response, up to the timeout.
async fn call(
    url: &str,
    answer: impl Future<Output = Result<json_client::Answer, json_client::Error>>,
) -> Result<json_client::Answer, FleetError> {
    let failed = |reason: String| FleetError::Call(url.to_owned(), reason);
    tokio::time::timeout(CALL_TIMEOUT, answer)
        .await
        .map_err(|e| failed(e.to_string()))?
        .map_err(|e| failed(e.to_string()))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Dropping the processes kills them; the folder is not needed afterwards.
        let _ = fs::remove_dir_all(&self.files.folder);
    }
}
