//! The socket on which clients connect.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Most connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Binds a listener. With `is_shared` a second process may bind the same address beside this one, as an
/// upgrade needs.
///
/// # Errors
/// The address can't be bound.
pub(super) fn bind(address: SocketAddr, is_shared: bool) -> io::Result<TcpListener> {
    if !is_shared {
        return TcpListener::bind(address);
    }
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
