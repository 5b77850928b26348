//! Settings of the entry daemon.

mod limits;
mod log_level;
mod routing;

use std::{net, path};

pub use limits::Limits;
pub use log_level::LogLevel;
pub use routing::Routing;

use crate::{
    problem,
    reader::{self, read, section},
};

/// Greatest size of a settings file, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 64 * 1024;

/// Validated settings of the entry daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address to listen on for callers and operators.
    pub listen: net::SocketAddr,
    /// Address to listen on for peers.
    pub peer_listen: net::SocketAddr,
    /// Address advertised to callers.
    pub advertise: net::SocketAddr,
    /// Address advertised to peers.
    pub advertise_peer: net::SocketAddr,
    /// Base URL of the platform's object API, without a trailing slash.
    pub platform: String,
    /// File that contains the secret shared by all entries.
    pub peer_key_file: path::PathBuf,
    /// File that contains the SHA-256 digest of the operators' key.
    pub operator_key_file: path::PathBuf,
    /// Lowest severity that is logged.
    pub log_level: LogLevel,
    /// Load-balancing policy for backend servers.
    pub routing: Routing,
    /// Address that statsd metrics are sent to, if any.
    pub metrics: Option<net::SocketAddr>,
    /// Limits of this process.
    pub limits: Limits,
}

/// Parses and validates the settings, a TOML document.
///
/// # Errors
///
/// Returns every problem found, ordered by line. Settings that are not TOML, or longer than
/// [`MAX_SETTINGS_BYTES`], are not checked further.
pub fn parse(source: &str) -> Result<Settings, Vec<problem::Problem>> {
    reader::document(source, MAX_SETTINGS_BYTES, |_, root| {
        let settings = Settings::read(root);
        root.report_unknown();
        settings
    })
}

impl Settings {
    fn read(root: &section::Section<'_, '_>) -> Option<Self> {
        let vm = root.required("vm", read::name);
        let data_centre = root.required("data_centre", read::name);
        let listen = root.required("listen", read::address);
        let peer_listen = root.required("peer_listen", read::address);
        let advertise = advertised(root, "advertise", "listen", listen);
        let advertise_peer = advertised(root, "advertise_peer", "peer_listen", peer_listen);
        let platform = root.required("platform", read::http_url);
        let peer_key_file = root.required("peer_key_file", read::file);
        let operator_key_file = root.required("operator_key_file", read::file);
        let log_level = root.optional("log_level", LogLevel::Info, LogLevel::read);
        let routing = root.optional("routing", Routing::Estimate, Routing::read);
        let metrics = root.optional("metrics", None, |field| read::address(field).map(Some));
        let limits = root.optional("limits", Limits::default(), Limits::read);
        Some(Self {
            vm: vm?,
            data_centre: data_centre?,
            listen: listen?,
            peer_listen: peer_listen?,
            advertise: advertise?,
            advertise_peer: advertise_peer?,
            platform: platform?,
            peer_key_file: peer_key_file?,
            operator_key_file: operator_key_file?,
            log_level: log_level?,
            routing: routing?,
            metrics: metrics?,
            limits: limits?,
        })
    }
}

/// Reads an address advertised to others, by default the listen address. Reports one that nobody
/// can connect to: an unspecified IP address or port 0.
fn advertised(
    root: &section::Section<'_, '_>,
    key: &'static str,
    listen_key: &'static str,
    listen: Option<net::SocketAddr>,
) -> Option<net::SocketAddr> {
    let written = root.optional(key, None, |field| read::address(field).map(Some))?;
    let address = written.or(listen)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        let key = if written.is_some() { key } else { listen_key };
        root.add(key, problem::Reason::Unreachable);
        return None;
    }
    Some(address)
}
