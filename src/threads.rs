//! A pool of threads with small stacks, and locks that ignore poisoning.

use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Enough for every thread of this program; hundreds of them have to fit beside the buffers.
const STACK_BYTES: usize = 96 * 1024;
/// Idle threads kept for reuse: about as many as begin and end work at the same time.
const MAX_IDLE_THREADS: usize = 40;
/// An idle thread ends after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval at which a thread looks for work that was promised to it; its condition variable is notified sooner.
const PROMISED_WORK_WAIT: Duration = Duration::from_secs(60);

type Work = Box<dyn FnOnce() + Send>;

static IDLE_THREADS: Mutex<Vec<Arc<IdleThread>>> = Mutex::new(Vec::new());

/// Where an idle thread receives its next work.
///
/// A condition variable rather than a channel: channels spin before they block, which cost a limiter with part of a core
/// much of its time.
#[derive(Default)]
struct IdleThread {
    work: Mutex<Option<Work>>,
    work_added: Condvar,
}

impl IdleThread {
    fn start_work(&self, work: Work) {
        *lock(&self.work) = Some(work);
        self.work_added.notify_one();
    }

    /// Registers the thread as idle and waits for work. Returns none if the thread is to end: enough others are idle, or
    /// no work came in time.
    fn next_work(self: &Arc<Self>) -> Option<Work> {
        if !self.register() {
            return None;
        }
        let mut next = lock(&self.work);
        let mut timeout = IDLE_TIMEOUT;
        loop {
            if let Some(work) = next.take() {
                return Some(work);
            }
            let (guard, wait) = self
                .work_added
                .wait_timeout(next, timeout)
                .unwrap_or_else(PoisonError::into_inner);
            next = guard;
            if wait.timed_out() && next.is_none() {
                if self.deregister() {
                    return None;
                }
                // Another thread has just removed it from the idle ones in order to give it work.
                timeout = PROMISED_WORK_WAIT;
            }
        }
    }

    fn register(self: &Arc<Self>) -> bool {
        let mut idle = lock(&IDLE_THREADS);
        if idle.len() >= MAX_IDLE_THREADS {
            return false;
        }
        idle.push(self.clone());
        true
    }

    /// Removes the thread from the idle ones; false if it was removed before.
    fn deregister(self: &Arc<Self>) -> bool {
        let mut idle = lock(&IDLE_THREADS);
        let position = idle.iter().position(|other| Arc::ptr_eq(other, self));
        if let Some(position) = position {
            idle.swap_remove(position);
        }
        position.is_some()
    }
}

/// Runs work on a thread with a small stack: an idle one, or a new one of this name.
///
/// Guards against connections that come and go by the hundred: starting and ending their threads took most of the time
/// of a limiter with part of a core.
///
/// # Errors
///
/// If no thread is idle and none can be started.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let work: Work = Box::new(work);
    // The list's lock is released first: a thread that ends takes it while it holds the lock of its work.
    let idle_thread = lock(&IDLE_THREADS).pop();
    if let Some(idle_thread) = idle_thread {
        idle_thread.start_work(work);
        return Ok(());
    }
    thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(move || run_thread(work))?;
    Ok(())
}

fn run_thread(first_work: Work) {
    let idle_thread = Arc::new(IdleThread::default());
    let mut next = Some(first_work);
    while let Some(work) = next {
        work();
        next = idle_thread.next_work();
    }
}

/// Locks a mutex, poisoned or not: what a panicking thread left is consistent, since no lock is held over a call that may
/// panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
