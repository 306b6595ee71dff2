use std::{io, net::SocketAddr};

use {
    jasminewall_core::body_account::SOCKET_BUFFER,
    tokio::net::{TcpListener, TcpSocket},
};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 256;

/// Listens for callers. Accepted sockets inherit the size of the buffers from the listener; otherwise the
/// system enlarges them up to megabytes, which belong to the memory of the machine.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    let size = SOCKET_BUFFER as u32;
    let results = [
        socket.set_recv_buffer_size(size),
        socket.set_send_buffer_size(size),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        tracing::warn!(%address, %error, "cannot limit the buffers of callers' sockets");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
