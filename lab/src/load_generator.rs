//! Open-loop load generator. Requests start at randomly drawn times, whether or not earlier ones
//! have been answered, and latency is measured from the intended start of a request.

use crate::error::LabError;
use crate::population::{DrawnRequest, Population};
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

/// Number of connections to each limiter. Further concurrent requests wait for a free connection;
/// the wait is part of their latency.
const CONNECTIONS_PER_LIMITER: usize = 48;
/// Timeout of connecting and of reading an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound of the latency histograms in µs; longer latencies are recorded as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Maximum length of the body of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// A request to be sent.
struct Job {
    /// Intended start.
    intended: Instant,
    tenant: usize,
    units: u32,
}

/// Outcomes of all requests.
pub struct Outcomes {
    /// Latency of served requests from the intended start, in µs.
    pub latency: Histogram<u64>,
    /// The same latency less the service time of the upstream server, in µs.
    pub added: Histogram<u64>,
    /// Delay from the intended start of a request until it was written, in µs.
    pub lag: Histogram<u64>,
    /// Number of requests served.
    pub served: u64,
    /// Number of requests refused by quota or load (429, or 504 if no attempt was sent).
    pub refused: u64,
    /// Number of requests with any other answer.
    pub failed: u64,
    /// Number of requests without an answer: the connection could not be opened, or broke.
    pub broken: u64,
    /// Units of served requests, by second and tenant.
    pub units: HashMap<(u32, usize), f64>,
}

impl Outcomes {
    fn new() -> Result<Self, LabError> {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
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

    /// Returns the total number of requests.
    pub fn requests(&self) -> u64 {
        self.served + self.refused + self.failed + self.broken
    }
}

/// A running load generator.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    dispatcher: JoinHandle<()>,
    workers: Vec<JoinHandle<Result<Outcomes, LabError>>>,
}

impl LoadGenerator {
    /// Starts sending the traffic of these tenants to the limiters on these ports.
    pub fn start(population: Arc<Population>, ports: &[u16], seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let began = Instant::now();
        let (mut queues, mut workers) = (Vec::new(), Vec::new());
        for port in ports {
            let (queue, jobs) = unbounded();
            queues.push(queue);
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, *port));
            for _ in 0..CONNECTIONS_PER_LIMITER {
                let jobs = jobs.clone();
                workers.push(std::thread::spawn(move || {
                    run_worker(address, &jobs, began)
                }));
            }
        }
        let stop_requested = stop.clone();
        let dispatcher = std::thread::spawn(move || {
            dispatch(&population, &queues, &stop_requested, began, seed)
        });
        Self {
            stop,
            dispatcher,
            workers,
        }
    }

    /// Stops the generator and returns the outcomes of all requests.
    pub fn finish(self) -> Result<Outcomes, LabError> {
        self.stop.store(true, Relaxed);
        let panicked = |_| LabError::WorkerPanicked;
        self.dispatcher.join().map_err(panicked)?;
        let mut total = Outcomes::new()?;
        for worker in self.workers {
            total.add(&worker.join().map_err(panicked)??)?;
        }
        Ok(total)
    }
}

/// Passes each request to its limiter's workers at its intended start; requests of all tenants
/// together are a Poisson process.
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
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        intended += Duration::from_secs_f64(-uniform.ln() / population.requests_per_s());
        std::thread::sleep(intended.saturating_duration_since(Instant::now()));
        let DrawnRequest {
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

/// Sends requests on one connection, one after another, until the queue is closed.
fn run_worker(
    address: SocketAddr,
    jobs: &Receiver<Job>,
    began: Instant,
) -> Result<Outcomes, LabError> {
    let mut outcomes = Outcomes::new()?;
    let mut connection: Option<TcpStream> = None;
    for job in jobs {
        let open = connection
            .take()
            .or_else(|| TcpStream::connect_timeout(&address, ANSWER_TIMEOUT).ok());
        outcomes
            .lag
            .saturating_record(job.intended.elapsed().as_micros() as u64);
        let answer = open.and_then(|stream| Some((exchange(&stream, &job)?, stream)));
        let Some((answer, stream)) = answer else {
            outcomes.broken += 1;
            continue;
        };
        connection = answer.keep_alive.then_some(stream);
        outcomes.record(&job, &answer, began);
    }
    Ok(outcomes)
}

struct Answer {
    status: u16,
    service_micros: u64,
    keep_alive: bool,
}

/// Sends a request and reads its answer; `None` if the connection fails.
fn exchange(mut stream: &TcpStream, job: &Job) -> Option<Answer> {
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let (path, account) = (path(job.units), account(job.tenant));
    let text = format!("GET {path} HTTP/1.1\r\nHost: lab\r\n{ACCOUNT_HEADER}: {account}\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let (head, _) = Reader::new(stream)
        .read_response_with_body(MAX_ANSWER_BYTES, false)
        .ok()?;
    let reported = header(&head.headers, SERVICE_HEADER);
    let service = reported.and_then(|value| std::str::from_utf8(value).ok()?.trim().parse().ok());
    Some(Answer {
        status: head.status,
        service_micros: service.unwrap_or(0),
        keep_alive: head.keep_alive,
    })
}

impl Outcomes {
    /// Records an answer.
    fn record(&mut self, job: &Job, answer: &Answer, began: Instant) {
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
