//! Metrics, sent to a statsd collector.

use std::{fmt, io, net, sync, time};

use cadence::{CountedExt, Gauged, Timed};

/// Prefix of every metric.
const PREFIX: &str = "mustardshed";

/// Metrics of the entry, sent over UDP, or nowhere if no collector is set.
#[derive(Clone)]
pub struct Metrics {
    client: Option<sync::Arc<cadence::StatsdClient>>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics")
            .field("enabled", &self.client.is_some())
            .finish()
    }
}

impl Metrics {
    /// Creates metrics that are sent nowhere.
    pub const fn disabled() -> Self {
        Self { client: None }
    }

    /// Creates metrics that are sent to the statsd collector at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if no UDP socket can be opened.
    pub fn open(address: net::SocketAddr) -> io::Result<Self> {
        let any = match address {
            net::SocketAddr::V4(_) => net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED),
            net::SocketAddr::V6(_) => net::IpAddr::V6(net::Ipv6Addr::UNSPECIFIED),
        };
        let socket = net::UdpSocket::bind((any, 0))?;
        socket.set_nonblocking(true)?;
        let sink =
            cadence::BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let sink = cadence::QueuingMetricSink::from(sink);
        let client = cadence::StatsdClient::from_sink(PREFIX, sink);
        Ok(Self {
            client: Some(sync::Arc::new(client)),
        })
    }

    /// Increments the counter `name`.
    pub fn count(&self, name: &str) {
        if let Some(client) = &self.client {
            drop(client.incr(name));
        }
    }

    /// Sets the gauge `name`.
    pub fn set(&self, name: &str, value: u64) {
        if let Some(client) = &self.client {
            drop(client.gauge(name, value));
        }
    }

    /// Records a duration under `name`, in milliseconds.
    pub fn time(&self, name: &str, duration: time::Duration) {
        if let Some(client) = &self.client {
            drop(client.time(name, duration));
        }
    }
}
