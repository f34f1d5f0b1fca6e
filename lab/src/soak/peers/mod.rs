//! Stand-ins for the limiter's peers, which fail on demand: upstream servers, service discovery and
//! the quota counter.

mod counter;
mod discovery;
mod server;

pub use counter::Counter;
pub use discovery::Discovery;
pub use server::{value_of, Conduct, Server, LONG_PREFIX, LONG_VALUE_BYTES, SLOW_PREFIX};

use crate::stand_in::spawn;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval at which a silent peer looks whether it is to answer again.
const SILENT_POLL: Duration = Duration::from_millis(20);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Accepts connections on a free port and serves each on its own thread.
fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    spawn(move || {
        for stream in listener.incoming().flatten() {
            _ = stream.set_nodelay(true);
            let serve = serve.clone();
            _ = spawn(move || serve(stream));
        }
    })?;
    Ok(address)
}
