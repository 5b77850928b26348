//! The platform's stand-in as a process.

use std::{io, net};

use mustardshed_standins::platform;

type Address = net::SocketAddr;

#[tokio::main]
async fn main() -> io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on; port 0 picks a free one.
        required --listen address: Address
    };
    platform::bind(flags.listen).await?.run().await
}
