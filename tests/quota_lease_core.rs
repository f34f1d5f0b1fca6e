//! The core with a holder of leases: its edges are played by the test, and so are the allocators.

use crossbeam_channel::{bounded, never, unbounded, Receiver, Sender};
use mossrill::core::{
    Answer, AttemptDeadlines, AttemptId, Clock, Core, CoreOptions, IncomingRequest, Input,
    Transport,
};
use mossrill::decision::*;
use mossrill::quota_lease::holder::{Holder, HolderSettings};
use mossrill::quota_lease::link::AllocatorEvent;
use mossrill::quota_lease::message::{Grant, GrantEntry, Report, Verdict, FORMAT};
use slog::{o, Discard, Logger};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
const LEASE_MS: u32 = 60_000;

/// What the core wants done.
#[derive(Debug, PartialEq)]
enum Wanted {
    Start(AttemptId),
    Answer(u64, String),
    Report(u32, Report),
}

struct Played(Sender<Wanted>);

impl Transport for Played {
    type Client = u64;
    type Call = ();
    type Value = &'static str;

    fn answer(&mut self, client: u64, answer: Answer<&'static str>) {
        _ = self.0.send(Wanted::Answer(client, format!("{answer:?}")));
    }

    fn start_attempt(
        &mut self,
        attempt: AttemptId,
        _: &ServerId,
        _: &Arc<()>,
        _: AttemptDeadlines,
        _: &Self::Client,
    ) {
        _ = self.0.send(Wanted::Start(attempt));
    }

    fn cancel(&mut self, _: AttemptId) -> bool {
        true
    }

    fn withdraw(&mut self, _: AttemptId) -> bool {
        false
    }

    fn check_health(&mut self, _: &ServerId) {}

    fn block_server(&mut self, _: &ServerId) {}

    fn notify_peer_process(&mut self, _: mossrill::handover::message::HandoverMessage) {}

    fn report_endpoints(&mut self, _: usize, _: usize) {}

    fn add_to_counter(&mut self, _: u64, _: u64, _: f64, _: Duration) {}

    fn send_lease_report(&mut self, allocator: u32, report: Report) {
        _ = self.0.send(Wanted::Report(allocator, report));
    }

    fn has_clients(&self) -> bool {
        false
    }
}

/// A core with one allocator.
struct Story {
    queue: Sender<Input<Played>>,
    wanted: Receiver<Wanted>,
}

impl Story {
    fn start(fallback_thousandths: u32) -> Self {
        let class = RequestClass {
            latency_objective: 15_000_000,
            deadline: 20_000_000,
            priority_weight: 1.0,
            ..RequestClass::default()
        };
        let settings = Settings {
            limiters: 1,
            classes: vec![class],
            plans: vec![Plan {
                rate: 1.0,
                burst: 10.0,
                weight_factor: 1.0,
                over_quota_cost: 1.0,
                ..Plan::default()
            }],
            limits: Limits {
                max_attempts: 1,
                cancel: true,
                max_retry_after: 400_000,
                ..Limits::default()
            },
            quota_leases: true,
            ..Settings::default()
        };
        let ((queue, inputs), (tell, wanted)) = (unbounded(), unbounded());
        let node = Endpoint {
            id: "a".into(),
            zone: String::new(),
            cell: 0,
            readiness: Readiness::Ready,
            weight: 1.0,
            started_at: 0,
        };
        _ = queue.send(Input::EndpointUpdate(UpdateScope::Snapshot, vec![node]));
        let (clock, log) = (Clock::start(), Logger::root(Discard, o!()));
        let holder = Holder::new(
            clock.now(),
            HolderSettings {
                allocators: 1,
                lease: Micros::from(LEASE_MS) * 1_000,
                // Nothing is sent again or given up in the time of a test.
                report_interval: 60_000_000,
                retry_report_after: 60_000_000,
                unavailable_after: 60_000_000,
                fallback_thousandths,
                ..HolderSettings::default()
            },
        );
        thread::spawn(move || {
            Core::new(CoreOptions {
                settings,
                seed: 7,
                max_open: 100,
                transport: Played(tell),
                clock,
                endpoints_known: bounded(1).0,
                lease_holder: Some(holder),
                log,
            })
            .run(inputs, never());
        });
        Self { queue, wanted }
    }

