//! Parameters of the recorded sequences, and the settings that the simulator sends to their
//! instances.

use crate::random::SplitMix64;
use serde_json::{json, Value};

/// Parameters of one sequence of events.
pub struct Scenario {
    pub seed: u64,
    /// Number of instances of the decision engine.
    pub instances: u64,
    /// Number of zones.
    pub zones: u64,
    /// Number of upstream servers at the start.
    pub servers: u64,
    /// Number of accounts.
    pub accounts: u64,
    /// Percentages of counter calls that fail: the reply is lost after the amount was added; the
    /// call is lost before; the call is rejected or can't connect; the reply contains a wrong
    /// total.
    pub counter_faults: [u64; 4],
    /// Percentage of attempts that are served.
    pub served_percent: u64,
    /// Maximum duration of an attempt, in microseconds.
    pub max_attempt_us: u64,
    pub polls_discovery: bool,
    pub counter: bool,
    pub hedging: bool,
    pub cancel: bool,
    pub max_attempts: u64,
    /// Whether a response after the latency objective keeps a part of its priority weight.
    pub has_late_weight: bool,
}

impl Scenario {
    /// Returns the scenario of the sequence with this number. Each number gives another combination
    /// of parameters.
    pub fn new(number: u64) -> Self {
        let mut random = SplitMix64::new(0xd15c_0000 + number);
        let has_few_faults = number % 4 == 0;
        Self {
            seed: number,
            instances: 1 + number % 4,
            zones: 1 + number % 3,
            servers: 3 + number % 7,
            accounts: [3, 12, 40][(number / 2 % 3) as usize],
            counter_faults: if has_few_faults { [0; 4] } else { [3, 3, 6, 2] },
            served_percent: if has_few_faults { 96 } else { 75 },
            max_attempt_us: [20_000, 150_000, 900_000][random.below(3) as usize],
            polls_discovery: number % 2 == 1,
            counter: number % 5 != 4,
            hedging: number % 3 != 2,
            cancel: number % 7 != 3,
            max_attempts: 1 + number % 4,
            has_late_weight: number % 3 == 1,
        }
    }

    /// Returns the settings of one instance in the form that the simulator sends.
    pub fn settings(&self, instance: u64) -> Value {
        let late_weight = if self.has_late_weight { 0.4 } else { 0.0 };
        let class = |name: &str, semantics: &str, group: &str, objective: u64, window: u64| {
            json!({"name": name, "semantics": semantics, "group": group, "slo": objective, "deadline": 2 * objective,
                "memorySpan": window, "importance": objective as f64 / 200_000.0, "lateWorth": late_weight,
                "stream": name == "stream"})
        };
        let plan = |name: &str,
                    rate: f64,
                    burst: f64,
                    concurrent: u64,
                    ceiling: f64,
                    excess: f64| {
            json!({"name": name, "refill": rate, "peakUnits": burst, "parallel": concurrent, "worthFactor": 0.5 + rate / 10.0,
                "excessWorth": excess, "excessCost": 0.5, "hardRate": 3.0 * rate * ceiling,
                "ceilingBurst": 3.0 * burst * ceiling, "capSlack": 1.5 * ceiling})
        };
        let zone = format!("zone-{}", instance % self.zones);
        json!({
            "az": zone, "balancers": self.instances, "me": instance, "tick": 2_000,
            "discovery": if self.polls_discovery { "ask" } else { "push" },
            "classes": [
                class("read", "read_like", "all", 400_000, 0),
                class("keyed-all", "idempotency_key", "all", 600_000, 900_000),
                class("keyed-zone", "idempotency_key", "zone", 600_000, 500_000),
                class("keyed-cell", "idempotency_key", "cell", 500_000, 700_000),
                class("write", "non_idempotent", "all", 800_000, 0),
                class("stream", "read_like", "all", 500_000, 0),
            ],
            "tariffs": [
                plan("rate", 4.0, 12.0, 0, 0.0, 0.0),
                plan("thin", 1.0, 2.0, 0, 0.0, 0.2),
                plan("both", 9.0, 30.0, 3, 0.0, 0.0),
                plan("concurrent", 0.0, 0.0, 2, 0.0, 0.0),
                plan("ceiling", 6.0, 14.0, 0, 1.0, 0.9),
                plan("open", 0.0, 0.0, 0, 0.0, 0.0),
            ],
            "limits": {"maxAttempts": self.max_attempts, "mayCancel": self.cancel, "mayProbe": true, "peers": true,
                "secondCopies": self.hedging, "retryAfter": self.seed % 2 == 0, "maxRetryAfter": 1_000_000},
            "safety": {"drainGrace": 1_000_000, "coldShare": 0.2, "warmWithin": 4_000_000, "fall": 3_000_000,
                "fallMultiple": 3.0},
            "prices": {"crossZone": 0.02 * (self.seed % 3) as f64, "waste": 0.05, "probe": 0.01},
            "loadInfo": {"fields": ["queue", "inflight", "util", "qps"],
                "source": if self.seed % 2 == 0 { "pull" } else { "piggyback" }},
            "specifics": {"mayCount": self.counter, "countFee": 0.01, "counterTimeout": 50_000},
            "weightSource": if self.seed % 2 == 0 { "nominal" } else { "silent" },
        })
    }
}

/// Names of the classes with their deadlines in microseconds.
pub const CLASSES: [(&str, u64); 6] = [
    ("read", 800_000),
    ("keyed-all", 1_200_000),
    ("keyed-zone", 1_200_000),
    ("keyed-cell", 1_000_000),
    ("write", 1_600_000),
    ("stream", 1_000_000),
];
/// Names of the plans.
pub const PLANS: [&str; 6] = ["rate", "thin", "both", "concurrent", "ceiling", "open"];
