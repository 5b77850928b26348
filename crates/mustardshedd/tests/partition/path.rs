//! The path from one entry to one server: a proxy on loopback that can be cut.

use std::{io, net, time};

use tokio::{
    io::{self as io_traits, AsyncReadExt, AsyncWriteExt},
    net as tokio_net,
    sync::watch,
    task,
};

/// Pending connections of a path that is not cut.
const BACKLOG: i32 = 1_024;
/// Size of the copy buffer, in bytes.
const BUF_BYTES: usize = 16 * 1024;

/// State of a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// Passes everything on.
    Open,
    /// New connections hang, and open ones go silent.
    Hangs,
    /// New connections are refused, and open ones are reset.
    Resets,
    /// New connections are refused, and open ones live on.
    RefusesNew,
    /// Connections are accepted, but nothing is passed on for now.
    Silent,
}

impl State {
    fn passes_bytes(self) -> bool {
        matches!(self, Self::Open | Self::RefusesNew)
    }
}

/// A path, which is closed when dropped.
#[derive(Debug)]
pub(crate) struct Path {
    pub(crate) address: net::SocketAddr,
    state: watch::Sender<State>,
    /// State that new connections meet.
    in_force: watch::Receiver<State>,
    accepting: task::JoinHandle<()>,
}

impl Drop for Path {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Path {
    /// Opens a path to a server on a free port of `ip`.
    pub(crate) fn open(ip: net::Ipv4Addr, server: net::SocketAddr) -> Self {
        let listener = net::TcpListener::bind((ip, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let (state, changes) = watch::channel(State::Open);
        let (applied, in_force) = watch::channel(State::Open);
        let accepting = task::spawn(run(listener, server, changes, applied));
        Self {
            address,
            state,
            in_force,
            accepting,
        }
    }

    /// Changes the state.
    pub(crate) fn set(&self, state: State) {
        self.state.send_replace(state);
    }

    /// Waits until new connections meet `state`.
    pub(crate) async fn wait_for(&self, state: State) {
        let mut in_force = self.in_force.clone();
        in_force.wait_for(|it| *it == state).await.unwrap();
    }
}

async fn run(
    mut listener: net::TcpListener,
    server: net::SocketAddr,
    mut state: watch::Receiver<State>,
    applied: watch::Sender<State>,
) {
    let address = listener.local_addr().unwrap();
    loop {
        let current = *state.borrow_and_update();
        match current {
            State::Open => {
                listen(&listener, BACKLOG);
                applied.send_replace(current);
                listener = accept(listener, server, &mut state).await;
            }
            State::Hangs => {
                let full = fill_backlog(&listener);
                applied.send_replace(current);
                drop(state.changed().await);
                drop(full);
            }
            State::Silent => {
                applied.send_replace(current);
                drop(state.changed().await);
            }
            State::Resets | State::RefusesNew => {
                drop(listener);
                applied.send_replace(current);
                drop(state.changed().await);
                listener = rebind(address).await;
            }
        }
    }
}

fn listen(listener: &net::TcpListener, backlog: i32) {
    socket2::SockRef::from(listener).listen(backlog).unwrap();
}

/// Fills the queue of pending connections, so that the kernel drops further ones.
fn fill_backlog(listener: &net::TcpListener) -> Vec<socket2::Socket> {
    listen(listener, 0);
    let address = listener.local_addr().unwrap().into();
    let connecting = (0..2).map(|_| {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        // It is under way, or the queue is full.
        drop(socket.connect(&address));
        socket
    });
    connecting.collect()
}

async fn rebind(address: net::SocketAddr) -> net::TcpListener {
    loop {
        match net::TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(e) => assert_eq!(e.kind(), io::ErrorKind::AddrInUse),
        }
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

/// Accepts connections while the path is open, and returns the listener.
async fn accept(
    listener: net::TcpListener,
    server: net::SocketAddr,
    state: &mut watch::Receiver<State>,
) -> net::TcpListener {
    listener.set_nonblocking(true).unwrap();
    let listener = tokio_net::TcpListener::from_std(listener).unwrap();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                task::spawn(pass_on(accepted.unwrap().0, server, state.clone()));
            }
            _ = state.changed() => return listener.into_std().unwrap(),
        }
    }
}

/// Passes bytes on in both directions until either side closes or the path is reset.
async fn pass_on(
    mut entry: tokio_net::TcpStream,
    server: net::SocketAddr,
    mut state: watch::Receiver<State>,
) {
    let Ok(mut server) = tokio_net::TcpStream::connect(server).await else {
        return reset(&entry);
    };
    let is_reset = {
        let (from_entry, to_entry) = entry.split();
        let (from_server, to_server) = server.split();
        let (requests_state, responses_state) = (state.clone(), state.clone());
        tokio::select! {
            _ = state.wait_for(|state| *state == State::Resets) => true,
            ended = copy(from_entry, to_server, requests_state) => ended.is_err(),
            ended = copy(from_server, to_entry, responses_state) => ended.is_err(),
        }
    };
    if is_reset {
        reset(&entry);
        reset(&server);
    }
}

/// Makes the connection be reset when it is dropped.
fn reset(stream: &tokio_net::TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(time::Duration::ZERO)).unwrap();
}

async fn copy<R, W>(mut rx: R, mut tx: W, mut state: watch::Receiver<State>) -> io::Result<()>
where
    R: io_traits::AsyncRead + Unpin,
    W: io_traits::AsyncWrite + Unpin,
{
    let mut buf = vec![0; BUF_BYTES];
    loop {
        let len = rx.read(&mut buf).await?;
        // An error means that the path is closed.
        drop(state.wait_for(|state| state.passes_bytes()).await);
        if len == 0 {
            return tx.shutdown().await;
        }
        tx.write_all(&buf[..len]).await?;
    }
}
