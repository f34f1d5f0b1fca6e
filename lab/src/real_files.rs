//! Files of the real processes: a common OpenAPI description, and a configuration for each process.

use crate::error::LabError;
use crate::population::Population;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};

/// File name of the description, in the folder of the configurations.
const DESCRIPTION: &str = "description.json";
/// Request header that names the account.
pub const ACCOUNT_HEADER: &str = "X-Agent-Account";

/// Ports and configuration file of a real process.
#[derive(Clone, Debug)]
pub struct ProcessSetup {
    /// Number of the process.
    pub number: u32,
    /// Port for clients.
    pub port: u16,
    /// Port of the admin interface.
    pub control: u16,
    /// Path of the configuration.
    pub file: PathBuf,
}

/// Common content of all configurations of a run.
pub struct Files<'a> {
    /// Folder of the files.
    pub folder: &'a Path,
    /// Accounts and plans.
    pub population: &'a Population,
    /// Ports of the upstream servers.
    pub upstream: &'a [u16],
    /// Port of the counter.
    pub counter: u16,
    /// Number of processes.
    pub limiters: u32,
    /// Maximum number of units of a request.
    pub max_units: u32,
}

impl Files<'_> {
    /// Writes the OpenAPI description, with an operation for each number of units.
    pub fn write_description(&self) -> Result<(), LabError> {
        let operation = |units: u32| {
            let operation = json!({"get": {
                "operationId": format!("units{units}"), "x-quota-class": "read", "x-quota-units": units,
                "responses": {"200": {"description": "Served"}}
            }});
            (path(units), operation)
        };
        let paths: serde_json::Map<String, Value> = (1..=self.max_units).map(operation).collect();
        let class =
            json!({"aim-ms": 1_000, "deadline-ms": 2_000, "worth": 1, "x-quota-effect": "safe"});
        let description = json!({
            "openapi": "3.0.3",
            "info": {"title": "Scale run", "version": "1.0.0"},
            "servers": [{"url": "/"}],
            "x-quota-classes": {"read": class},
            "paths": paths,
        });
        write_atomically(&self.folder.join(DESCRIPTION), &description)
    }

    /// Writes the configuration of one process. Its server list repeats upstream servers for
    /// `extra_entries` additional entries.
    pub fn write_configuration(
        &self,
        setup: &ProcessSetup,
        extra_entries: u32,
    ) -> Result<(), LabError> {
        let server_entry = |(number, port): (usize, &u16)| json!({"name": format!("server-{number}"), "address": format!("127.0.0.1:{port}")});
        let servers = self
            .upstream
            .iter()
            .cycle()
            .take(self.upstream.len() + extra_entries as usize);
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
            "name": format!("real-{}", setup.number),
            "listen": format!("127.0.0.1:{}", setup.port),
            "control": format!("127.0.0.1:{}", setup.control),
            "description": DESCRIPTION,
            "account_header": ACCOUNT_HEADER,
            "limiters": {"me": setup.number, "all": self.limiters},
            "plans": plans.collect::<Vec<_>>(),
            "accounts": accounts.collect::<Vec<_>>(),
            "ticket_nodes": servers.enumerate().map(server_entry).collect::<Vec<_>>(),
            "store": {"kind": "quota-counter", "address": format!("127.0.0.1:{}", self.counter), "timeout_ms": 50},
        });
        write_atomically(&setup.file, &configuration)
    }
}

/// Returns the name of the account of a tenant.
pub fn account(tenant: usize) -> String {
    format!("account-{tenant}")
}

/// Returns the path of the operation that takes `units` units.
pub fn path(units: u32) -> String {
    format!("/units/{units}")
}

/// Replaces the file atomically, so that a process never reads a partial file.
fn write_atomically(file: &Path, value: &Value) -> Result<(), LabError> {
    let temporary = file.with_extension("new");
    let written = std::fs::write(&temporary, value.to_string())
        .and_then(|()| std::fs::rename(&temporary, file));
    written.map_err(LabError::path(file))
}
