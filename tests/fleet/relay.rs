//! The network between the processes of a fleet: every datagram goes through here, and by script is lost, late, out of
//! order, repeated or cut off, one way or both ways.

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

pub const SECRET: &str = "00112233445566778899aabbccddeeff";

/// The key that [`SECRET`] words.
pub fn key() -> Key {
    let secret: Vec<u8> = (0..16).map(|n| n * 0x11).collect();
    Key::new(&secret)
}

/// What happens to datagrams.
pub struct Script {
    /// Which side each limiter is on: nothing passes from one side to another.
    pub side: Vec<u8>,
    /// Ways that are cut in one direction.
    pub cut: Vec<(usize, usize)>,
    /// Part that is lost, part that comes twice, and how late they may be, in ms.
    pub loss: f64,
    pub twice: f64,
    pub late: u64,
    rng: StdRng,
}

/// On its way: when it arrives, its number, from where and to where.
type OnTheWay = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

/// Relays that this process has started.
static RELAYS: AtomicU32 = AtomicU32::new(0);

struct Shared {
    /// Name of the fleet, which no other relay has while this process runs.
    ///
    /// Guards against datagrams of another test's limiters, which still speak to a port that the system has given to this one.
    fleet: String,
    sockets: Vec<UdpSocket>,
    /// Where each limiter really is, as its datagrams tell.
    real: Mutex<Vec<Option<SocketAddr>>>,
    script: Mutex<Script>,
    way: Mutex<(u64, BinaryHeap<OnTheWay>)>,
    came: Condvar,
    /// Every datagram that passed, for replays.
    kept: Mutex<Vec<(usize, Vec<u8>)>>,
}

/// A relay in front of each limiter.
#[derive(Clone)]
pub struct Relay(Arc<Shared>);

impl Relay {
    pub fn new(limiters: usize, seed: u64) -> Self {
        let socket = |_| UdpSocket::bind("127.0.0.1:0").expect("a port");
        let script = Script {
            side: vec![0; limiters],
            cut: Vec::new(),
            loss: 0.0,
            twice: 0.0,
            late: 5,
            rng: StdRng::seed_from_u64(seed),
        };
        let number = RELAYS.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::new(Shared {
            fleet: format!("rig-{:x}-{number:x}", std::process::id()),
            sockets: (0..limiters).map(socket).collect(),
            real: Mutex::new(vec![None; limiters]),
            script: Mutex::new(script),
            way: Mutex::default(),
            came: Condvar::new(),
            kept: Mutex::default(),
        });
        for to in 0..limiters {
            let own = shared.clone();
            thread::spawn(move || own.take(to));
        }
        let own = shared.clone();
        thread::spawn(move || own.deliver());
        Self(shared)
    }

    /// Name of the fleet behind this relay.
    pub fn fleet(&self) -> &str {
        &self.0.fleet
    }

    /// Where the others reach a limiter.
    pub fn address(&self, who: usize) -> SocketAddr {
        self.0.sockets[who].local_addr().expect("an address")
    }

    pub fn script(&self, change: impl FnOnce(&mut Script)) {
        change(&mut self.0.script.lock().expect("whole"));
    }

    /// Where a limiter really is, once it has spoken.
    pub fn real(&self, who: usize) -> Option<SocketAddr> {
        self.0.real.lock().expect("whole")[who]
    }

    /// Datagrams that went to this limiter.
    pub fn kept(&self, to: usize) -> Vec<Vec<u8>> {
        let kept = self.0.kept.lock().expect("whole");
        kept.iter()
            .filter(|(who, _)| *who == to)
            .map(|(_, bytes)| bytes.clone())
            .collect()
    }
}

impl Shared {
    fn take(&self, to: usize) {
        let key = key();
        let mut bytes = [0; 512];
        while let Ok((size, at)) = self.sockets[to].recv_from(&mut bytes) {
            let Ok(datagram) = key.open(&self.fleet, &bytes[..size]) else {
                continue;
            };
            let from = datagram.sender as usize;
            self.real.lock().expect("whole")[from] = Some(at);
            let mut copies = Vec::new();
            {
                let mut script = self.script.lock().expect("whole");
                let passes =
                    script.side[from] == script.side[to] && !script.cut.contains(&(from, to));
                let (loss, twice, late) = (script.loss, script.twice, script.late);
                if passes && !script.rng.random_bool(loss) {
                    let times = if script.rng.random_bool(twice) { 2 } else { 1 };
                    for _ in 0..times {
                        copies.push(Duration::from_millis(script.rng.random_range(0..=late)));
                    }
                }
            }
            let mut kept = self.kept.lock().expect("whole");
            if kept.len() < 4_000 {
                kept.push((to, bytes[..size].to_vec()));
            }
            let mut way = self.way.lock().expect("whole");
            for late in copies {
                way.0 += 1;
                let number = way.0;
                way.1.push(Reverse((
                    Instant::now() + late,
                    number,
                    from,
                    to,
                    bytes[..size].to_vec(),
                )));
            }
            self.came.notify_one();
        }
    }

    fn deliver(&self) {
        let mut way = self.way.lock().expect("whole");
        loop {
            let now = Instant::now();
            let wait = match way.1.peek() {
                Some(Reverse((at, ..))) if *at <= now => {
                    if let Some(Reverse((.., from, to, bytes))) = way.1.pop() {
                        let real = self.real.lock().expect("whole")[to];
                        // From where the receiver knows the sender to be.
                        real.map(|at| self.sockets[from].send_to(&bytes, at));
                    }
                    continue;
                }
                Some(Reverse((at, ..))) => *at - now,
                None => Duration::from_secs(1),
            };
            way = self.came.wait_timeout(way, wait).expect("whole").0;
        }
    }
}
