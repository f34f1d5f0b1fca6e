//! Checks the limiter's rules on requests, attempts and replies over seeded random sequences of
//! legal events.
//!
//! The checker sees only the events and actions of the engine, not its state.

mod common;
use common::*;
use mossrill::decision::*;
use std::collections::BTreeMap;

/// A request as the checker has seen it.
struct TrackedRequest {
    class: usize,
    account: String,
    deadline: Micros,
    /// Server, send time and outcome of each attempt; the outcome is `None` while the attempt is
    /// open.
    attempts: Vec<(ServerId, Micros, Option<Outcome>)>,
    answered: bool,
    /// Whether the client closed its connection before the answer.
    client_closed: bool,
}

/// Checks every action of an engine against the rules.
#[derive(Default)]
struct RuleChecker {
    requests: BTreeMap<String, TrackedRequest>,
    server_ready: BTreeMap<ServerId, bool>,
    /// Per account, the units in the token bucket of its ceiling, and when the bucket was last
    /// updated.
    ceiling_buckets: BTreeMap<String, (f64, Micros)>,
    sent_attempts: usize,
    rejections: usize,
}

impl RuleChecker {
    fn check(&mut self, now: Micros, actions: &[Action], settings: &Settings) {
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(now, &id.0, server, settings),
                Action::Reject { id, .. } => {
                    let tracked = self
                        .requests
                        .get_mut(&*id.0)
                        .expect("answered request is tracked");
                    let may_have_run = tracked
                        .attempts
                        .iter()
                        .any(|(_, _, outcome)| !outcome.is_some_and(Outcome::never_ran));
                    assert!(
                        tracked.class == 0 || !may_have_run,
                        "{} was rejected though an attempt may have run",
                        id.0
                    );
                    assert!(!tracked.answered, "{} was answered twice", id.0);
                    tracked.answered = true;
                    self.rejections += 1;
                }
                Action::Fail { id } => {
                    let tracked = self
                        .requests
                        .get_mut(&*id.0)
                        .expect("answered request is tracked");
                    assert!(!tracked.answered, "{} was answered twice", id.0);
                    tracked.answered = true;
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Micros, id: &str, server: &ServerId, settings: &Settings) {
        self.sent_attempts += 1;
        let tracked = self
            .requests
            .get_mut(id)
            .expect("request of the attempt is tracked");
        assert!(
            !tracked.answered && !tracked.client_closed,
            "{id} was sent after its answer or after its client closed the connection"
        );
        assert_eq!(
            self.server_ready.get(server),
            Some(&true),
            "{id} was sent to a draining or removed server"
        );
        let attempt_open = tracked
            .attempts
            .iter()
            .any(|(_, _, outcome)| outcome.is_none());
        assert!(
            settings.limits.hedging || !attempt_open,
            "{id} has two open attempts without hedging"
        );
        for (earlier_server, sent, outcome) in &tracked.attempts {
            if outcome.is_some_and(Outcome::never_ran) {
                continue;
            }
            let same_zone = earlier_server.0.as_bytes()[1] % 2 == server.0.as_bytes()[1] % 2;
            let in_time = now <= sent + 1_000_000;
            // Class 0 is idempotent; classes 1 (one zone) and 3 (all servers) have an idempotency
            // key that is valid for 1 s; class 2 is not idempotent.
            let may_retry = match tracked.class {
                0 => true,
                1 => same_zone && in_time,
                3 => in_time,
                _ => false,
            };
            assert!(
                may_retry,
                "{id} of class {} was retried against its class rules after a possible execution",
                tracked.class
            );
        }
        if tracked.attempts.is_empty() && tracked.account.starts_with('z') {
            // This limiter's half of a ceiling of 4 units per second and a burst of 8; the bucket
            // starts empty.
            let bucket = self
                .ceiling_buckets
                .get_mut(&tracked.account)
                .expect("account has a ceiling bucket");
            let available = (bucket.0 + 2.0 * (now - bucket.1) as f64 / 1e6).min(4.0);
            assert!(
                available >= 1.0 - 1e-6,
                "{id} exceeds the ceiling: {available} units available, want 1"
            );
            *bucket = (available - 1.0, now);
        }
        tracked.attempts.push((server.clone(), now, None));
    }
}

/// Advances the clock by up to 12 ms, feeds one random event to the engine, and checks the actions
/// that result.
fn apply_random_event(
    harness: &mut EngineHarness,
    checker: &mut RuleChecker,
    rng: &mut fastrand::Rng,
    request_number: usize,
    settings: &Settings,
) {
    harness.now += rng.u64(0..12_000);
    for tracked in checker.requests.values() {
        assert!(
            tracked.answered || tracked.client_closed || harness.now <= tracked.deadline + 12_000,
            "a request has no answer 12 ms after its deadline"
        );
    }
    let actions = match rng.u32(0..100) {
        0..=29 => {
            let (class, plan) = (rng.usize(0..4), rng.usize(0..3));
            let account = format!("{}{}", ["x", "y", "z"][plan], rng.u32(0..4));
            let (id, timeout) = (format!("r{request_number}"), rng.u64(1_000..1_500_000));
            checker
                .ceiling_buckets
                .entry(account.clone())
                .or_insert((0.0, harness.now));
            let deadline = harness.now + timeout;
            let (attempts, account_id) = (Vec::new(), account.as_str().into());
            checker.requests.insert(
                id.clone(),
                TrackedRequest {
                    class,
                    account,
                    deadline,
                    attempts,
                    answered: false,
                    client_closed: false,
                },
            );
            let units = 1.0;
            let id = id.as_str().into();
            let request = Request {
                id,
                class,
                plan,
                account: account_id,
                timeout,
                units,
                limiter_count: 2,
                first_limiter: 0,
            };
            harness.handle(Event::Request(request))
        }
        30..=64 => {
            let open_attempts: Vec<(String, usize)> = checker
                .requests
                .iter()
                .flat_map(|(id, tracked)| {
                    (0..tracked.attempts.len()).map(move |attempt| (id.clone(), attempt))
                })
                .filter(|(id, attempt)| checker.requests[id].attempts[*attempt].2.is_none())
                .collect();
            let Some((id, attempt)) = (!open_attempts.is_empty())
                .then(|| open_attempts[rng.usize(0..open_attempts.len())].clone())
            else {
                return;
            };
            let outcomes = [
                Outcome::Ok,
                Outcome::Ok,
                Outcome::Error,
                Outcome::Rejected,
                Outcome::Timeout,
                Outcome::ConnectFailed,
                Outcome::Reset,
            ];
            let outcome = outcomes[rng.usize(0..outcomes.len())];
            let tracked = checker
                .requests
                .get_mut(&id)
                .expect("request of the attempt is tracked");
            tracked.attempts[attempt].2 = Some(outcome);
            tracked.answered |= outcome == Outcome::Ok && !tracked.client_closed;
            let server = tracked.attempts[attempt].0.clone();
            let actions = harness.end_attempt(&id, attempt, &server, outcome);
            checker.check(harness.now, &actions, settings);
            // A duplicate of the event must not cause an action that breaks the rules.
            harness.end_attempt(&id, attempt, &server, outcome)
        }
        65..=69 => {
            let scope = if rng.bool() {
                UpdateScope::Delta
            } else {
                UpdateScope::Snapshot
            };
            let mut members = Vec::new();
            for server in 0..6 {
                if rng.u32(0..10) < 7 {
                    let mut endpoint = endpoint(&format!("s{server}"), &format!("z{}", server % 2));
                    endpoint.readiness = [
                        Readiness::Ready,
                        Readiness::Ready,
                        Readiness::Draining,
                        Readiness::Removed,
                    ][rng.usize(0..4)];
                    members.push(endpoint);
                }
            }
            if scope == UpdateScope::Snapshot {
                checker.server_ready.clear();
            }
            for endpoint in &members {
                checker
                    .server_ready
                    .insert(endpoint.id.clone(), endpoint.readiness == Readiness::Ready);
            }
            harness.handle(Event::EndpointUpdate {
                scope,
                endpoints: members,
            })
        }
        70..=74 => {
            let Some((id, tracked)) = checker
                .requests
                .iter_mut()
                .find(|(_, tracked)| !tracked.answered && !tracked.client_closed)
            else {
                return;
            };
            tracked.client_closed = true;
            let id = id.as_str().into();
            harness.handle(Event::ClientDisconnected { id })
        }
        75..=79 => {
            let outcome = [Outcome::Ok, Outcome::Rejected, Outcome::Timeout][rng.usize(0..3)];
            let actions = harness.actions.clone();
            harness.answer_counter_calls(&actions, rng.f64() * 50.0, outcome)
        }
        _ => harness.handle(Event::TimerExpired {
            token: rng.u64(0..3),
        }),
    };
    checker.check(harness.now, &actions, settings);
    // The host of an engine fires its timer at least this often: after each event.
    let actions = harness.handle(Event::TimerExpired { token: 0 });
    checker.check(harness.now, &actions, settings);
}

#[test]
fn rules_hold_over_random_events() {
    let (mut sent, mut rejected) = (0, 0);
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut settings = settings();
        settings.limits.hedging = seed % 2 == 0;
        // Late answers have a positive weight here, so attempts stay open until the client's
        // deadline.
        settings.classes[2].late_weight = 0.2;
        settings.classes[3].late_weight = 0.2;
        let mut harness = EngineHarness::new(settings.clone(), 6);
        let mut checker = RuleChecker::default();
        for server in 0..6 {
            checker
                .server_ready
                .insert(format!("s{server}").as_str().into(), true);
        }
        for request_number in 0..1_500 {
            apply_random_event(
                &mut harness,
                &mut checker,
                &mut rng,
                request_number,
                &settings,
            );
        }
        sent += checker.sent_attempts;
        rejected += checker.rejections;
    }
    assert!(
        sent > 5_000 && rejected > 1_000,
        "{sent} attempts, want more than 5000; {rejected} rejections, want more than 1000"
    );
}
