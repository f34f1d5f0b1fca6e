//! What speaks to the platform: agents in front, ticket nodes behind, the node list and the quota counter.
//!
//! Each connection has a small thread of its own; all of them reach the core through its queue.

pub mod agents;
pub mod buffers;
pub mod count_lines;
pub mod front;
pub mod http;
pub mod node_calls;
pub mod node_list;
pub mod platform;
pub mod quota_counter;
pub mod redis_counter;
pub mod resp;
pub mod tap;
pub mod ticket_nodes;
pub mod wiring;

use crossbeam_channel::{bounded, RecvError, Sender};
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::{self, ThreadId};
use std::time::Duration;

/// Enough for every thread of this program; hundreds of them must fit beside the buffers.
const STACK: usize = 96 * 1024;

/// Threads without work that are kept for a while: about as many as connections end at once.
const IDLE: usize = 16;
const IDLE_TIME: Duration = Duration::from_secs(10);

type Work = Box<dyn FnOnce() + Send>;

static RESTING: Mutex<Vec<(ThreadId, Sender<Work>)>> = Mutex::new(Vec::new());

/// Has work done on a thread with a small stack: one that rests, or a new one.
///
/// Guards against connections that come and go by the hundred: most of the time of a limiter with a part of a core
/// went into starting and ending their threads.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let mut work: Work = Box::new(work);
    let resting = lock(&RESTING).pop();
    if let Some((_, thread)) = resting {
        match thread.send(work) {
            Ok(()) => return Ok(()),
            Err(back) => work = back.0,
        }
    }
    thread::Builder::new().name(name.into()).stack_size(STACK).spawn(move || labour(work)).map(drop)
}

fn labour(mut work: Work) {
    let (own, (sender, next)) = (thread::current().id(), bounded(1));
    loop {
        work();
        {
            let mut resting = lock(&RESTING);
            if resting.len() >= IDLE {
                return;
            }
            resting.push((own, sender.clone()));
        }
        let more = next.recv_timeout(IDLE_TIME).or_else(|_| {
            let mut resting = lock(&RESTING);
            match resting.iter().position(|(id, _)| *id == own) {
                Some(at) => {
                    resting.remove(at);
                    Err(RecvError)
                }
                // Chosen just now: the work is on its way.
                None => {
                    drop(resting);
                    next.recv()
                }
            }
        });
        match more {
            Ok(more) => work = more,
            Err(RecvError) => return,
        }
    }
}

/// Locks; what a panicking thread left behind is still whole, as no lock is held over a call that may panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
