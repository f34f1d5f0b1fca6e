//! Where operators call: threads of its own, few callers at a time, each for a short time.

use super::{stat, word, Call, LONGEST_CALL};
use crate::core::AdminCommand;
use crate::decision::ServerId;
use crate::membership::link::Fleet;
use crate::metrics::Metrics;
use crate::threads::{lock, spawn};
use crossbeam_channel::{bounded, Sender};
use slog::{info, warn, Logger};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Callers at a time; a further one takes the place of the one that has been there longest without a whole call.
const CALLERS: usize = 8;
/// A caller waits a second for its answer: it has half of it for its call, and the core most of the rest.
const CALL_WAIT: Duration = Duration::from_millis(500);
const CORE_WAIT: Duration = Duration::from_millis(800);
/// A caller that does not read its answer is left.
const WRITE_WAIT: Duration = Duration::from_millis(300);
/// Wait after a failed accept, as when descriptors run out.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);

/// What calls are answered from.
pub struct AdminContext {
    /// The figures.
    pub figures: Arc<Metrics>,
    /// The limiter's place in its fleet, if it has one.
    pub fleet: Option<Fleet>,
    /// Whether this process can serve.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Passes a command to the core.
    pub command: Box<dyn Fn(AdminCommand) + Send + Sync>,
    /// For what operators changed.
    pub log: Logger,
}

/// Listens for operators.
pub fn listen(at: SocketAddr, context: AdminContext) -> std::io::Result<SocketAddr> {
    let named =
        |e: std::io::Error| std::io::Error::new(e.kind(), format!("key \"control\": {at}: {e}"));
    let listener = TcpListener::bind(at).map_err(named)?;
    let bound = listener.local_addr()?;
    spawn("control", move || accept(&listener, &Arc::new(context)))?;
    Ok(bound)
}

/// Connections on which no whole call has come yet, the oldest first.
type Silent = Arc<Mutex<VecDeque<Arc<TcpStream>>>>;

fn accept(listener: &TcpListener, context: &Arc<AdminContext>) {
    let silent = Silent::default();
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => Arc::new(stream),
            Err(fault) => {
                warn!(context.log, "accept failed"; "error" => %fault);
                thread::sleep(ACCEPT_WAIT);
                continue;
            }
        };
        {
            let mut silent = lock(&silent);
            if silent.len() >= CALLERS {
                silent
                    .pop_front()
                    .into_iter()
                    .for_each(|oldest| _ = oldest.shutdown(Shutdown::Both));
            }
            silent.push_back(stream.clone());
        }
        let (own, at) = (silent.clone(), context.clone());
        if let Err(fault) = spawn("control-call", move || at.serve(&stream, &own)) {
            warn!(context.log, "no thread for an admin call"; "error" => %fault);
            lock(&silent).clear();
        }
    }
}

/// Reads one line.
///
/// Guards against callers that say nothing, half a line or an endless one: each is answered or left in time.
fn call(mut stream: &TcpStream) -> Result<Vec<u8>, &'static str> {
    let (began, mut line) = (Instant::now(), Vec::new());
    loop {
        let left = CALL_WAIT.saturating_sub(began.elapsed());
        let mut part = [0; LONGEST_CALL];
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return Err("no whole line in time");
        }
        match stream.read(&mut part) {
            // A caller that ends its sending has ended its line.
            Ok(0) => return Ok(line),
            Ok(read) => line.extend_from_slice(&part[..read]),
            Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err("no whole line in time"),
        }
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            line.truncate(end);
            return Ok(line);
        }
        if line.len() > LONGEST_CALL {
            return Err("the line is too long");
        }
    }
}

impl AdminContext {
    fn serve(&self, stream: &Arc<TcpStream>, silent: &Silent) {
        let call = call(stream);
        lock(silent).retain(|other| !Arc::ptr_eq(other, stream));
        let answer = match call.and_then(|line| Call::parse(&line)) {
            Ok(call) => self.answer(call),
            Err(why) => word(Err(why)),
        };
        _ = stream.set_write_timeout(Some(WRITE_WAIT));
        _ = (&**stream).write_all(answer.as_bytes());
        _ = stream.shutdown(Shutdown::Write);
    }

    fn answer(&self, call: Call) -> String {
        match call {
            Call::ShowStat => stat(
                &self.figures,
                self.fleet.as_ref().map_or(Vec::new(), Fleet::figures),
            ),
            Call::ShowFleet => match self.fleet.as_ref().map(Fleet::show) {
                Some(Some(text)) => text + "END\n",
                Some(None) => word(Err("this process does not speak for its limiter now")),
                None => word(Err("no fleet is configured")),
            },
            Call::Ready if (self.ready)() => word(Ok(())),
            Call::Ready => word(Err("this process can't serve yet")),
            Call::DisableServer(id) => self.command(id, AdminCommand::Disable),
            Call::EnableServer(id) => self.command(id, AdminCommand::Enable),
        }
    }

    fn command(
        &self,
        id: ServerId,
        command: impl Fn(ServerId, Sender<bool>) -> AdminCommand,
    ) -> String {
        let (told, taken) = bounded(1);
        let command = command(id, told);
        info!(self.log, "admin command"; "command" => ?command);
        (self.command)(command);
        word(match taken.recv_timeout(CORE_WAIT) {
            Ok(true) => Ok(()),
            Ok(false) => Err("no server of this id was ever listed"),
            Err(_) => Err("not taken in time; it may still be"),
        })
    }
}
