//! Runs decision engines for the simulator: reads event lines from standard input, writes action
//! lines to standard output.

#![forbid(unsafe_code)]

use mossrill::decision::{Action, Event, Settings};
use mossrill::simulator::{self, Line, Lookup, Names, ParseError};
use mossrill::Engine;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use thiserror::Error;

/// Last line of the reply to a batch.
const END_OF_REPLY: &str = "[\"next\"]\n";

/// Reasons why the program exits before the end of its input.
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

/// A running instance: its engine, and the names of its classes and plans.
struct Instance {
    engine: Engine,
    names: Names,
}

#[derive(Default)]
struct Host {
    /// Running instances by number.
    instances: BTreeMap<u64, Instance>,
    /// Time of the current batch, in microseconds.
    now: u64,
    /// Lines of the reply to the current batch.
    reply: Vec<String>,
    /// Buffer for the actions of one event, reused to avoid an allocation for each event.
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
    /// Processes one line of input. Returns whether the line completes a batch, whose reply must
    /// then be written.
    fn process_line(&mut self, text: &str) -> Result<bool, ParseError> {
        match simulator::parse_line(text, self)? {
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
                let fault = simulator::encode_fault(number, "panic at the start");
                self.reply.push(fault);
            }
        }
    }

    /// Passes an event to the engine of an instance. A panic of the engine is reported as a line of
    /// the reply.
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
            let fault = simulator::encode_fault(number, text.unwrap_or("panic"));
            self.reply.push(fault);
            actions.clear();
        }
        let lines = actions
            .drain(..)
            .map(|action| simulator::encode_action(number, &action));
        self.reply.extend(lines);
    }

    /// Writes the reply to a batch and flushes the output.
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
            .process_line(&text)
            .map_err(|source| HostError::Parse { line, source })?;
        if is_complete {
            host.write_reply(&mut out)?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    // Panics of engines are reported to the simulator and would otherwise also be printed to
    // standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mossrill-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
