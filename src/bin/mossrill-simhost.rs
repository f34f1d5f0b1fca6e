//! Hosts gateways on the simulator's wire: standard input to standard output.

#![forbid(unsafe_code)]

use mossrill::decision::Action;
use mossrill::simulator::{self, Line, Lookup, Names};
use mossrill::Engine;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

struct Instance {
    gateway: Engine,
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
        self.instances.get(&instance).map(|i| &i.names)
    }
}

impl Host {
    /// Takes one line; true when the batch is whole and its reply is due.
    fn take(&mut self, text: &str) -> Result<bool, String> {
        match simulator::parse(text, self).map_err(|error| error.to_string())? {
            Line::Batch(now) => self.now = now,
            Line::End => return Ok(true),
            Line::Start {
                instance: number,
                seed,
                settings,
            } => {
                let names = Names::from_line(text);
                match catch_unwind(AssertUnwindSafe(|| Engine::new(*settings, seed))) {
                    Ok(gateway) => {
                        self.instances.insert(number, Instance { gateway, names });
                    }
                    Err(_) => self
                        .reply
                        .push(simulator::write_fault(number, "panic at the start")),
                }
            }
            Line::Stop { instance: number } => {
                self.instances.remove(&number);
            }
            Line::Event {
                instance: number,
                event,
            } => {
                let now = self.now;
                let actions = &mut self.actions;
                let Some(instance) = self.instances.get_mut(&number) else {
                    return Ok(false);
                };
                let run = AssertUnwindSafe(|| instance.gateway.on_event(now, event, actions));
                if let Err(panic) = catch_unwind(run) {
                    let text = panic.downcast_ref::<String>().map(String::as_str);
                    let text = text
                        .or(panic.downcast_ref::<&str>().copied())
                        .unwrap_or("panic");
                    self.reply.push(simulator::write_fault(number, text));
                    actions.clear();
                }
                self.reply
                    .extend(actions.drain(..).map(|a| simulator::write(number, &a)));
            }
        }
        Ok(false)
    }
}

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().split(b'\n').enumerate() {
        let fault = |e: String| format!("line {}: {e}", number + 1);
        let bytes = line.map_err(|e| fault(e.to_string()))?;
        let text = String::from_utf8(bytes).map_err(|_| fault("not UTF-8".into()))?;
        if text.trim().is_empty() {
            continue;
        }
        if host.take(&text).map_err(fault)? {
            let mut reply = host.reply.join("\n");
            reply.push_str(if reply.is_empty() {
                "[\"next\"]\n"
            } else {
                "\n[\"next\"]\n"
            });
            host.reply.clear();
            out.write_all(reply.as_bytes())
                .and_then(|()| out.flush())
                .map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("mossrill-simhost: {fault}");
            ExitCode::FAILURE
        }
    }
}
