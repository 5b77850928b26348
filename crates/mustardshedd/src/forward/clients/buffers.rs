//! Buffers of clients' connections, in the kernel and in this process.

use std::{io, net};

use mustardshed::config::forwarding;
use tokio::net as tokio_net;

use crate::forward::listeners;

/// Buffer and task of a connection in this process, in bytes.
const PROCESS_BYTES: usize = 16 * 1024;
/// Kernel's buffer for unread bytes of a connection for discovery, readiness or metrics, whose requests
/// have no bodies, in bytes.
const OTHERS_RECEIVE_BYTES: u32 = 8 * 1024;
/// Bytes that the kernel may hold, in multiples of the buffer that it is asked for: Linux doubles it.
const KERNEL_FACTOR: usize = 2;
/// Divisor of the memory budget that gives the memory of all connections.
const CONNECTIONS_DIVISOR: usize = 2;
/// Divisor of the memory budget that gives the kernel's memory of callers' connections that are not
/// accepted yet.
const TRAFFIC_QUEUE_DIVISOR: usize = 4;
/// The same for discovery, readiness and metrics, each.
const OTHERS_QUEUE_DIVISOR: usize = 32;
/// Least number of connections that may wait until they are accepted.
const MIN_QUEUE_LENGTH: usize = 16;
/// Most connections that may wait until they are accepted.
const MAX_QUEUE_LENGTH: usize = 1024;

/// The buffers of one connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Buffers {
    receive_bytes: u32,
    queue_divisor: usize,
}

impl Buffers {
    /// Returns the buffers of a connection to a listener with this purpose.
    #[must_use]
    pub const fn new(settings: &forwarding::Clients, purpose: listeners::Purpose) -> Self {
        match purpose {
            listeners::Purpose::Traffic => Self {
                receive_bytes: settings.receive_buffer_bytes,
                queue_divisor: TRAFFIC_QUEUE_DIVISOR,
            },
            listeners::Purpose::Discovery | listeners::Purpose::Metrics => Self {
                receive_bytes: OTHERS_RECEIVE_BYTES,
                queue_divisor: OTHERS_QUEUE_DIVISOR,
            },
        }
    }

    /// Returns the memory of a connection, in bytes.
    #[must_use]
    pub const fn connection_bytes(self) -> usize {
        PROCESS_BYTES + self.kernel_bytes()
    }

    /// Returns how many connections of callers a budget of so many bytes allows.
    #[must_use]
    pub const fn max_connections(self, budget_bytes: usize) -> usize {
        budget_bytes / CONNECTIONS_DIVISOR / self.connection_bytes()
    }

    /// Listens on an address; the budget limits how many connections may wait until they are accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn listen(
        self,
        address: net::SocketAddr,
        budget_bytes: usize,
    ) -> io::Result<tokio_net::TcpListener> {
        let socket = match address {
            net::SocketAddr::V4(_) => tokio_net::TcpSocket::new_v4(),
            net::SocketAddr::V6(_) => tokio_net::TcpSocket::new_v6(),
        }?;
        socket.set_reuseaddr(true)?;
        // Connections inherit it. It also ends the growth of their buffers by the kernel.
        socket.set_recv_buffer_size(self.receive_bytes)?;
        socket.bind(address)?;
        socket.listen(self.queue_length(budget_bytes))
    }

    fn queue_length(self, budget_bytes: usize) -> u32 {
        let length = budget_bytes / self.queue_divisor / self.kernel_bytes();
        let length = length.clamp(MIN_QUEUE_LENGTH, MAX_QUEUE_LENGTH);
        u32::try_from(length).unwrap_or(u32::MAX)
    }

    const fn kernel_bytes(self) -> usize {
        self.receive_bytes as usize * KERNEL_FACTOR
    }
}
