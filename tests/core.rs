//! Tests of the core alone: its edges are played by the test, nothing goes over a socket.

use crossbeam_channel::{bounded, never, unbounded, Receiver, Sender};
use mossrill::core::{
    Answer, AttemptDeadlines, AttemptId, Clock, Core, CoreOptions, IncomingRequest, Input,
    Transport,
};
use mossrill::decision::*;
use slog::{o, Discard, Logger};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Tells each answer, and each attempt as it starts.
struct Played {
    answers: Sender<(u64, String)>,
    started: Sender<AttemptId>,
}

impl Transport for Played {
    type Client = u64;
    type Call = ();
    type Value = &'static str;

    fn answer(&mut self, client: u64, answer: Answer<&'static str>) {
        _ = self.answers.send((client, format!("{answer:?}")));
    }

    fn start_attempt(
        &mut self,
        attempt: AttemptId,
        _: &ServerId,
        _: &Arc<()>,
        _: AttemptDeadlines,
        _: &Self::Client,
    ) {
        _ = self.started.send(attempt);
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

    fn has_clients(&self) -> bool {
        false
    }
}

type Story = (
    Sender<Input<Played>>,
    Receiver<(u64, String)>,
    Receiver<AttemptId>,
);

/// A core that finds these inputs in its queue when it starts.
fn core(max_open: usize, inputs: Vec<Input<Played>>) -> Story {
    let class = RequestClass {
        latency_objective: 800_000,
        deadline: 2_000_000,
        priority_weight: 1.0,
        ..RequestClass::default()
    };
    let settings = Settings {
        limiters: 1,
        classes: vec![RequestClass {
            idempotency: Idempotency::NonIdempotent,
            ..class
        }],
        plans: vec![Plan {
            rate: 100.0,
            burst: 200.0,
            weight_factor: 1.0,
            ..Plan::default()
        }],
        limits: Limits {
            max_attempts: 4,
            cancel: true,
            max_retry_after: 400_000,
            ..Limits::default()
        },
        ..Settings::default()
    };
    let ((queue, taken), (answers, told), (started, attempts)) =
        (unbounded(), unbounded(), unbounded());
    let node = |name: &str| Endpoint {
        id: name.into(),
        zone: String::new(),
        cell: 0,
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at: 0,
    };
    _ = queue.send(Input::EndpointUpdate(
        UpdateScope::Snapshot,
        vec![node("a"), node("b"), node("c")],
    ));
    inputs.into_iter().for_each(|input| _ = queue.send(input));
    let (edges, log) = (Played { answers, started }, Logger::root(Discard, o!()));
    thread::spawn(move || {
        Core::new(CoreOptions {
            settings,
            seed: 7,
            max_open,
            transport: edges,
            clock: Clock::start(),
            endpoints_known: bounded(1).0,
            lease_holder: None,
            log,
        })
        .run(taken, never());
    });
    (queue, told, attempts)
}

fn request(number: u64) -> Input<Played> {
    Input::Request(IncomingRequest {
        number,
        id: None,
        arrived: Instant::now(),
        timeout: Duration::from_secs(2),
        class: 0,
        plan: 0,
        account: "agent".into(),
        units: 1.0,
        limiter_count: 1,
        first_limiter: 0,
        client: number,
        call: (),
    })
}

fn ended(attempt: AttemptId, outcome: Outcome, value: Option<&'static str>) -> Input<Played> {
    Input::AttemptEnded {
        attempt,
        outcome,
        load: Vec::new(),
        value,
    }
}

#[test]
fn a_request_behind_the_word_to_stop_is_answered_before_the_end() {
    let by = Instant::now() + Duration::from_secs(30);
    let (queue, told, attempts) = core(10, vec![Input::Shutdown(by), request(1)]);
    let attempt = attempts.recv().expect("an attempt, and no end before it");
    _ = queue.send(ended(attempt, Outcome::Ok, Some("ticket")));
    assert_eq!(told.recv(), Ok((1, "Served(\"ticket\")".into())));
    // Nothing is open any more: the core ends, and its edges with it.
    assert!(told.recv().is_err());
}

#[test]
fn only_the_first_end_of_an_attempt_counts() {
    let (queue, told, attempts) = core(10, vec![request(1)]);
    let first = attempts.recv().expect("an attempt");
    _ = queue.send(ended(first, Outcome::Rejected, None));
    let second = attempts.recv().expect("another, as the first never ran");
    // What comes late of the first is dropped.
    _ = queue.send(ended(first, Outcome::Ok, Some("late")));
    _ = queue.send(ended(second, Outcome::Ok, Some("ticket")));
    assert_eq!(told.recv(), Ok((1, "Served(\"ticket\")".into())));
}

#[test]
fn more_open_requests_than_there_is_memory_for_are_refused_at_once() {
    let (_queue, told, _attempts) = core(2, vec![request(1), request(2), request(3)]);
    assert_eq!(
        told.recv(),
        Ok((
            3,
            "Rejected { retry_after: 400ms, timed_out: false }".into()
        ))
    );
}

#[test]
fn out_of_time_to_stop_nothing_that_waits_is_sent_on() {
    let (queue, told, attempts) = core(20, (1..=21).map(request).collect());
    // The last finds no room, and those before it are open.
    assert_eq!(told.recv().map(|(number, _)| number), Ok(21));
    let out = attempts.try_iter().count();
    assert!(out > 0 && out < 20, "{out} are out, the others wait");
    _ = queue.send(Input::Shutdown(Instant::now()));
    assert_eq!(told.iter().count(), 20);
    assert_eq!(attempts.iter().count(), 0);
}

#[test]
fn a_thread_that_has_done_its_work_is_used_again() {
    // A thread for each connection, started and ended, took most of a small limiter's time.
    let (tell, told) = unbounded();
    let mut seen = std::collections::HashSet::new();
    loop {
        let tell = tell.clone();
        mossrill::threads::spawn("work", move || _ = tell.send(thread::current().id()))
            .expect("a thread");
        if !seen.insert(
            told.recv_timeout(Duration::from_secs(20))
                .expect("work done"),
        ) {
            break;
        }
        assert!(seen.len() < 1_000, "never the same thread");
    }
}
