//! Loopback addresses that stay reserved while processes that listen on them start and end.

use std::{io, net};

use tokio::net as tokio_net;

/// A loopback address that is not given to anybody else until this value is dropped.
///
/// It is bound but not listened on: a process that is told the address can still listen there, any
/// number of times, while the system chooses it neither for another listener nor for an outgoing
/// connection.
///
/// ```
/// use mustardshed_standins::fleet::address;
///
/// let first = address::Reserved::open().unwrap();
/// let second = address::Reserved::open().unwrap();
/// assert_ne!(first.addr(), second.addr());
/// ```
#[derive(Debug)]
pub struct Reserved {
    addr: net::SocketAddr,
    _socket: tokio_net::TcpSocket,
}

impl Reserved {
    /// Reserves an address that nobody uses.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if no address can be bound.
    pub fn open() -> io::Result<Self> {
        let socket = tokio_net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind((net::Ipv4Addr::LOCALHOST, 0).into())?;
        Ok(Self {
            addr: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// Returns the address.
    pub const fn addr(&self) -> net::SocketAddr {
        self.addr
    }
}
