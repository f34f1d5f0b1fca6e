//! The files that real processes are started with: an OpenAPI description and a configuration for each.

use crate::error::LabError;
use crate::population::Population;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};

/// Name of the description beside the configurations.
const DESCRIPTION: &str = "description.json";
/// The header that names the account.
pub const ACCOUNT_HEADER: &str = "X-Agent-Account";

/// Where a real process listens, and its file.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its number.
    pub number: u32,
    /// Port for clients.
    pub port: u16,
    /// Port for operators.
    pub control: u16,
    /// Its configuration.
    pub file: PathBuf,
}

/// What all configurations of a run have in common.
pub struct Files<'a> {
    /// The folder that they are in.
    pub folder: &'a Path,
    /// Accounts and plans.
    pub population: &'a Population,
    /// Ports of the upstream servers.
    pub upstream: &'a [u16],
    /// Port of the counter.
    pub counter: u16,
    /// Number of processes.
    pub limiters: u32,
    /// Largest number of units of a request.
    pub most_units: u32,
}

impl Files<'_> {
    /// Writes the description.
    pub fn write_description(&self) -> Result<(), LabError> {
        let operation = |units: u32| {
            let operation = json!({"get": {
                "operationId": format!("units{units}"), "x-quota-class": "read", "x-quota-units": units,
                "responses": {"200": {"description": "Served"}}
            }});
            (path(units), operation)
        };
        let paths: serde_json::Map<String, Value> = (1..=self.most_units).map(operation).collect();
        let class =
            json!({"aim-ms": 1_000, "deadline-ms": 2_000, "worth": 1, "x-quota-effect": "safe"});
        let description = json!({
            "openapi": "3.0.3",
            "info": {"title": "Scale run", "version": "1.0.0"},
            "servers": [{"url": "/"}],
            "x-quota-classes": {"read": class},
            "paths": paths,
        });
        write(&self.folder.join(DESCRIPTION), &description)
    }

    /// Writes the configuration of one process, with so many entries beyond the upstream servers.
    pub fn write_configuration(&self, place: &Place, further: u32) -> Result<(), LabError> {
        let node = |(number, port): (usize, &u16)| json!({"name": format!("server-{number}"), "address": format!("127.0.0.1:{port}")});
        let servers = self
            .upstream
            .iter()
            .cycle()
            .take(self.upstream.len() + further as usize);
        let plans = self.population.plans.iter().enumerate().map(
            |(number, plan)| json!({"name": format!("plan-{number}"), "rate": plan.rate, "burst": plan.burst}),
        );
        let accounts = self
            .population
            .tenants
            .iter()
            .enumerate()
            .map(|(number, tenant)| {
                json!({"name": account(number), "plan": format!("plan-{}", tenant.plan),
                   "spread": tenant.spread, "first": tenant.first})
            });
        let configuration = json!({
            "name": format!("real-{}", place.number),
            "listen": format!("127.0.0.1:{}", place.port),
            "control": format!("127.0.0.1:{}", place.control),
            "description": DESCRIPTION,
            "account_header": ACCOUNT_HEADER,
            "limiters": {"me": place.number, "all": self.limiters},
            "plans": plans.collect::<Vec<_>>(),
            "accounts": accounts.collect::<Vec<_>>(),
            "ticket_nodes": servers.enumerate().map(node).collect::<Vec<_>>(),
            "store": {"kind": "quota-counter", "address": format!("127.0.0.1:{}", self.counter), "timeout_ms": 50},
        });
        write(&place.file, &configuration)
    }
}

/// Name of an account.
pub fn account(tenant: usize) -> String {
    format!("account-{tenant}")
}

/// Path of the operation that takes so many units.
pub fn path(units: u32) -> String {
    format!("/units/{units}")
}

/// Replaces the file at once, so that nobody reads half of it.
fn write(file: &Path, value: &Value) -> Result<(), LabError> {
    let new = file.with_extension("new");
    let written =
        std::fs::write(&new, value.to_string()).and_then(|()| std::fs::rename(&new, file));
    written.map_err(LabError::path(file))
}
