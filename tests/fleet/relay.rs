//! The network between the processes of a fleet. Every datagram passes through a relay, which loses,
//! delays, reorders, duplicates or blocks it, in one or both directions, as the test sets it.

use mossrill::membership::key::Key;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The secret of the fleet's key, in hex digits as in the configuration.
pub const SECRET: &str = "00112233445566778899aabbccddeeff";

/// Returns the key with the secret [`SECRET`].
pub fn key() -> Key {
    let secret: Vec<u8> = (0..16).map(|n| n * 0x11).collect();
    Key::new(&secret)
}

/// Faults that the relay injects.
pub struct NetworkFaults {
    /// Number of the partition that each limiter is in. Datagrams do not pass between partitions.
    pub partition: Vec<u8>,
    /// Sender and receiver of each link whose datagrams are all lost, in this direction only.
    pub cut_links: Vec<(usize, usize)>,
    /// Fraction of the datagrams that is lost, from 0 to 1.
    pub loss: f64,
    /// Fraction of the datagrams that is delivered twice, from 0 to 1.
    pub duplication: f64,
    /// Maximum delay of a datagram in ms.
    pub max_delay_ms: u64,
    rng: StdRng,
}

/// A datagram in transit: due time, sequence number, sender, receiver and content.
type InTransit = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

/// Number of relays that this process has created.
static RELAYS: AtomicU32 = AtomicU32::new(0);

struct Shared {
    /// Name of the fleet, unique among the relays of this process.
    ///
    /// Guards against datagrams of another test's limiters, which still send to a port that the
    /// system has given to this relay since.
    fleet: String,
    /// For each limiter, the socket that receives the datagrams sent to it.
    sockets: Vec<UdpSocket>,
    /// Address of each limiter's own socket, learned from the datagrams that it sends.
    limiter_addresses: Mutex<Vec<Option<SocketAddr>>>,
    faults: Mutex<NetworkFaults>,
    /// The last sequence number, and the datagrams in transit.
    in_transit: Mutex<(u64, BinaryHeap<InTransit>)>,
    /// Notified when a datagram has been added to `in_transit`.
    added: Condvar,
    /// The first datagrams that the relay received, each with its receiver, for replays.
    captured: Mutex<Vec<(usize, Vec<u8>)>>,
}

/// A relay that has a socket in front of each limiter.
#[derive(Clone)]
pub struct Relay(Arc<Shared>);

impl Relay {
    /// Starts a relay for `limiters` limiters. The seed determines which datagrams the faults hit.
    pub fn new(limiters: usize, seed: u64) -> Self {
        let socket = |_| UdpSocket::bind("127.0.0.1:0").expect("bind a UDP socket");
        let faults = NetworkFaults {
            partition: vec![0; limiters],
            cut_links: Vec::new(),
            loss: 0.0,
            duplication: 0.0,
            max_delay_ms: 5,
            rng: StdRng::seed_from_u64(seed),
        };
        let number = RELAYS.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::new(Shared {
            fleet: format!("rig-{:x}-{number:x}", std::process::id()),
            sockets: (0..limiters).map(socket).collect(),
            limiter_addresses: Mutex::new(vec![None; limiters]),
            faults: Mutex::new(faults),
            in_transit: Mutex::default(),
            added: Condvar::new(),
            captured: Mutex::default(),
        });
        for to in 0..limiters {
            let own = shared.clone();
            thread::spawn(move || own.receive(to));
        }
        let own = shared.clone();
        thread::spawn(move || own.deliver());
        Self(shared)
    }

    /// Returns the name of the fleet behind this relay.
    pub fn fleet(&self) -> &str {
        &self.0.fleet
    }

    /// Returns the address at which the other limiters reach this one.
    pub fn address(&self, limiter: usize) -> SocketAddr {
        self.0.sockets[limiter]
            .local_addr()
            .expect("read the address of the relay's socket")
    }

    pub fn change_faults(&self, change: impl FnOnce(&mut NetworkFaults)) {
        change(&mut self.0.faults.lock().expect("lock the faults"));
    }

    /// Returns the address of the limiter's own socket; `None` until the limiter has sent a
    /// datagram.
    pub fn limiter_address(&self, limiter: usize) -> Option<SocketAddr> {
        self.0.limiter_addresses.lock().expect("lock the addresses")[limiter]
    }

    /// Returns the captured datagrams that were sent to this limiter.
    pub fn captured(&self, to: usize) -> Vec<Vec<u8>> {
        let captured = self.0.captured.lock().expect("lock the captured datagrams");
        captured
            .iter()
            .filter(|(receiver, _)| *receiver == to)
            .map(|(_, bytes)| bytes.clone())
            .collect()
    }
}

impl Shared {
    /// Receives the datagrams sent to limiter `to`, applies the faults, and queues the copies that
    /// are to be delivered.
    fn receive(&self, to: usize) {
        let key = key();
        let mut bytes = [0; 512];
        while let Ok((size, at)) = self.sockets[to].recv_from(&mut bytes) {
            let Ok(datagram) = key.open(&self.fleet, &bytes[..size]) else {
                continue;
            };
            let from = datagram.sender as usize;
            self.limiter_addresses.lock().expect("lock the addresses")[from] = Some(at);
            let mut delays = Vec::new();
            {
                let mut faults = self.faults.lock().expect("lock the faults");
                let connected = faults.partition[from] == faults.partition[to]
                    && !faults.cut_links.contains(&(from, to));
                let (loss, duplication, max_delay_ms) =
                    (faults.loss, faults.duplication, faults.max_delay_ms);
                if connected && !faults.rng.random_bool(loss) {
                    let copies = if faults.rng.random_bool(duplication) {
                        2
                    } else {
                        1
                    };
                    for _ in 0..copies {
                        let delay_ms = faults.rng.random_range(0..=max_delay_ms);
                        delays.push(Duration::from_millis(delay_ms));
                    }
                }
            }
            let mut captured = self.captured.lock().expect("lock the captured datagrams");
            if captured.len() < 4_000 {
                captured.push((to, bytes[..size].to_vec()));
            }
            let mut in_transit = self.in_transit.lock().expect("lock the queue");
            for delay in delays {
                in_transit.0 += 1;
                let number = in_transit.0;
                in_transit.1.push(Reverse((
                    Instant::now() + delay,
                    number,
                    from,
                    to,
                    bytes[..size].to_vec(),
                )));
            }
            self.added.notify_one();
        }
    }

    /// Delivers the datagrams in transit as they become due.
    fn deliver(&self) {
        let mut in_transit = self.in_transit.lock().expect("lock the queue");
        loop {
            let now = Instant::now();
            let wait = match in_transit.1.peek() {
                Some(Reverse((due, ..))) if *due <= now => {
                    if let Some(Reverse((.., from, to, bytes))) = in_transit.1.pop() {
                        let receiver =
                            self.limiter_addresses.lock().expect("lock the addresses")[to];
                        // Sent from the address that the receiver has for the sender.
                        receiver.map(|at| self.sockets[from].send_to(&bytes, at));
                    }
                    continue;
                }
                Some(Reverse((due, ..))) => *due - now,
                None => Duration::from_secs(1),
            };
            in_transit = self
                .added
                .wait_timeout(in_transit, wait)
                .expect("lock the queue")
                .0;
        }
    }
}