    fn ask(&self, number: u64) {
        let request = IncomingRequest {
            number,
            id: None,
            arrived: Instant::now(),
            timeout: PATIENCE,
            class: 0,
            plan: 0,
            account: "agent".into(),
            units: 1.0,
            limiter_count: 1,
            first_limiter: 0,
            client: number,
            call: (),
        };
        _ = self.queue.send(Input::Request(request));
    }

    fn next(&self) -> Wanted {
        self.wanted
            .recv_timeout(PATIENCE)
            .expect("something to be wanted")
    }

    fn report(&self) -> Report {
        match self.next() {
            Wanted::Report(0, report) => report,
            other => panic!("{other:?} in place of a report"),
        }
    }

    /// Answers a report: each entry gets so many thousandths of a unit.
    fn grant(&self, report: &Report, units: u64) {
        let mut grant = Grant {
            format: FORMAT,
            incarnation: 1,
            limiter_incarnation: report.incarnation,
            sequence: report.sequence,
            serving: true,
            slot: 1,
            lease_ms: LEASE_MS,
            ..Grant::default()
        };
        let verdict = if units > 0 {
            Verdict::Granted
        } else {
            Verdict::Exhausted
        };
        let hold_off_ms = if units > 0 { 0 } else { 1_000 };
        for _ in report.entries() {
            grant.push(&GrantEntry {
                verdict,
                units,
                hold_off_ms,
            });
        }
        _ = self
            .queue
            .send(Input::Allocator(AllocatorEvent::Answer(grant)));
    }
}

#[test]
fn a_request_waits_for_its_units_and_is_then_sent() {
    let story = Story::start(0);
    story.ask(1);
    let report = story.report();
    assert_eq!(
        report
            .entries()
            .map(|entry| entry.waiting)
            .collect::<Vec<_>>(),
        [1_000]
    );
    story.grant(&report, 1_000);
    assert_eq!(
        story.next(),
        Wanted::Start(AttemptId {
            request: 1,
            attempt: 0
        })
    );
}

#[test]
fn a_request_is_refused_where_there_are_no_units() {
    let story = Story::start(0);
    story.ask(1);
    story.grant(&story.report(), 0);
    assert_eq!(
        story.next(),
        Wanted::Answer(
            1,
            "Rejected { retry_after: 400ms, timed_out: false }".into()
        )
    );
    // While the allocator has said that there are none, it is not asked.
    story.ask(2);
    assert_eq!(
        story.next(),
        Wanted::Answer(
            2,
            "Rejected { retry_after: 400ms, timed_out: false }".into()
        )
    );
}

#[test]
fn units_of_a_request_that_was_never_sent_serve_another() {
    let story = Story::start(0);
    story.ask(1);
    let report = story.report();
    // Its client leaves before the answer comes.
    _ = story.queue.send(Input::ClientDisconnected(vec![1]));
    story.grant(&report, 1_000);
    story.ask(2);
    assert_eq!(
        story.next(),
        Wanted::Start(AttemptId {
            request: 2,
            attempt: 0
        })
    );
}

#[test]
fn without_an_allocator_the_fallback_part_serves() {
    // The part fills at the whole rate, and was empty at the start.
    let story = Story::start(1_000);
    thread::sleep(Duration::from_millis(1_200));
    story.ask(1);
    let report = story.report();
    assert_eq!(report.sequence, 1);
    _ = story
        .queue
        .send(Input::Allocator(AllocatorEvent::Lost { allocator: 0 }));
    assert_eq!(
        story.next(),
        Wanted::Start(AttemptId {
            request: 1,
            attempt: 0
        })
    );
}

#[test]
fn without_an_allocator_and_without_a_fallback_part_a_request_is_refused() {
    let story = Story::start(0);
    story.ask(1);
    story.report();
    _ = story
        .queue
        .send(Input::Allocator(AllocatorEvent::Lost { allocator: 0 }));
    assert_eq!(
        story.next(),
        Wanted::Answer(
            1,
            "Rejected { retry_after: 400ms, timed_out: false }".into()
        )
    );
}
