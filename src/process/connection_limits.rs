//! Division of the file descriptors of the process among its connections.

/// Minimum of each connection limit, for clients and for upstream servers.
const MIN_CONNECTIONS: usize = 8;

/// Maximum numbers of connections. They are reduced while two processes run during an upgrade.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionLimits {
    /// Maximum number of client connections.
    clients: usize,
    /// Maximum number of connections to upstream servers.
    upstream: usize,
}

impl ConnectionLimits {
    /// Divides the file descriptors of a process. A third is for upstream servers. Clients get a
    /// third and another twelfth, which absorbs connection floods. The rest is for listeners,
    /// service discovery, the counter, logs and connections that are being closed.
    pub(super) fn new(descriptors: usize) -> Self {
        let third = (descriptors / 3).max(MIN_CONNECTIONS);
        Self {
            clients: third + third / 4,
            upstream: third,
        }
    }

    /// Returns the maximum number of client connections. During an upgrade they move from one
    /// process to the other, so neither process has many for long, and the limit is only slightly
    /// lower.
    pub(super) fn clients(self, during_upgrade: bool) -> usize {
        if during_upgrade {
            self.clients - self.clients / 8
        } else {
            self.clients
        }
    }

    /// Returns the maximum number of connections to upstream servers. During an upgrade, each of
    /// the two processes has half of them.
    pub(super) fn upstream(self, during_upgrade: bool) -> usize {
        if during_upgrade {
            self.upstream / 2
        } else {
            self.upstream
        }
    }
}
