//! How fast a fleet detects deaths and recovers from partitions, and at what cost in datagrams and
//! CPU time: the membership view compared with a plain heartbeat to all members.
//!
//!     cargo bench --bench fleet -- --sizes 30,300 --losses 0,0.06
//!
//! Time is virtual and no datagram leaves the process. Apart from CPU times, the same seed gives the
//! same figures.

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

/// Maximum number of limiters whose CPU time is measured, as reading the clock is slow.
const MAX_MEASURED: usize = 32;

/// Compares the membership view with a plain heartbeat to all members.
#[derive(Parser)]
struct Arguments {
    /// Numbers of limiters.
    #[arg(long, value_delimiter = ',', default_value = "3,30,300,1000")]
    sizes: Vec<u32>,
    /// Fractions of the datagrams that are lost.
    #[arg(long, value_delimiter = ',', default_value = "0,0.06,0.3")]
    losses: Vec<f64>,
    /// Number of runs for each size and loss, each with another seed.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Seconds per run in which false deaths are counted, in a fleet of up to 30 limiters; a larger
    /// fleet gets as many member-seconds as one of 30.
    #[arg(long, default_value_t = 3600)]
    quiet: u64,
    /// Seconds from the start of all limiters until datagrams are lost; by default 20, and 0.1 for
    /// each limiter.
    #[arg(long)]
    start: Option<u64>,
    /// Minimum number of seconds per run in which false deaths are counted.
    #[arg(long, default_value_t = 60)]
    least_quiet: u64,
    /// Prints each result as a line of JSON.
    #[arg(long)]
    json: bool,
    /// Accepted because cargo passes it to each benchmark.
    #[arg(long, hide = true)]
    bench: bool,
}

/// Returns the median and the 99th percentile of the samples. Of fewer than 100 samples, the latter
/// is the largest one.
fn median_and_p99(mut samples: Vec<f64>) -> (f64, f64) {
    if samples.is_empty() {
        return (f64::NAN, f64::NAN);
    }
    samples.sort_by(f64::total_cmp);
    let at = |quantile: f64| {
        samples[((samples.len() as f64 * quantile).ceil() as usize).clamp(1, samples.len()) - 1]
    };
    (at(0.5), at(0.99))
}

/// Results of one detection method, with one sample or more for each run.
#[derive(Default)]
struct Measurements {
    /// Seconds from a member's death until all others have detected it.
    death_s: Vec<f64>,
    /// Seconds from the end of a partition of 10 s until no running member is believed dead.
    heal_s: Vec<f64>,
    /// Running members declared dead, per hour in the whole fleet.
    false_deaths_per_hour: Vec<f64>,
    /// Datagrams per second that one member sends while no member starts or dies.
    datagrams_per_s: Vec<f64>,
    /// Bytes per second that one member sends while no member starts or dies.
    bytes_per_s: Vec<f64>,
    /// CPU time in µs per member and second while no member starts or dies.
    cpu_us_per_s: Vec<f64>,
    /// CPU time in µs for one received datagram.
    receive_us: Vec<f64>,
    /// CPU time in µs for one wake: probes, suspicion timeouts and gossip.
    wake_us: Vec<f64>,
    /// CPU time in µs for computing a member's quota shares once.
    quota_shares_us: Vec<f64>,
    /// CPU time in µs per member and second from the start of the partition to the end of the heal.
    heal_cpu_us_per_s: Vec<f64>,
    /// Seconds from the start of all members at once until each believes all others alive.
    start_s: Vec<f64>,
    /// Number of runs in which the start, the detection of the death and the heal did not complete
    /// in time.
    unsettled: [u32; 3],
}

