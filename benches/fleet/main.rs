//! How soon a fleet knows of deaths and splits, and at what price: the view against a plain heartbeat to all.
//!
//!     cargo bench --bench fleet -- --sizes 30,300 --losses 0,0.06
//!
//! Times are hand-made, nothing is sent over any wire, and the same seed gives the same figures.

#[path = "../../tests/common/net.rs"]
#[allow(dead_code)]
mod net;

use clap::Parser;
use mossrill::membership::member_state::MemberState;
use net::{CpuMeter, CpuUsage, SimulatedNetwork, SECOND};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::time::{clock_gettime, ClockId};
use serde_json::json;
use std::time::Duration;

/// The processor time of at most so many limiters is measured, as reading the clock is slow.
const MEASURED: usize = 32;

/// What a fleet of views knows when, beside a plain heartbeat to all.
#[derive(Parser)]
struct Words {
    /// Limiters.
    #[arg(long, value_delimiter = ',', default_value = "3,30,300,1000")]
    sizes: Vec<u32>,
    /// Part of the datagrams that is lost.
    #[arg(long, value_delimiter = ',', default_value = "0,0.06,0.3")]
    losses: Vec<f64>,
    /// Plays of each.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Seconds in which false deaths are looked for, at a fleet of 30; a larger one gets as many member-seconds.
    #[arg(long, default_value_t = 3600)]
    quiet: u64,
    /// Seconds from the start of all to the first loss; if none are given 20, and a tenth for each limiter.
    #[arg(long)]
    start: Option<u64>,
    /// The least of the quiet seconds in a play.
    #[arg(long, default_value_t = 60)]
    least_quiet: u64,
    /// Lines of JSON alone.
    #[arg(long)]
    json: bool,
    /// As cargo calls a benchmark.
    #[arg(long, hide = true)]
    bench: bool,
}

/// Median and 99th percentile of what was seen; of few plays the latter is the worst one.
fn spread(mut seen: Vec<f64>) -> (f64, f64) {
    if seen.is_empty() {
        return (f64::NAN, f64::NAN);
    }
    seen.sort_by(f64::total_cmp);
    let at =
        |part: f64| seen[((seen.len() as f64 * part).ceil() as usize).clamp(1, seen.len()) - 1];
    (at(0.5), at(0.99))
}

/// What one way of knowing shows.
#[derive(Default)]
struct Seen {
    /// Seconds until all know of a death, and until all are settled after a split of 10 s has healed.
    death: Vec<f64>,
    heal: Vec<f64>,
    /// Members taken for dead in vain, per hour of the fleet.
    falsely: Vec<f64>,
    /// Datagrams and bytes a second sent by one member while nothing happens.
    datagrams: Vec<f64>,
    bytes: Vec<f64>,
    /// Processor time while nothing happens: us a member and second in all, and us for one datagram taken in, one wake
    /// (questions, suspicions, gossip) and one look at what the member may count on.
    spent: Vec<f64>,
    heard: Vec<f64>,
    woken: Vec<f64>,
    standing: Vec<f64>,
    /// The same in all from the split to the end of the heal.
    spent_heal: Vec<f64>,
    /// Seconds from the start of all at once until each knows all.
    start: Vec<f64>,
    /// Plays in which this, the death or the heal was not known to all within the time given for it.
    unsettled: [u32; 3],
}

impl Seen {
    fn tell(self, way: &str, size: u32, loss: f64, words: &Words) {
        let columns = [
            ("death_s", self.death),
            ("heal_s", self.heal),
            ("false_an_hour", self.falsely),
            ("datagrams_s", self.datagrams),
            ("bytes_s", self.bytes),
            ("start_s", self.start),
            ("cpu_us_s", self.spent),
            ("cpu_heal_us_s", self.spent_heal),
            ("heard_us", self.heard),
            ("wake_us", self.woken),
            ("standing_us", self.standing),
        ];
        let mut line = json!({"way": way, "size": size, "loss": loss, "seeds": words.seeds});
        line["unsettled_start_death_heal"] = json!(self.unsettled);
        let mut row = format!(
            "{way:<10} {size:>5} {loss:>5.2}  unsettled {:?}",
            self.unsettled
        );
        for (name, seen) in columns.into_iter().filter(|(_, seen)| !seen.is_empty()) {
            let (median, worst) = spread(seen);
            line[name] = json!([median, worst]);
            row += &format!("  {name} {median:.2} / {worst:.2}");
        }
        println!("{}", if words.json { line.to_string() } else { row });
    }
}

/// Processor time of this thread.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Measures at most [`MEASURED`] limiters from now on.
fn meter(size: u32) -> CpuMeter {
    let every = (size as usize).div_ceil(MEASURED);
    CpuMeter {
        clock: Some(processor_time),
        every,
        ..CpuMeter::default()
    }
}

/// Processor time in us a member and second.
fn spent(meter: &CpuMeter, size: u32, span: u64) -> f64 {
    let all = meter.receive.cpu_time + meter.wake.cpu_time + meter.quota_shares.cpu_time;
    let members = (size as usize).div_ceil(meter.every);
    all.as_secs_f64() * 1e6 / members as f64 / (span as f64 / 1e6)
}

/// Notes the seconds that something took; 1 if it did not come to its end.
fn reached(took: Option<u64>, seen: &mut Vec<f64>) -> u32 {
    seen.extend(took.map(|took| took as f64 / 1e6));
    u32::from(took.is_none())
}

