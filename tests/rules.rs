//! The rules, watched from outside over seeded random legal event sequences.

mod common;
use common::*;
use mossrill::decision::*;
use std::collections::BTreeMap;

struct Try {
    class: usize,
    customer: String,
    deadline: Micros,
    attempts: Vec<(ServerId, Micros, Option<Outcome>)>,
    answered: bool,
    gone: bool,
}

/// Checks every action of a gateway against the rules.
#[derive(Default)]
struct Watch {
    tries: BTreeMap<String, Try>,
    ready: BTreeMap<ServerId, bool>,
    ceiling: BTreeMap<String, (f64, Micros)>,
    sends: usize,
    refusals: usize,
}

impl Watch {
    fn see(&mut self, now: Micros, acts: &[Action], settings: &Settings) {
        for act in acts {
            match act {
                Action::Send { id, server, .. } => self.send(now, &id.0, server, settings),
                Action::Reject { id, .. } => {
                    let t = self.tries.get_mut(&*id.0).expect("known");
                    let maybe = t
                        .attempts
                        .iter()
                        .any(|(_, _, o)| !o.is_some_and(Outcome::never_ran));
                    assert!(
                        t.class == 0 || !maybe,
                        "{} refused though it may have run",
                        id.0
                    );
                    assert!(!t.answered, "{} answered twice", id.0);
                    t.answered = true;
                    self.refusals += 1;
                }
                Action::Fail { id } => {
                    let t = self.tries.get_mut(&*id.0).expect("known");
                    assert!(!t.answered, "{} answered twice", id.0);
                    t.answered = true;
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Micros, id: &str, server: &ServerId, settings: &Settings) {
        self.sends += 1;
        let t = self.tries.get_mut(id).expect("known");
        assert!(!t.answered && !t.gone, "{id} sent after its end");
        assert_eq!(
            self.ready.get(server),
            Some(&true),
            "{id} sent to a server that drains or is gone"
        );
        let out = t.attempts.iter().any(|(_, _, o)| o.is_none());
        assert!(settings.limits.hedging || !out, "{id} has two attempts out");
        for (old, sent, outcome) in &t.attempts {
            if outcome.is_some_and(Outcome::never_ran) {
                continue;
            }
            let same_zone = old.0.as_bytes()[1] % 2 == server.0.as_bytes()[1] % 2;
            let in_time = now <= sent + 1_000_000;
            let fine = match t.class {
                0 => true,
                1 => same_zone && in_time,
                3 => in_time,
                _ => false,
            };
            assert!(fine, "{id} of class {} sent again", t.class);
        }
        if t.attempts.is_empty() && t.customer.starts_with('z') {
            // This gateway's half of a ceiling of 4 a second; the store opens empty.
            let store = self.ceiling.get_mut(&t.customer).expect("known");
            let filled = (store.0 + 2.0 * (now - store.1) as f64 / 1e6).min(4.0);
            assert!(
                filled >= 1.0 - 1e-6,
                "{id} passes the ceiling: {filled} left"
            );
            *store = (filled - 1.0, now);
        }
        t.attempts.push((server.clone(), now, None));
    }
}

fn step(
    bench: &mut Bench,
    watch: &mut Watch,
    rng: &mut fastrand::Rng,
    n: usize,
    settings: &Settings,
) {
    bench.now += rng.u64(0..12_000);
    for t in watch.tries.values() {
        assert!(
            t.answered || t.gone || bench.now <= t.deadline + 12_000,
            "a request is lost"
        );
    }
    let acts = match rng.u32(0..100) {
        0..=29 => {
            let (class, plan) = (rng.usize(0..4), rng.usize(0..3));
            let customer = format!("{}{}", ["x", "y", "z"][plan], rng.u32(0..4));
            let (id, budget) = (format!("r{n}"), rng.u64(1_000..1_500_000));
            watch
                .ceiling
                .entry(customer.clone())
                .or_insert((0.0, bench.now));
            let deadline = bench.now + budget;
            let (attempts, held) = (Vec::new(), customer.as_str().into());
            watch.tries.insert(
                id.clone(),
                Try {
                    class,
                    customer,
                    deadline,
                    attempts,
                    answered: false,
                    gone: false,
                },
            );
            let units = 1.0;
            let id = id.as_str().into();
            let request = Request {
                id,
                class,
                plan,
                account: held,
                timeout: budget,
                units,
                limiter_count: 2,
                first_limiter: 0,
            };
            bench.on(Event::Request(request))
        }
        30..=64 => {
            let open: Vec<(String, usize)> = watch
                .tries
                .iter()
                .flat_map(|(id, t)| (0..t.attempts.len()).map(move |n| (id.clone(), n)))
                .filter(|(id, n)| watch.tries[id].attempts[*n].2.is_none())
                .collect();
            let Some((id, number)) =
                (!open.is_empty()).then(|| open[rng.usize(0..open.len())].clone())
            else {
                return;
            };
            let kinds = [
                Outcome::Ok,
                Outcome::Ok,
                Outcome::Error,
                Outcome::Rejected,
                Outcome::Timeout,
                Outcome::ConnectFailed,
                Outcome::Reset,
            ];
            let outcome = kinds[rng.usize(0..kinds.len())];
            let t = watch.tries.get_mut(&id).expect("known");
            t.attempts[number].2 = Some(outcome);
            t.answered |= outcome == Outcome::Ok && !t.gone;
            let server = t.attempts[number].0.clone();
            let acts = bench.end(&id, number, &server, outcome);
            watch.see(bench.now, &acts, settings);
            // The same event once more must change nothing that the rules see.
            bench.end(&id, number, &server, outcome)
        }
        65..=69 => {
            let scope = if rng.bool() {
                UpdateScope::Delta
            } else {
                UpdateScope::Snapshot
            };
            let mut members = Vec::new();
            for s in 0..6 {
                if rng.u32(0..10) < 7 {
                    let mut m = member(&format!("s{s}"), &format!("z{}", s % 2));
                    m.readiness = [
                        Readiness::Ready,
                        Readiness::Ready,
                        Readiness::Draining,
                        Readiness::Removed,
                    ][rng.usize(0..4)];
                    members.push(m);
                }
            }
            if scope == UpdateScope::Snapshot {
                watch.ready.clear();
            }
            for m in &members {
                watch
                    .ready
                    .insert(m.id.clone(), m.readiness == Readiness::Ready);
            }
            bench.on(Event::EndpointUpdate {
                scope,
                endpoints: members,
            })
        }
        70..=74 => {
            let Some((id, t)) = watch.tries.iter_mut().find(|(_, t)| !t.answered && !t.gone) else {
                return;
            };
            t.gone = true;
            let id = id.as_str().into();
            bench.on(Event::ClientDisconnected { id })
        }
        75..=79 => {
            let outcome = [Outcome::Ok, Outcome::Rejected, Outcome::Timeout][rng.usize(0..3)];
            let acts = bench.acts.clone();
            bench.count(&acts, rng.f64() * 50.0, outcome)
        }
        _ => bench.on(Event::TimerExpired {
            token: rng.u64(0..3),
        }),
    };
    watch.see(bench.now, &acts, settings);
    // A host's timer comes at least this often.
    let acts = bench.on(Event::TimerExpired { token: 0 });
    watch.see(bench.now, &acts, settings);
}

#[test]
fn rules_hold_over_random_events() {
    let (mut sent, mut refused) = (0, 0);
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut settings = settings();
        settings.limits.hedging = seed % 2 == 0;
        // Late answers still earn here, so attempts stay out until the client's time is up.
        settings.classes[2].late_weight = 0.2;
        settings.classes[3].late_weight = 0.2;
        let mut bench = Bench::new(settings.clone(), 6);
        let mut watch = Watch::default();
        for s in 0..6 {
            watch.ready.insert(format!("s{s}").as_str().into(), true);
        }
        for n in 0..1_500 {
            step(&mut bench, &mut watch, &mut rng, n, &settings);
        }
        sent += watch.sends;
        refused += watch.refusals;
    }
    assert!(
        sent > 5_000 && refused > 1_000,
        "{sent} sent, {refused} refused: too little to tell"
    );
}
