//! Open connections to the platform that go silent while new ones work.

use std::{future, net, time};

use googletest::prelude::*;
use tokio::{net as tokio_net, sync};

use crate::{fixture, server};

/// Longest time between two reads by new connections; a watch of servers waits for over twice that.
const MAX_LAG: time::Duration = time::Duration::from_millis(1_500);

/// Passes connections on to the platform until they are made silent.
struct Proxy {
    address: net::SocketAddr,
    silences: sync::watch::Sender<()>,
}

impl Proxy {
    async fn bind(platform: net::SocketAddr) -> Self {
        let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let silences = sync::watch::Sender::new(());
        let sender = silences.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass_on(stream, platform, sender.subscribe()));
            }
        });
        Self { address, silences }
    }

    /// Makes the open connections silent: they stay open and pass nothing on.
    fn silence(&self) {
        self.silences.send_replace(());
    }
}

async fn pass_on(
    mut stream: tokio_net::TcpStream,
    platform: net::SocketAddr,
    mut silenced: sync::watch::Receiver<()>,
) {
    let mut platform = tokio_net::TcpStream::connect(platform).await.unwrap();
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut stream, &mut platform) => {}
        _ = silenced.changed() => future::pending().await,
    }
}

/// Returns whether an entry has read the configuration by a call made after `since`.
fn has_read_since(entry: &fixture::Entry, since: time::Duration) -> bool {
    let now = entry.cx.now();
    let age = entry.cx.state().view.configuration_age(now);
    age.is_some_and(|age| now.saturating_sub(age) > since)
}

fn uses(entry: &fixture::Entry, server: &server::Server) -> bool {
    let now = entry.cx.now();
    entry.cx.state().usable(&server.id, now).is_some()
}

// Guards against servers that get work long after they have announced their leaving, as the watch of
// servers waits on a silent connection while the configuration is read by a new one (DRAIN).
#[gtest]
#[tokio::test]
async fn leaving_server_is_noticed_once_the_configuration_is_read_by_a_new_connection() -> Result<()>
{
    let (old, new) = (
        server::Server::bind("i-1").await,
        server::Server::bind("i-2").await,
    );
    let f = fixture::Fixture::with(&[&old]).await;
    let proxy = Proxy::bind(f.platform_address()).await;
    let through_proxy = |cfg: &mut mustardshed::config::forwarding::Forwarding| {
        cfg.platform = proxy.address;
    };
    let entries = [
        f.entry_with("entry-1", through_proxy).await.ready().await,
        f.entry_with("entry-2", through_proxy).await.ready().await,
    ];
    fixture::wait_until_acquainted(&[&entries[0], &entries[1]]).await;
    // Begins the watch of servers anew.
    f.list(&new, "ready", "north").await;
    fixture::wait_until("the new server to be known", || {
        entries.iter().all(|entry| uses(entry, &new))
    })
    .await;

    proxy.silence();
    let silent_since = entries[0].cx.now();
    f.list(&old, "draining", "north").await;
    fixture::wait_until("the configuration to be read", || {
        has_read_since(&entries[0], silent_since)
    })
    .await;
    let read_at = time::Instant::now();
    fixture::wait_until("the leaving server to be noticed", || {
        !uses(&entries[0], &old)
    })
    .await;

    verify_that!(read_at.elapsed(), lt(MAX_LAG))
}
