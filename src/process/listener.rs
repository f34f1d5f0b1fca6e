//! The socket on which clients connect.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Binds a listener. With `reuse_port`, another process can bind the same address at the same time,
/// which an upgrade requires.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(super) fn bind(address: SocketAddr, reuse_port: bool) -> io::Result<TcpListener> {
    if !reuse_port {
        return TcpListener::bind(address);
    }
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
