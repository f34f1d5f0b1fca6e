//! A pool of threads with small stacks, and locks that ignore poisoning.

use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Stack size of each thread, in bytes. It suffices for every thread of this program, and is small
/// because the stacks of hundreds of threads must fit into memory along with the connection
/// buffers.
const STACK_BYTES: usize = 96 * 1024;
/// Maximum number of idle threads kept for reuse: about as many as start and finish tasks at the
/// same time.
const MAX_IDLE_THREADS: usize = 40;
/// Time after which an idle thread exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a thread checks for a task that another thread is about to assign to it.
/// Normally the condition variable wakes it earlier.
const ASSIGNED_TASK_WAIT: Duration = Duration::from_secs(60);

/// Maximum number of further tries to start a thread. The core waits for them too.
const MAX_START_RETRIES: u32 = 3;
/// Pause before a further try to start a thread.
const START_RETRY_PAUSE: Duration = Duration::from_millis(1);

type Task = Box<dyn FnOnce() + Send>;

static IDLE_THREADS: Mutex<Vec<Arc<IdleThread>>> = Mutex::new(Vec::new());

/// Slot through which an idle thread receives its next task.
///
/// It uses a condition variable rather than a channel: channels spin before they block, which used
/// much of the CPU time of a limiter that had only a fraction of a processor core.
#[derive(Default)]
struct IdleThread {
    task: Mutex<Option<Task>>,
    task_added: Condvar,
}

impl IdleThread {
    fn assign(&self, task: Task) {
        *lock(&self.task) = Some(task);
        self.task_added.notify_one();
    }

    /// Registers the thread as idle and waits for a task. Returns `None` if the thread is to exit,
    /// because enough other threads are idle or no task was assigned within [`IDLE_TIMEOUT`].
    fn next_task(self: &Arc<Self>) -> Option<Task> {
        if !self.register() {
            return None;
        }
        let mut next = lock(&self.task);
        let mut timeout = IDLE_TIMEOUT;
        loop {
            if let Some(task) = next.take() {
                return Some(task);
            }
            let (guard, wait) = self
                .task_added
                .wait_timeout(next, timeout)
                .unwrap_or_else(PoisonError::into_inner);
            next = guard;
            if wait.timed_out() && next.is_none() {
                if self.deregister() {
                    return None;
                }
                // `spawn` has just removed this thread from the list in order to assign it a task.
                timeout = ASSIGNED_TASK_WAIT;
            }
        }
    }

    /// Adds the thread to the idle ones; returns false if there are enough already.
    fn register(self: &Arc<Self>) -> bool {
        let mut idle = lock(&IDLE_THREADS);
        if idle.len() >= MAX_IDLE_THREADS {
            return false;
        }
        idle.push(self.clone());
        true
    }

    /// Removes the thread from the idle ones; returns false if it was removed before.
    fn deregister(self: &Arc<Self>) -> bool {
        let mut idle = lock(&IDLE_THREADS);
        let position = idle.iter().position(|other| Arc::ptr_eq(other, self));
        if let Some(position) = position {
            idle.swap_remove(position);
        }
        position.is_some()
    }
}

/// Runs a task on a thread with a small stack: an idle thread if there is one, or else a new thread
/// with this name.
///
/// Threads are reused because connections may open and close by the hundred: starting and ending a
/// thread for each took most of the CPU time of a limiter that had only a fraction of a processor
/// core.
///
/// # Errors
///
/// Returns an error if no thread is idle and no new one can be started.
pub fn spawn(name: &str, task: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let task: Task = Box::new(task);
    // The lock of the list is released before the task is assigned. Otherwise this could deadlock
    // with a thread that times out: it locks the list in `deregister` while it holds the lock of
    // its task.
    let idle_thread = lock(&IDLE_THREADS).pop();
    if let Some(idle_thread) = idle_thread {
        idle_thread.assign(task);
        return Ok(());
    }
    start_thread(name, task)
}

/// Starts a thread for a task. The system may refuse one for a moment, so that it is asked again.
fn start_thread(name: &str, task: Task) -> io::Result<()> {
    let task = Arc::new(Mutex::new(Some(task)));
    let mut retries = 0;
    loop {
        let first_task = task.clone();
        let run = move || {
            let first_task = lock(&first_task).take();
            if let Some(first_task) = first_task {
                run_thread(first_task);
            }
        };
        let started = thread::Builder::new()
            .name(name.into())
            .stack_size(STACK_BYTES)
            .spawn(run);
        match started {
            Err(_) if retries < MAX_START_RETRIES => {
                retries += 1;
                thread::sleep(START_RETRY_PAUSE);
            }
            started => return started.map(drop),
        }
    }
}

fn run_thread(first_task: Task) {
    let idle_thread = Arc::new(IdleThread::default());
    let mut next = Some(first_task);
    while let Some(task) = next {
        task();
        next = idle_thread.next_task();
    }
}

/// Locks a mutex and ignores poisoning. The data is consistent even after a panic, since no lock is
/// held across a call that may panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
