//! Checks whether a server that closed connections early has crashed.

use std::{io, sync, time};

use mustardshed::core::forward::crash_suspects;
use tokio::net;

use crate::{
    forward::cx::Cx,
    log::{self, event},
};

/// Time from the first closed connection to the check, in which the others are noticed.
const COLLECTION_TIME: time::Duration = time::Duration::from_millis(20);
/// Longest wait for a server to accept or refuse a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

impl Cx {
    /// Checks whether a server that failed a request before the first byte of its answer has
    /// crashed, unless a check is under way; the request counts in it.
    pub fn check_for_crash(self: &sync::Arc<Self>, server: &str, suspect: crash_suspects::Suspect) {
        let mut state = self.state();
        let Some(listed) = state.view.listed_server(server) else {
            return;
        };
        let address = listed.address.clone();
        let suspects = state.crash_checks.entry(server.to_owned()).or_default();
        suspects.push(suspect);
        if suspects.len() == 1 {
            let check = run_check(sync::Arc::clone(self), server.to_owned(), address);
            tokio::spawn(check);
        }
    }
}

/// Tries to connect to a server. Only a closed port shows that it has ended: a server that is cut
/// off does not answer, and one that broke off a response accepts.
async fn run_check(cx: sync::Arc<Cx>, server: String, address: String) {
    tokio::time::sleep(COLLECTION_TIME).await;
    let connecting = net::TcpStream::connect(&address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let is_down = matches!(connected, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused);
    let suspects = cx.state().crash_checks.remove(&server);
    if let Some(suspects) = suspects.filter(|_| is_down) {
        log_crash(&server, &suspects);
    }
}

fn log_crash(server: &str, suspects: &[crash_suspects::Suspect]) {
    let parts = suspects.iter().map(|suspect| suspect.shared.join(" "));
    log::emit(&event::Event::ServerCrashed {
        server,
        requests: suspects.len(),
        parts: &parts.collect::<Vec<_>>().join(", "),
    });
}
