//! Open-loop load: requests begin at drawn times whatever became of those before, and a request's latency counts from
//! the time at which it was to begin.

use crate::error::LabError;
use crate::population::{Drawn, Population};
use crate::real_files::{account, path, ACCOUNT_HEADER};
use crate::upstream::SERVICE_HEADER;
use crossbeam_channel::{unbounded, Receiver, Sender};
use hdrhistogram::Histogram;
use mossrill::protocol::http::{header, Reader};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Connections to each limiter: more requests than these at once wait, which their latency shows.
const CONNECTIONS: usize = 48;
/// An answer is waited for so long.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// The longest latency that is told apart, in µs.
const LONGEST_US: u64 = 60_000_000;
/// The longest answer.
const LONGEST_ANSWER: usize = 64 * 1024;

/// A request to be sent.
struct Job {
    intended: Instant,
    tenant: usize,
    units: u32,
}

/// What came of all requests.
pub struct Outcomes {
    /// Latency of served requests from the intended start, in µs.
    pub latency: Histogram<u64>,
    /// The same without the time that the upstream server took.
    pub added: Histogram<u64>,
    /// How late requests were written, in µs.
    pub lag: Histogram<u64>,
    /// Served.
    pub served: u64,
    /// Refused by quota or load (429, or 504 where nothing was sent).
    pub refused: u64,
    /// Failed: any other answer.
    pub failed: u64,
    /// No connection, or a connection that broke.
    pub broken: u64,
    /// Units served, by second and tenant.
    pub units: HashMap<(u32, usize), f64>,
}

impl Outcomes {
    fn new() -> Result<Self, LabError> {
        let histogram = || Histogram::new_with_bounds(1, LONGEST_US, 3);
        Ok(Self {
            latency: histogram()?,
            added: histogram()?,
            lag: histogram()?,
            served: 0,
            refused: 0,
            failed: 0,
            broken: 0,
            units: HashMap::new(),
        })
    }

    fn add(&mut self, other: &Self) -> Result<(), LabError> {
        self.latency.add(&other.latency)?;
        self.added.add(&other.added)?;
        self.lag.add(&other.lag)?;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.broken += other.broken;
        for (key, units) in &other.units {
            *self.units.entry(*key).or_default() += units;
        }
        Ok(())
    }

    /// Requests in all.
    pub fn requests(&self) -> u64 {
        self.served + self.refused + self.failed + self.broken
    }
}

/// A generator that runs.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    dispatcher: JoinHandle<()>,
    workers: Vec<JoinHandle<Result<Outcomes, LabError>>>,
}

impl LoadGenerator {
    /// Starts to send the traffic of these tenants to the limiters at these ports.
    pub fn start(population: Arc<Population>, ports: &[u16], seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let began = Instant::now();
        let (mut queues, mut workers) = (Vec::new(), Vec::new());
        for port in ports {
            let (queue, jobs) = unbounded();
            queues.push(queue);
            let at = SocketAddr::from((Ipv4Addr::LOCALHOST, *port));
            for _ in 0..CONNECTIONS {
                let jobs = jobs.clone();
                workers.push(std::thread::spawn(move || work(at, &jobs, began)));
            }
        }
        let stopped = stop.clone();
        let dispatcher =
            std::thread::spawn(move || dispatch(&population, &queues, &stopped, began, seed));
        Self {
            stop,
            dispatcher,
            workers,
        }
    }

    /// Stops and says what came of all requests.
    pub fn finish(self) -> Result<Outcomes, LabError> {
        self.stop.store(true, Relaxed);
        let lost = |_| LabError::WorkerPanicked;
        self.dispatcher.join().map_err(lost)?;
        let mut all = Outcomes::new()?;
        for worker in self.workers {
            all.add(&worker.join().map_err(lost)??)?;
        }
        Ok(all)
    }
}

/// Hands each request to its limiter's workers at its time; a Poisson stream over all tenants.
fn dispatch(
    population: &Population,
    queues: &[Sender<Job>],
    stop: &AtomicBool,
    began: Instant,
    seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut intended = began;
    while !stop.load(Relaxed) {
        let chance: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        intended += Duration::from_secs_f64(-chance.ln() / population.requests_per_s());
        std::thread::sleep(intended.saturating_duration_since(Instant::now()));
        let Drawn {
            tenant,
            limiter,
            units,
        } = population.draw(&mut rng);
        let job = Job {
            intended,
            tenant,
            units: units as u32,
        };
        if queues[limiter as usize].send(job).is_err() {
            return;
        }
    }
}

fn work(at: SocketAddr, jobs: &Receiver<Job>, began: Instant) -> Result<Outcomes, LabError> {
    let mut outcomes = Outcomes::new()?;
    let mut connection: Option<TcpStream> = None;
    for job in jobs {
        let open = connection
            .take()
            .or_else(|| TcpStream::connect_timeout(&at, ANSWER_LIMIT).ok());
        outcomes
            .lag
            .saturating_record(job.intended.elapsed().as_micros() as u64);
        let answer = open.and_then(|stream| Some((exchange(&stream, &job)?, stream)));
        let Some((answer, stream)) = answer else {
            outcomes.broken += 1;
            continue;
        };
        connection = answer.keep.then_some(stream);
        outcomes.take(&job, &answer, began);
    }
    Ok(outcomes)
}

struct Answer {
    status: u16,
    service_micros: u64,
    keep: bool,
}

fn exchange(mut stream: &TcpStream, job: &Job) -> Option<Answer> {
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(ANSWER_LIMIT)).ok()?;
    let (path, account) = (path(job.units), account(job.tenant));
    let text = format!("GET {path} HTTP/1.1\r\nHost: lab\r\n{ACCOUNT_HEADER}: {account}\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let (head, _) = Reader::new(stream)
        .read_response_with_body(LONGEST_ANSWER, false)
        .ok()?;
    let told = header(&head.headers, SERVICE_HEADER);
    let service = told.and_then(|value| std::str::from_utf8(value).ok()?.trim().parse().ok());
    Some(Answer {
        status: head.status,
        service_micros: service.unwrap_or(0),
        keep: head.keep_alive,
    })
}

impl Outcomes {
    fn take(&mut self, job: &Job, answer: &Answer, began: Instant) {
        match answer.status {
            200 => {
                let latency = job.intended.elapsed().as_micros() as u64;
                self.latency.saturating_record(latency);
                self.added
                    .saturating_record(latency.saturating_sub(answer.service_micros));
                self.served += 1;
                let second = job.intended.saturating_duration_since(began).as_secs() as u32;
                *self.units.entry((second, job.tenant)).or_default() += f64::from(job.units);
            }
            429 | 504 => self.refused += 1,
            _ => self.failed += 1,
        }
    }
}