impl Measurements {
    /// Prints the median and the 99th percentile of each result.
    fn print(self, method: &str, size: u32, loss: f64, arguments: &Arguments) {
        let columns = [
            ("death_s", self.death_s),
            ("heal_s", self.heal_s),
            ("false_an_hour", self.false_deaths_per_hour),
            ("datagrams_s", self.datagrams_per_s),
            ("bytes_s", self.bytes_per_s),
            ("start_s", self.start_s),
            ("cpu_us_s", self.cpu_us_per_s),
            ("cpu_heal_us_s", self.heal_cpu_us_per_s),
            ("heard_us", self.receive_us),
            ("wake_us", self.wake_us),
            ("standing_us", self.quota_shares_us),
        ];
        let mut line = json!({"way": method, "size": size, "loss": loss, "seeds": arguments.seeds});
        line["unsettled_start_death_heal"] = json!(self.unsettled);
        let mut row = format!(
            "{method:<10} {size:>5} {loss:>5.2}  unsettled {:?}",
            self.unsettled
        );
        for (name, samples) in columns
            .into_iter()
            .filter(|(_, samples)| !samples.is_empty())
        {
            let (median, p99) = median_and_p99(samples);
            line[name] = json!([median, p99]);
            row += &format!("  {name} {median:.2} / {p99:.2}");
        }
        println!(
            "{}",
            if arguments.json {
                line.to_string()
            } else {
                row
            }
        );
    }
}

/// Returns the CPU time of this thread.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns a meter that measures at most [`MAX_MEASURED`] limiters.
fn new_meter(size: u32) -> CpuMeter {
    let every = (size as usize).div_ceil(MAX_MEASURED);
    CpuMeter {
        clock: Some(thread_cpu_time),
        every,
        ..CpuMeter::default()
    }
}

/// Returns the measured CPU time in µs per member and second, for a measurement of `span` µs.
fn cpu_us_per_member_second(meter: &CpuMeter, size: u32, span: u64) -> f64 {
    let all = meter.receive.cpu_time + meter.wake.cpu_time + meter.quota_shares.cpu_time;
    let members = (size as usize).div_ceil(meter.every);
    all.as_secs_f64() * 1e6 / members as f64 / (span as f64 / 1e6)
}

/// Adds a duration in µs to `samples_s`, in seconds. Returns 1 if there is none, as the event timed
/// out, and else 0.
fn record_duration(duration: Option<u64>, samples_s: &mut Vec<f64>) -> u32 {
    samples_s.extend(duration.map(|duration| duration as f64 / 1e6));
    u32::from(duration.is_none())
}

/// Returns the mean CPU time in µs of an event.
fn mean_us(usage: CpuUsage) -> f64 {
    usage.cpu_time.as_secs_f64() * 1e6 / usage.events as f64
}

/// Measures a fleet of views on a simulated network.
fn measure_view(size: u32, loss: f64, arguments: &Arguments) -> Measurements {
    let mut results = Measurements::default();
    for seed in 0..arguments.seeds {
        let mut net = SimulatedNetwork::new(size, 1_000 + seed);
        net.shares_every = (size as usize).div_ceil(MAX_MEASURED);
        net.start_all();
        let start_span = arguments
            .start
            .map_or(20 * SECOND + u64::from(size) * SECOND / 10, |start| {
                start * SECOND
            });
        let began = net.now;
        let joined = |net: &SimulatedNetwork| {
            net.running()
                .all(|(_, p)| p.view.alive().iter().all(|alive| *alive))
        };
        results.unsettled[0] +=
            record_duration(net.run_until(start_span, joined), &mut results.start_s);
        net.run((began + start_span).saturating_sub(net.now));
        net.loss = loss;
        net.run(10 * SECOND);
        // As many member-seconds as a fleet of 30 has in the seconds of `quiet`.
        let span = (arguments.quiet * SECOND * 30 / u64::from(size.max(30)))
            .max(arguments.least_quiet * SECOND);
        let (sent_before, bytes_before): (u64, u64) =
            (net.sent.iter().sum(), net.sent_bytes.iter().sum());
        let changes_before = net.changes.len();
        net.meter = new_meter(size);
        net.run(span);
        let quiet = std::mem::replace(&mut net.meter, new_meter(size));
        results
            .cpu_us_per_s
            .push(cpu_us_per_member_second(&quiet, size, span));
        results.receive_us.push(mean_us(quiet.receive));
        results.wake_us.push(mean_us(quiet.wake));
        results.quota_shares_us.push(mean_us(quiet.quota_shares));
        let per_member_second =
            |now: u64, before: u64| (now - before) as f64 / f64::from(size) / (span as f64 / 1e6);
        results
            .datagrams_per_s
            .push(per_member_second(net.sent.iter().sum(), sent_before));
        results
            .bytes_per_s
            .push(per_member_second(net.sent_bytes.iter().sum(), bytes_before));
        // Counts a death only in the view of the member that declared it, as the other views get it
        // by gossip.
        let declared_dead = |c: &&(u64, usize, mossrill::membership::view::StateChange)| {
            c.2.state == MemberState::Dead && c.2.reported_by as usize == c.1
        };
        let false_deaths = net.changes[changes_before..]
            .iter()
            .filter(declared_dead)
            .count();
        results
            .false_deaths_per_hour
            .push(false_deaths as f64 * 3600e6 / span as f64);
        net.changes.clear();
        let detected = |net: &SimulatedNetwork| {
            net.running()
                .all(|(_, p)| p.view.state(0) >= MemberState::Dead)
        };
        net.kill(0);
        results.unsettled[1] +=
            record_duration(net.run_until(60 * SECOND, detected), &mut results.death_s);
        (net.meter, net.changes) = (new_meter(size), Vec::new());
        let partitioned_at = net.now;
        net.partition = (0..size)
            .map(|limiter| u8::from(limiter >= size / 2))
            .collect();
        net.run(10 * SECOND);
        net.partition = vec![0; size as usize];
        // Suspects count as alive: while datagrams are lost, some member is suspected at nearly any
        // moment.
        let healed = |net: &SimulatedNetwork| {
            net.running()
                .all(|(_, p)| p.view.alive()[1..].iter().all(|alive| *alive))
        };
        results.unsettled[2] +=
            record_duration(net.run_until(300 * SECOND, healed), &mut results.heal_s);
        results.heal_cpu_us_per_s.push(cpu_us_per_member_second(
            &net.meter,
            size,
            net.now - partitioned_at,
        ));
    }
    results
}

