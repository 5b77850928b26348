//! Programs, keys, settings and the configuration file of a fleet.

use std::{env, fs, path, process as std_process, sync::atomic};

use sha2::Digest;

use super::{FleetError, process, spec};

/// Key of the operators.
pub const OPERATOR_KEY: &str = "key-of-the-operators";
/// Secret that peers share.
const PEER_KEY: &str = "secret-that-all-peers-share";

static NEXT_FOLDER: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Paths of the programs and of the fleet's files.
#[derive(Clone, Debug)]
pub struct Files {
    /// Folder of this fleet's files.
    pub folder: path::PathBuf,
    /// The entry daemon.
    pub daemon: path::PathBuf,
    /// The operators' configuration file.
    pub text_file: path::PathBuf,
    programs: path::PathBuf,
    time_scale: f64,
    routing: &'static str,
}

impl Files {
    /// Creates the folder and writes the keys and the configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written.
    pub fn create(spec: &spec::Spec) -> Result<Self, FleetError> {
        let number = NEXT_FOLDER.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("mustardshed-{}-{number}", std_process::id());
        let folder = env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(|e| FleetError::File(folder.clone(), e))?;
        let programs = programs_folder();
        let files = Self {
            daemon: programs.join("mustardshedd"),
            text_file: folder.join("text.toml"),
            programs,
            folder,
            time_scale: spec.time_scale,
            routing: spec.routing,
        };
        files.write("peer.key", PEER_KEY)?;
        files.write("operator.key", OPERATOR_KEY)?;
        files.write("operator.digest", &digest(OPERATOR_KEY))?;
        files.write("text.toml", &spec.text())?;
        Ok(files)
    }

    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started or exits without printing its address.
    pub fn spawn_example(
        &self,
        example: &str,
        name: &str,
        args: &[String],
    ) -> Result<process::Process, FleetError> {
        let program = self.programs.join("examples").join(example);
        let mut command = std_process::Command::new(program);
        command.args(["--listen", "127.0.0.1:0"]).args(args);
        if example == "engine" {
            command.args(["--time-scale", &self.time_scale.to_string()]);
        }
        process::Process::spawn_listening(name, command)
    }

    /// Writes the settings file of an entry and returns its path.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_settings(
        &self,
        vm: &str,
        data_centre: &str,
        address: &str,
        peer_address: &str,
        platform_url: &str,
    ) -> Result<path::PathBuf, FleetError> {
        let folder = self.folder.display();
        let routing = self.routing;
        let settings = format!(
            "vm = \"{vm}\"\ndata_centre = \"{data_centre}\"\nlisten = \"{address}\"\n\
             peer_listen = \"{peer_address}\"\nplatform = \"{platform_url}\"\n\
             peer_key_file = \"{folder}/peer.key\"\n\
             operator_key_file = \"{folder}/operator.digest\"\nrouting = \"{routing}\"\n"
        );
        self.write(&format!("{vm}.toml"), &settings)
    }

    /// Runs `mustardshedctl` and returns its standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not exit with zero.
    pub async fn ctl(&self, platform_url: &str, args: &[&str]) -> Result<String, FleetError> {
        let mut command = std_process::Command::new(self.programs.join("mustardshedctl"));
        command
            .args(["--platform", platform_url, "--operator-key-file"])
            .arg(self.folder.join("operator.key"))
            .args(args);
        let spawned = tokio::task::spawn_blocking(move || command.output()).await;
        let failed =
            |reason: String| FleetError::Call(format!("mustardshedctl {}", args.join(" ")), reason);
        let output = spawned
            .map_err(|e| failed(e.to_string()))?
            .map_err(|e| failed(e.to_string()))?;
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(stdout);
        }
        let stderr = String::from_utf8_lossy(&output.stderr);
        Err(failed(format!("{} {stdout} {stderr}", output.status)))
    }

    fn write(&self, name: &str, content: &str) -> Result<path::PathBuf, FleetError> {
        let file = self.folder.join(name);
        fs::write(&file, content).map_err(|e| FleetError::File(file.clone(), e))?;
        Ok(file)
    }
}

/// Returns the SHA-256 digest of a key in hexadecimal digits.
pub fn digest(key: &str) -> String {
    hex::encode(sha2::Sha256::digest(key.as_bytes()))
}

/// Returns the folder of the built binaries, derived from the path of this program.
fn programs_folder() -> path::PathBuf {
    let program = env::current_exe().unwrap_or_default();
    let folder = program.parent().unwrap_or(path::Path::new("."));
    match folder.file_name().and_then(|name| name.to_str()) {
        Some("deps" | "examples") => folder.parent().unwrap_or(folder).to_owned(),
        _ => folder.to_owned(),
    }
}
