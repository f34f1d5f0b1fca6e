//! What hosts the decision engine: the program on the simulator's wire, or the library itself.

use mossrill::decision::{Action, Event};
use mossrill::simulator::{self, Line, Lookup, Names};
use mossrill::Engine;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Takes the lines of a batch and gives the lines of its reply.
pub trait Host {
    fn exchange(&mut self, batch: &[String]) -> Vec<String>;
}

/// The program `mossrill-simhost` over its standard input and output.
pub struct ProcessHost {
    child: Child,
    input: BufWriter<ChildStdin>,
    output: BufReader<ChildStdout>,
}

impl ProcessHost {
    pub fn start() -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mossrill-simhost"));
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let input = BufWriter::new(child.stdin.take().expect("standard input"));
        let output = BufReader::new(child.stdout.take().expect("standard output"));
        Self {
            child,
            input,
            output,
        }
    }
}

impl Host for ProcessHost {
    fn exchange(&mut self, batch: &[String]) -> Vec<String> {
        for line in batch {
            writeln!(self.input, "{line}").expect("the program reads");
        }
        self.input.flush().expect("the program reads");
        let mut reply = Vec::new();
        loop {
            let mut line = String::new();
            let size = self
                .output
                .read_line(&mut line)
                .expect("the program writes");
            assert!(size > 0, "the program ended");
            reply.push(line.trim_end_matches('\n').to_owned());
            if line == "[\"next\"]\n" {
                return reply;
            }
        }
    }
}

impl Drop for ProcessHost {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// The library with leased quotas, which the simulator's wire does not have.
#[derive(Default)]
pub struct LeasedHost {
    instances: BTreeMap<u64, (Engine, Names)>,
    now: u64,
}

impl Lookup for LeasedHost {
    fn names(&self, instance: u64) -> Option<&Names> {
        self.instances.get(&instance).map(|(_, names)| names)
    }
}

impl LeasedHost {
    fn on_event(&mut self, number: u64, event: Event, reply: &mut Vec<String>) {
        let Some((gateway, _)) = self.instances.get_mut(&number) else {
            return;
        };
        let mut actions = Vec::new();
        gateway.on_event(self.now, event, &mut actions);
        reply.extend(actions.iter().map(|action| write(number, action)));
    }
}

impl Host for LeasedHost {
    fn exchange(&mut self, batch: &[String]) -> Vec<String> {
        let mut reply = Vec::new();
        for line in batch {
            let value: Value = serde_json::from_str(line).expect("the world writes JSON");
            if value[0] == "leased" {
                let id = value[2].as_str().expect("an id").into();
                let granted = value[3].as_bool().expect("granted or not");
                self.on_event(
                    value[1].as_u64().expect("a number"),
                    Event::LeaseReply { id, granted },
                    &mut reply,
                );
                continue;
            }
            match simulator::parse(line, self).expect("a line of the wire") {
                Line::Batch(now) => self.now = now,
                Line::End => {}
                Line::Start {
                    instance: number,
                    seed,
                    mut settings,
                } => {
                    settings.quota_leases = true;
                    settings.counter = false;
                    self.instances.insert(
                        number,
                        (Engine::new(*settings, seed), Names::from_line(line)),
                    );
                }
                Line::Stop { instance: number } => drop(self.instances.remove(&number)),
                Line::Event {
                    instance: number,
                    event,
                } => self.on_event(number, event, &mut reply),
            }
        }
        reply.push("[\"next\"]".to_owned());
        reply
    }
}

fn write(number: u64, action: &Action) -> String {
    match action {
        Action::RequestLease {
            id,
            account: customer,
            plan,
            limiter_count: spread,
            units,
        } => json!(["lease", number, &*id.0, &*customer.0, plan, spread, units]).to_string(),
        other => simulator::write(number, other),
    }
}
