//! HTTP server of an engine.

use std::{io, net, sync, time};

use hyper::{server::conn::http1, service};
use hyper_util::rt;
use tokio::{net as tokio_net, task};

use crate::{
    delay::timer,
    engine::{gang, http, settings, shared},
};

/// Pause after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// A running engine; dropping it stops the engine.
#[derive(Debug)]
pub struct Engine {
    address: net::SocketAddr,
    tasks: task::JoinSet<()>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// If the socket can't be bound to the address.
    pub async fn bind(settings: settings::Settings) -> io::Result<Self> {
        let listener = tokio_net::TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let delays = settings.delays.scaled(settings.time_scale);
        let shared = sync::Arc::new(shared::Shared::new(settings));
        let mut tasks = task::JoinSet::new();
        let driven = sync::Arc::clone(&shared);
        tasks.spawn(async move { driven.drive().await });
        let (leader, followed) = gang::open(sync::Arc::clone(&shared));
        tasks.spawn(followed);
        let service = http::Service {
            shared,
            leader,
            delays: sync::Arc::new(delays),
            timer: timer::Timer::spawn(),
        };
        tasks.spawn(serve(listener, service));
        Ok(Self { address, tasks })
    }

    /// Returns the address on which the engine listens.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Waits until a task of the engine ends, which happens only on a panic.
    pub async fn wait(&mut self) {
        self.tasks.join_next().await;
    }
}

async fn serve(listener: tokio_net::TcpListener, service: http::Service) {
    let mut connections = task::JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, service.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection(stream: tokio_net::TcpStream, service: http::Service) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handler = service::service_fn(move |req| service.clone().handle(req));
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .serve_connection(rt::TokioIo::new(stream), handler);
    // An error on one connection affects only its client.
    drop(connection.await);
}