fn each(usage: CpuUsage) -> f64 {
    usage.cpu_time.as_secs_f64() * 1e6 / usage.events as f64
}

fn view(size: u32, loss: f64, words: &Words) -> Seen {
    let mut all = Seen::default();
    for seed in 0..words.seeds {
        let mut net = SimulatedNetwork::new(size, 1_000 + seed);
        net.shares_every = (size as usize).div_ceil(MEASURED);
        net.start_all();
        let first = words
            .start
            .map_or(20 * SECOND + u64::from(size) * SECOND / 10, |start| {
                start * SECOND
            });
        let began = net.now;
        let joined = |net: &SimulatedNetwork| {
            net.running()
                .all(|(_, p)| p.view.alive().iter().all(|lives| *lives))
        };
        all.unsettled[0] += reached(net.run_until(first, joined), &mut all.start);
        net.run((began + first).saturating_sub(net.now));
        net.loss = loss;
        net.run(10 * SECOND);
        // As much of the members' time as of 30 for the whole span, a twentieth of it in each play.
        let span =
            (words.quiet * SECOND * 30 / u64::from(size.max(30))).max(words.least_quiet * SECOND);
        let (sent, bytes): (u64, u64) = (net.sent.iter().sum(), net.sent_bytes.iter().sum());
        let before = net.changes.len();
        net.meter = meter(size);
        net.run(span);
        let quiet = std::mem::replace(&mut net.meter, meter(size));
        all.spent.push(spent(&quiet, size, span));
        all.heard.push(each(quiet.receive));
        all.woken.push(each(quiet.wake));
        all.standing.push(each(quiet.quota_shares));
        let of = |now: u64, then: u64| (now - then) as f64 / f64::from(size) / (span as f64 / 1e6);
        all.datagrams.push(of(net.sent.iter().sum(), sent));
        all.bytes.push(of(net.sent_bytes.iter().sum(), bytes));
        // Told of by its finder; what others make of the same word counts once.
        let found = |c: &&(u64, usize, mossrill::membership::view::StateChange)| {
            c.2.state == MemberState::Dead && c.2.reported_by as usize == c.1
        };
        let falsely = net.changes[before..].iter().filter(found).count();
        all.falsely.push(falsely as f64 * 3600e6 / span as f64);
        net.changes.clear();
        let knows = |net: &SimulatedNetwork| {
            net.running()
                .all(|(_, p)| p.view.state(0) >= MemberState::Dead)
        };
        net.kill(0);
        all.unsettled[1] += reached(net.run_until(60 * SECOND, knows), &mut all.death);
        (net.meter, net.changes) = (meter(size), Vec::new());
        let split = net.now;
        net.partition = (0..size).map(|who| u8::from(who >= size / 2)).collect();
        net.run(10 * SECOND);
        net.partition = vec![0; size as usize];
        // With datagrams lost somebody is under suspicion at nearly any moment: nobody may be taken for dead.
        let healed = |net: &SimulatedNetwork| {
            net.running()
                .all(|(_, p)| p.view.alive()[1..].iter().all(|lives| *lives))
        };
        all.unsettled[2] += reached(net.run_until(300 * SECOND, healed), &mut all.heal);
        all.spent_heal
            .push(spent(&net.meter, size, net.now - split));
    }
    all
}

/// A datagram to every other one each half second; dead after five missing ones. What a pair sees depends on nobody
/// else, so pairs are played one by one: of large fleets a sample.
fn heartbeat(size: u32, loss: f64, words: &Words) -> Seen {
    const PERIOD: f64 = 0.5;
    const MISSING: u32 = 5;
    let mut all = Seen::default();
    let pairs = u64::from(size) * u64::from(size - 1);
    for seed in 0..words.seeds {
        let mut rng = StdRng::seed_from_u64(2_000 + seed);
        let beats = (words.quiet as f64 / PERIOD) as u64;
        let sample = pairs.min(20_000_000 / beats.max(1));
        let mut falsely = 0;
        for _ in 0..sample {
            let mut missing = 0;
            for _ in 0..beats {
                missing = if rng.random_bool(loss) {
                    missing + 1
                } else {
                    0
                };
                falsely += u32::from(missing == MISSING);
            }
        }
        let scale = pairs as f64 / sample as f64 * 3600.0 / words.quiet as f64;
        all.falsely.push(f64::from(falsely) * scale);
        // The last one that is heard before the death tells when it is missed; after a heal, the next one that comes.
        let late = || PERIOD;
        let (mut death, mut heal): (f64, f64) = (0.0, 0.0);
        for _ in 1..size {
            let (mut before, mut after) =
                (rng.random_range(0.0..late()), rng.random_range(0.0..late()));
            while rng.random_bool(loss) {
                before += PERIOD;
            }
            while rng.random_bool(loss) {
                after += PERIOD;
            }
            death = death
                .max(f64::from(MISSING) * PERIOD - before.min(f64::from(MISSING) * PERIOD) + 0.03);
            heal = heal.max(after);
        }
        all.death.push(death);
        all.heal.push(heal);
        all.datagrams.push(f64::from(size - 1) / PERIOD);
        all.bytes.push(f64::from(size - 1) / PERIOD * 90.0);
    }
    all
}

fn main() {
    let words = Words::parse();
    for size in &words.sizes {
        for loss in &words.losses {
            view(*size, *loss, &words).tell("view", *size, *loss, &words);
            heartbeat(*size, *loss, &words).tell("heartbeat", *size, *loss, &words);
        }
    }
}
