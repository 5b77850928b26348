//! Settings and key files, read before the daemon starts.

use std::{fs, io, path, sync};

use displaydoc::Display;
use mustardshed::config::{problem, settings};

/// Minimum length of the secret that peers share, in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;

/// Settings with the contents of the files that they name.
#[derive(Clone, Debug)]
pub struct LoadedSettings {
    /// Settings.
    pub settings: settings::Settings,
    /// Secret that peers share.
    pub peer_key: sync::Arc<[u8]>,
    /// SHA-256 digest of the operators' key.
    pub operator_key_digest: [u8; 32],
}

/// Why the daemon cannot start.
#[derive(Debug, Display)]
pub enum StartupError {
    /// {0}: {1}
    File(path::PathBuf, io::Error),
    /// {0}: {1}
    Settings(path::PathBuf, Problems),
    /// {0}: expected at least 16 bytes of shared secret, found {1}
    PeerKey(path::PathBuf, usize),
    /// {0}: expected the SHA-256 digest of the operators' key as 64 hexadecimal digits
    OperatorKey(path::PathBuf),
}

impl std::error::Error for StartupError {}

/// Problems of the settings, one a line.
#[derive(Debug)]
pub struct Problems(Vec<problem::Problem>);

impl From<Vec<problem::Problem>> for Problems {
    fn from(problems: Vec<problem::Problem>) -> Self {
        Self(problems)
    }
}

impl std::fmt::Display for Problems {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} problems", self.0.len())?;
        for problem in &self.0 {
            write!(f, "\n  {problem}")?;
        }
        Ok(())
    }
}

/// Reads the settings and the key files that they name.
///
/// # Errors
///
/// Returns an error if a file cannot be read or its content is not valid.
pub fn read(file: &path::Path) -> Result<LoadedSettings, StartupError> {
    let source = read_text(file)?;
    let settings = settings::parse(&source)
        .map_err(|problems| StartupError::Settings(file.to_owned(), problems.into()))?;
    let peer_key = peer_key(&settings.peer_key_file)?;
    let operator_key_digest = operator_key_digest(&settings.operator_key_file)?;
    Ok(LoadedSettings {
        settings,
        peer_key,
        operator_key_digest,
    })
}

fn read_text(file: &path::Path) -> Result<String, StartupError> {
    fs::read_to_string(file).map_err(|e| StartupError::File(file.to_owned(), e))
}

fn peer_key(file: &path::Path) -> Result<sync::Arc<[u8]>, StartupError> {
    let text = read_text(file)?;
    let key = text.trim().as_bytes();
    if key.len() < MIN_PEER_KEY_BYTES {
        return Err(StartupError::PeerKey(file.to_owned(), key.len()));
    }
    Ok(key.into())
}

fn operator_key_digest(file: &path::Path) -> Result<[u8; 32], StartupError> {
    let text = read_text(file)?;
    let mut digest = [0; 32];
    hex::decode_to_slice(text.trim(), &mut digest)
        .map_err(|_| StartupError::OperatorKey(file.to_owned()))?;
    Ok(digest)
}
