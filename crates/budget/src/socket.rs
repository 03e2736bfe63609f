//! Sockets that receive a bounded number of bytes before the process reads them.
//!
//! What has been received and not read counts toward the memory of the machine, also on connections that wait to be accepted.
//! The size of the receive buffer bounds it, and the backlog bounds the number of connections that wait.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Receive buffer of a client's connection. An ordinary request fits in it, so that it needs one round trip.
pub const CLIENT_RECEIVE_BYTES: usize = 16 * 1_024;
/// Receive buffer of a connection between two entries, over which a whole configuration is sent at times.
pub const LINK_RECEIVE_BYTES: usize = 32 * 1_024;
/// Receive buffer of a connection to an upstream.
pub const UPSTREAM_RECEIVE_BYTES: usize = 32 * 1_024;
/// Receive buffer of a connection to the platform's store, of which there are few.
pub const STORE_RECEIVE_BYTES: usize = 256 * 1_024;

/// Callers' connections that wait to be accepted; a further one is tried again by its client.
pub const CALLER_BACKLOG: u32 = 128;
/// Connections of other entries that wait.
pub const LINK_BACKLOG: u32 = 128;
/// Connections to a page, or of peers over HTTP, that wait.
pub const PAGE_BACKLOG: u32 = 32;

/// Number of listeners with [`PAGE_BACKLOG`].
const PAGE_LISTENERS: u32 = 2;

/// Bytes of clients' connections that wait to be accepted.
pub(crate) const WAITING_BYTES: usize =
    (CALLER_BACKLOG + PAGE_LISTENERS * PAGE_BACKLOG) as usize * CLIENT_RECEIVE_BYTES;

/// The value of `SO_RCVBUF` for a receive buffer of `receive_bytes`; the kernel doubles it.
#[must_use]
pub const fn receive_buffer_option(receive_bytes: usize) -> usize {
    receive_bytes / 2
}

/// Listens for connections with a receive buffer of `receive_bytes`, of which `backlog` wait to be accepted.
///
/// # Errors
///
/// Fails when the address cannot be bound or the options cannot be set.
pub fn listen(address: SocketAddr, receive_bytes: usize, backlog: u32) -> io::Result<TcpListener> {
    let socket = socket(address, receive_bytes)?;
    // A restarted process binds its port while connections of the former one are being closed.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Connects to an address, with a receive buffer of `receive_bytes`.
///
/// # Errors
///
/// Fails when the connection cannot be opened or the option cannot be set.
pub async fn connect(address: SocketAddr, receive_bytes: usize) -> io::Result<TcpStream> {
    socket(address, receive_bytes)?.connect(address).await
}

/// The option is set before the connection exists, because it also limits the window that is announced to the other side.
fn socket(address: SocketAddr, receive_bytes: usize) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    let option = u32::try_from(receive_buffer_option(receive_bytes)).unwrap_or(u32::MAX);
    socket.set_recv_buffer_size(option)?;
    Ok(socket)
}