/// Measures a heartbeat: each member sends a datagram to every other one each half second, and
/// declares a member dead after five missing datagrams. A member detects the death of another one
/// independently of the rest of the fleet, so each pair is simulated on its own, and of large fleets
/// a sample of the pairs.
fn measure_heartbeat(size: u32, loss: f64, arguments: &Arguments) -> Measurements {
    const PERIOD_S: f64 = 0.5;
    const DEAD_AFTER_MISSING: u32 = 5;
    let mut results = Measurements::default();
    let pairs = u64::from(size) * u64::from(size - 1);
    for seed in 0..arguments.seeds {
        let mut rng = StdRng::seed_from_u64(2_000 + seed);
        let beats = (arguments.quiet as f64 / PERIOD_S) as u64;
        let sample = pairs.min(20_000_000 / beats.max(1));
        let mut false_deaths = 0;
        for _ in 0..sample {
            let mut missing = 0;
            for _ in 0..beats {
                missing = if rng.random_bool(loss) {
                    missing + 1
                } else {
                    0
                };
                false_deaths += u32::from(missing == DEAD_AFTER_MISSING);
            }
        }
        let scale = pairs as f64 / sample as f64 * 3600.0 / arguments.quiet as f64;
        results
            .false_deaths_per_hour
            .push(f64::from(false_deaths) * scale);
        // A death is detected once five datagrams in a row are missing after the last one that
        // arrived; the end of a partition, when the next datagram arrives.
        let period_s = || PERIOD_S;
        let (mut death_s, mut heal_s): (f64, f64) = (0.0, 0.0);
        for _ in 1..size {
            let (mut before_s, mut after_s) = (
                rng.random_range(0.0..period_s()),
                rng.random_range(0.0..period_s()),
            );
            while rng.random_bool(loss) {
                before_s += PERIOD_S;
            }
            while rng.random_bool(loss) {
                after_s += PERIOD_S;
            }
            death_s = death_s.max(
                f64::from(DEAD_AFTER_MISSING) * PERIOD_S
                    - before_s.min(f64::from(DEAD_AFTER_MISSING) * PERIOD_S)
                    + 0.03,
            );
            heal_s = heal_s.max(after_s);
        }
        results.death_s.push(death_s);
        results.heal_s.push(heal_s);
        results.datagrams_per_s.push(f64::from(size - 1) / PERIOD_S);
        results
            .bytes_per_s
            .push(f64::from(size - 1) / PERIOD_S * 90.0);
    }
    results
}

fn main() {
    let arguments = Arguments::parse();
    for size in &arguments.sizes {
        for loss in &arguments.losses {
            measure_view(*size, *loss, &arguments).print("view", *size, *loss, &arguments);
            measure_heartbeat(*size, *loss, &arguments).print(
                "heartbeat",
                *size,
                *loss,
                &arguments,
            );
        }
    }
}
