//! Child processes of a run. Each runs this program again with a hidden subcommand.

use crate::error::LabError;
use crate::messages::{Command, Reply, Start};
use crossbeam_channel::{unbounded, Receiver};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child as Process, ChildStdin, Stdio};
use std::time::Duration;

/// The hidden subcommand that runs this program as a child process.
pub const CHILD_COMMAND: &str = "child";

/// A child process. It is killed when this value is dropped.
pub struct Child {
    process: Process,
    input: ChildStdin,
    replies: Receiver<Reply>,
    name: String,
}

impl Child {
    /// Starts a child process and sends it its first message.
    pub fn start(name: &str, start: &Start) -> Result<Self, LabError> {
        let program = std::env::current_exe()?;
        let mut process = std::process::Command::new(program)
            .arg(CHILD_COMMAND)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|source| LabError::Child {
                child: name.to_owned(),
                source,
            })?;
        let (Some(input), Some(output)) = (process.stdin.take(), process.stdout.take()) else {
            return Err(LabError::NoPipes {
                child: name.to_owned(),
            });
        };
        let (sender, replies) = unbounded();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let Ok(reply) = serde_json::from_str(&line) else {
                    return;
                };
                if sender.send(reply).is_err() {
                    return;
                }
            }
        });
        let mut child = Self {
            process,
            input,
            replies,
            name: name.to_owned(),
        };
        child.write(start)?;
        Ok(child)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends a command.
    pub fn send(&mut self, command: &Command) -> Result<(), LabError> {
        self.write(command)
    }

    fn write(&mut self, value: &impl serde::Serialize) -> Result<(), LabError> {
        let line = serde_json::to_string(value)?;
        let written = writeln!(self.input, "{line}").and_then(|()| self.input.flush());
        written.map_err(|source| LabError::Child {
            child: self.name.clone(),
            source,
        })
    }

    /// Waits up to `timeout` for the next reply.
    pub fn next_reply(&self, timeout: Duration) -> Result<Reply, LabError> {
        self.replies
            .recv_timeout(timeout)
            .map_err(|source| LabError::NoReply {
                child: self.name.clone(),
                source,
            })
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        _ = self.process.kill();
        _ = self.process.wait();
    }
}
