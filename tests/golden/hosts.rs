//! Hosts of decision engines: the program `mossrill-simhost`, or the library in the process of the
//! test.

use mossrill::decision::{Action, Event};
use mossrill::simulator::{self, Line, Lookup, Names};
use mossrill::Engine;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// A host of decision engines. `exchange` sends the lines of a batch and returns the lines of the
/// reply.
pub trait Host {
    fn exchange(&mut self, batch: &[String]) -> Vec<String>;
}

/// The program `mossrill-simhost`, connected by its standard input and output.
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
            .expect("mossrill-simhost starts");
        let input = BufWriter::new(child.stdin.take().expect("standard input is piped"));
        let output = BufReader::new(child.stdout.take().expect("standard output is piped"));
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
            writeln!(self.input, "{line}").expect("mossrill-simhost reads its input");
        }
        self.input
            .flush()
            .expect("mossrill-simhost reads its input");
        let mut reply = Vec::new();
        loop {
            let mut line = String::new();
            let size = self
                .output
                .read_line(&mut line)
                .expect("the output of mossrill-simhost can be read");
            assert!(size > 0, "mossrill-simhost ended within a reply");
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

/// Engines with leased quotas, which the protocol of the simulator does not support. Run in the
/// process of the test.
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
        let Some((engine, _)) = self.instances.get_mut(&number) else {
            return;
        };
        let mut actions = Vec::new();
        engine.on_event(self.now, event, &mut actions);
        reply.extend(actions.iter().map(|action| encode_action(number, action)));
    }
}

impl Host for LeasedHost {
    fn exchange(&mut self, batch: &[String]) -> Vec<String> {
        let mut reply = Vec::new();
        for line in batch {
            let value: Value = serde_json::from_str(line).expect("the world writes lines of JSON");
            if value[0] == "leased" {
                let id = value[2]
                    .as_str()
                    .expect("value 2 of a lease reply is a request id")
                    .into();
                let granted = value[3]
                    .as_bool()
                    .expect("value 3 of a lease reply states whether units were granted");
                self.on_event(
                    value[1]
                        .as_u64()
                        .expect("value 1 of a lease reply is the number of an instance"),
                    Event::LeaseReply { id, granted },
                    &mut reply,
                );
                continue;
            }
            match simulator::parse_line(line, self)
                .expect("the world writes valid lines of the simulator protocol")
            {
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

/// Returns the line for an action. Requests for leases, which the simulator protocol does not have,
/// become `lease` lines.
fn encode_action(number: u64, action: &Action) -> String {
    match action {
        Action::RequestLease {
            id,
            account,
            plan,
            limiter_count,
            units,
        } => json!([
            "lease",
            number,
            &*id.0,
            &*account.0,
            plan,
            limiter_count,
            units
        ])
        .to_string(),
        other => simulator::encode_action(number, other),
    }
}
