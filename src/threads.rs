//! Threads with small stacks that are used again, and locks.

use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Enough for every thread of this program; hundreds of them must fit beside the buffers.
const STACK: usize = 96 * 1024;

/// Threads without work that are kept for a while: about as many as begin and end work at once.
const IDLE: usize = 40;
const IDLE_TIME: Duration = Duration::from_secs(1);

type Work = Box<dyn FnOnce() + Send>;

/// Where a resting thread finds its next work. No channel: those look again and again before they wait, which took a
/// good part of a small limiter's time.
#[derive(Default)]
struct Seat {
    work: Mutex<Option<Work>>,
    came: Condvar,
}

static RESTING: Mutex<Vec<Arc<Seat>>> = Mutex::new(Vec::new());

/// Has work done on a thread with a small stack: one that rests, or a new one.
///
/// Guards against connections that come and go by the hundred: most of the time of a limiter with a part of a core
/// went into starting and ending their threads.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let work: Work = Box::new(work);
    // Not held on to while the seat is taken: the other way round, a thread that leaves takes both.
    let seat = lock(&RESTING).pop();
    if let Some(seat) = seat {
        *lock(&seat.work) = Some(work);
        seat.came.notify_one();
        return Ok(());
    }
    thread::Builder::new()
        .name(name.into())
        .stack_size(STACK)
        .spawn(move || labour(work))
        .map(drop)
}

fn labour(mut work: Work) {
    let seat = Arc::new(Seat::default());
    loop {
        work();
        {
            let mut resting = lock(&RESTING);
            if resting.len() >= IDLE {
                return;
            }
            resting.push(seat.clone());
        }
        let mut next = lock(&seat.work);
        let mut wait = IDLE_TIME;
        work = loop {
            if let Some(work) = next.take() {
                break work;
            }
            let (waited, timed) = seat
                .came
                .wait_timeout(next, wait)
                .unwrap_or_else(PoisonError::into_inner);
            next = waited;
            if timed.timed_out() && next.is_none() {
                // Chosen just now, the work is on its way.
                let mut resting = lock(&RESTING);
                match resting.iter().position(|other| Arc::ptr_eq(other, &seat)) {
                    Some(at) => drop(resting.swap_remove(at)),
                    None => {
                        wait = Duration::from_secs(60);
                        continue;
                    }
                }
                return;
            }
        };
    }
}

/// Locks; what a panicking thread left behind is still whole, as no lock is held over a call that may panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
