//! How the file descriptors of the process are divided.

/// A limiter has room for at least this many connections on either side.
const MIN_CONNECTIONS: usize = 8;

/// Most connections of a limiter that has no other process beside it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionLimits {
    /// Connections of clients.
    clients: usize,
    /// Connections to upstream servers.
    upstream: usize,
}

impl ConnectionLimits {
    /// Divides the descriptors of a process. Clients have a third and a twelfth more for floods, upstream
    /// servers a third. The rest is for listeners, service discovery, the counter, logs and connections that
    /// are being closed.
    pub(super) fn new(descriptors: usize) -> Self {
        let third = (descriptors / 3).max(MIN_CONNECTIONS);
        Self {
            clients: third + third / 4,
            upstream: third,
        }
    }

    /// Most connections of clients. During an upgrade they move from one process to the other, so that
    /// neither has many of them for long.
    pub(super) fn clients(self, is_shared: bool) -> usize {
        if is_shared {
            self.clients - self.clients / 8
        } else {
            self.clients
        }
    }

    /// Most connections to upstream servers; two processes have half each.
    pub(super) fn upstream(self, is_shared: bool) -> usize {
        if is_shared {
            self.upstream / 2
        } else {
            self.upstream
        }
    }
}
