//! What the core does when a time limit ends.

use super::messages::{AttemptId, Transport};
use super::Core;
use crate::decision::{Event, Micros, Outcome};
use slog::warn;

/// Why the core woke by itself.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Module(u64),
    Attempt(AttemptId),
    Request(u64),
    Count(u64),
    Stop,
}

impl<E: Transport> Core<E> {
    pub(super) fn fall_due(&mut self, now: Micros, due: Due) {
        match due {
            Due::Module(token) => self.tell(now, Event::TimerExpired { token }),
            Due::Attempt(attempt) if self.streams(attempt.request).is_some() => {}
            Due::Attempt(attempt) => {
                if let Some(out) = self.take_out(attempt) {
                    let written = self.edges.cancel(attempt);
                    if let Some(open) = self.open.get_mut(&attempt.request) {
                        open.late = true;
                    }
                    // Not a byte of it left: the connection never came up in the time there was.
                    let outcome = if written {
                        Outcome::Timeout
                    } else {
                        Outcome::ConnectFailed
                    };
                    self.ended(now, attempt, out, outcome, Vec::new(), None);
                }
            }
            Due::Request(number) if self.streams(number).is_some() => {}
            Due::Request(number) => self.overdue(now, number),
            Due::Count(call) => {
                if let Some(name) = self.counts.remove(&call) {
                    self.tell(
                        now,
                        Event::CounterReply {
                            key: name,
                            total: 0.0,
                            outcome: Outcome::Timeout,
                        },
                    );
                }
            }
            Due::Stop => {
                let open: Vec<u64> = self.open.keys().copied().collect();
                self.stopped = true;
                if !open.is_empty() {
                    warn!(self.log, "shutdown deadline reached"; "open" => open.len());
                }
                self.waiting_first(open)
                    .into_iter()
                    .for_each(|number| self.overdue(now, number));
            }
        }
    }
}
