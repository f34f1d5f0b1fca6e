//! A simulated upstream server, and the attempts at it.

use mossrill::decision::Micros;
use std::collections::VecDeque;

pub const MS: Micros = 1_000;

/// Mean work of a request on one core, its aim and its deadline, as the ferry division has them.
pub const WORK: f64 = 100_000.0;

pub const CORES: usize = 2;

/// A node: two cores, a waiting room, and slower the more it holds beyond what its cores can do.
#[derive(Default)]
pub struct Node {
    pub running: Vec<(usize, usize)>,
    pub waiting: VecDeque<(usize, usize)>,
    /// Against the others, and when it started, 0 for long ago.
    pub speed: f64,
    pub started: Micros,
    /// When what was sent to it came.
    pub sent: Vec<Micros>,
}

impl Node {
    /// What it can do now against a warm one of speed 1: it starts at a sixth and is warm after 18 s.
    pub fn capacity(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started) as f64 / 18e6;
        self.speed
            * if self.started == 0 {
                1.0
            } else {
                (0.16 + 0.84 * age).min(1.0)
            }
    }
}

pub struct Attempt {
    pub gateway: usize,
    pub asked: Micros,
    pub left: u32,
    pub done: bool,
    /// Where each attempt went; none once it has ended.
    pub attempts: Vec<Option<(usize, Micros)>>,
}
