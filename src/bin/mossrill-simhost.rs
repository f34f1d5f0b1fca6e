//! Hosts decision engines on the simulator's wire: standard input to standard output.

#![forbid(unsafe_code)]

use mossrill::decision::{Action, Event, Settings};
use mossrill::simulator::{self, Line, Lookup, Names, ParseError};
use mossrill::Engine;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use thiserror::Error;

/// The line that ends a reply.
const END_OF_REPLY: &str = "[\"next\"]\n";

/// Why the program ends before its input does.
#[derive(Debug, Error)]
enum HostError {
    #[error("line {line}: {source}")]
    Read { line: usize, source: io::Error },
    #[error("line {line}: not UTF-8")]
    NotUtf8 { line: usize },
    #[error("line {line}: {source}")]
    Parse { line: usize, source: ParseError },
    #[error(transparent)]
    Write(#[from] io::Error),
}

struct Instance {
    engine: Engine,
    names: Names,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    now: u64,
    reply: Vec<String>,
    actions: Vec<Action>,
}

impl Lookup for Host {
    fn names(&self, instance: u64) -> Option<&Names> {
        self.instances
            .get(&instance)
            .map(|instance| &instance.names)
    }
}

impl Host {
    /// Takes one line. Returns true when a batch is complete and its reply is due.
    fn take(&mut self, text: &str) -> Result<bool, ParseError> {
        match simulator::parse(text, self)? {
            Line::Batch(now) => self.now = now,
            Line::End => return Ok(true),
            Line::Start {
                instance,
                seed,
                settings,
            } => self.start(instance, seed, *settings, Names::from_line(text)),
            Line::Stop { instance } => {
                self.instances.remove(&instance);
            }
            Line::Event { instance, event } => self.handle(instance, event),
        }
        Ok(false)
    }

    fn start(&mut self, number: u64, seed: u64, settings: Settings, names: Names) {
        match catch_unwind(AssertUnwindSafe(|| Engine::new(settings, seed))) {
            Ok(engine) => {
                self.instances.insert(number, Instance { engine, names });
            }
            Err(_) => {
                let fault = simulator::write_fault(number, "panic at the start");
                self.reply.push(fault);
            }
        }
    }

    /// Hands an event to an engine. A panic of the engine becomes a line of the reply.
    fn handle(&mut self, number: u64, event: Event) {
        let Some(instance) = self.instances.get_mut(&number) else {
            return;
        };
        let now = self.now;
        let actions = &mut self.actions;
        let run = AssertUnwindSafe(|| instance.engine.on_event(now, event, actions));
        if let Err(panic) = catch_unwind(run) {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or(panic.downcast_ref::<&str>().copied());
            let fault = simulator::write_fault(number, text.unwrap_or("panic"));
            self.reply.push(fault);
            actions.clear();
        }
        let lines = actions
            .drain(..)
            .map(|action| simulator::write(number, &action));
        self.reply.extend(lines);
    }

    /// Writes the reply to a batch.
    fn write_reply(&mut self, out: &mut impl Write) -> io::Result<()> {
        for line in self.reply.drain(..) {
            writeln!(out, "{line}")?;
        }
        out.write_all(END_OF_REPLY.as_bytes())?;
        out.flush()
    }
}

fn run() -> Result<(), HostError> {
    let mut host = Host::default();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for (index, bytes) in io::stdin().lock().split(b'\n').enumerate() {
        let line = index + 1;
        let bytes = bytes.map_err(|source| HostError::Read { line, source })?;
        let text = String::from_utf8(bytes).map_err(|_| HostError::NotUtf8 { line })?;
        if text.trim().is_empty() {
            continue;
        }
        let is_complete = host
            .take(&text)
            .map_err(|source| HostError::Parse { line, source })?;
        if is_complete {
            host.write_reply(&mut out)?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mossrill-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
