//! Reads the plans and accounts of a limiter with an OpenAPI front.

use super::reader::{positive, Section};
use super::ConfigError;
use crate::decision::Plan;
use std::collections::HashMap;

/// The configuration of an account.
#[derive(Clone, Copy, Debug)]
pub struct AccountConfig {
    /// Index of the account's plan.
    pub plan: usize,
    /// Number of limiters that receive requests of the account.
    pub limiter_count: u32,
    /// Number of the first of these limiters.
    pub first_limiter: u32,
}

/// A plan and the name by which accounts refer to it.
pub(super) struct NamedPlan<'a> {
    pub(super) name: &'a str,
    pub(super) plan: Plan,
}

/// Reads an entry of the key `plans`.
pub(super) fn read_plan(entry: Section<'_>) -> Result<NamedPlan<'_>, ConfigError> {
    let plan = Plan {
        rate: entry.required("rate", "units per second, above 0", positive)?,
        burst: entry.required("burst", "units, above 0", positive)?,
        max_concurrent: entry.integer_or("open", 0)? as u32,
        weight_factor: entry.number_or("price", 1.0)?,
        over_quota_cost: 1.0,
        ..Plan::default()
    };
    let name = entry.text("name")?;
    Ok(NamedPlan { name, plan })
}

/// Reads the key `accounts`. By default, requests of an account may arrive at all `limiters`.
pub(super) fn read_accounts(
    root: &Section<'_>,
    plans: &[NamedPlan<'_>],
    limiters: u32,
) -> Result<HashMap<String, AccountConfig>, ConfigError> {
    let read_account = |entry: Section<'_>| {
        let plan_name = entry.text("plan")?;
        let plan = plans
            .iter()
            .position(|plan| plan.name == plan_name)
            .ok_or_else(|| entry.wrong_value("plan", "the name of one of the plans"))?;
        let account = AccountConfig {
            plan,
            limiter_count: entry.integer_or("spread", u64::from(limiters))? as u32,
            first_limiter: entry.integer_or("first", 0)? as u32,
        };
        Ok((entry.text("name")?.to_owned(), account))
    };
    let accounts = root.entries("accounts", read_account)?;
    Ok(accounts.into_iter().collect())
}
