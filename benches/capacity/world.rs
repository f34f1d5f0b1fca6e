//! Settings, endpoint lists and configuration files of a simulated fleet.

use mossrill::decision::{
    Endpoint, Idempotency, Limits, Micros, Plan, Readiness, RequestClass, Safety, Settings,
};
use serde_json::{json, Value};

/// Microseconds of a second.
pub const SECOND: Micros = 1_000_000;
/// Time at which every simulation starts.
pub const START: Micros = 1_764_633_600 * SECOND;
/// Number of zones at the target size, over all regions.
pub const ZONES: u64 = 13;
/// Number of services at the target size.
pub const SERVICES: u64 = 860;
/// Number of servers in a cell.
const SERVERS_PER_CELL: u64 = 24;
/// Latency objective of the request class.
const LATENCY_OBJECTIVE: Micros = 500_000;
/// Time after which a client gives up.
const DEADLINE: Micros = 2_000_000;

/// Returns the settings of a limiter.
pub fn settings(limiter: u32, limiters: u32, plans: Vec<Plan>) -> Settings {
    let class = RequestClass {
        latency_objective: LATENCY_OBJECTIVE,
        deadline: DEADLINE,
        idempotency: Idempotency::Idempotent,
        idempotency_window: 0,
        priority_weight: 1.0,
        late_weight: 0.0,
    };
    Settings {
        limiter,
        limiters,
        zone: zone(0),
        tick: 1_000,
        classes: vec![class],
        plans,
        limits: Limits {
            max_attempts: 3,
            cancel: true,
            hedging: true,
            ..Limits::default()
        },
        safety: Safety {
            drain_grace: 500_000,
            initial_capacity: 0.2,
            slow_start: 10 * SECOND,
            overload_multiple: 3.0,
            overload_window: 2 * SECOND,
        },
        counter: true,
        counter_timeout: 50_000,
        server_weights: true,
        ..Settings::default()
    }
}

/// Returns the zone of a server.
fn zone(number: u64) -> String {
    format!("zone-{:02}", number % ZONES)
}

fn server_name(number: u64) -> String {
    let mixed = number.wrapping_mul(0x9e37_79b9) & 0xffff_ffff;
    format!("s-{mixed:08x}")
}

/// Returns an entry of the endpoint list, as the decision module receives it.
pub fn endpoint(number: u64, readiness: Readiness) -> Endpoint {
    Endpoint {
        id: server_name(number).as_str().into(),
        zone: zone(number),
        cell: number / SERVERS_PER_CELL,
        readiness,
        weight: 1.0,
        started_at: 0,
    }
}

/// Returns the full endpoint list, as the decision module receives it.
pub fn endpoints(servers: u64) -> Vec<Endpoint> {
    (0..servers)
        .map(|number| endpoint(number, Readiness::Ready))
        .collect()
}

/// Returns an entry of the endpoint list, as service discovery sends it.
fn endpoint_json(number: u64, lifecycle: &str) -> Value {
    json!({
        "instanceId": server_name(number),
        "hostPort": format!("10.{}.{}.{}:6379", number >> 16, (number >> 8) & 0xff, number & 0xff),
        "zone": zone(number),
        "machineType": "m2",
        "cell": number / SERVERS_PER_CELL,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": START / 1_000 + number,
    })
}

/// Returns the JSON that service discovery sends: a full list, or a change in which this number of
/// servers is terminating.
pub fn endpoint_update_text(servers: u64, is_full: bool) -> String {
    let lifecycle = if is_full { "in_service" } else { "terminating" };
    let entries: Vec<Value> = (0..servers)
        .map(|number| endpoint_json(number, lifecycle))
        .collect();
    json!({"generation": 41, "reset": is_full, "instances": entries}).to_string()
}

/// Returns the path of a route.
pub fn route_path(number: u64) -> String {
    format!(
        "/service-{:03}/collection-{number}/{{item}}",
        number % SERVICES
    )
}

/// Returns an OpenAPI description with this number of routes, each with one operation.
pub fn description_text(routes: u64) -> String {
    let mut paths = serde_json::Map::new();
    for number in 0..routes {
        let operation = json!({
            "operationId": format!("getItem{number}"),
            "summary": "One item of a collection",
            "x-quota-class": "read",
            "x-quota-units": 1,
            "responses": {
                "200": {"description": "The item"},
                "503": {"description": "Not looked at", "x-quota-never-ran": true},
            },
        });
        paths.insert(route_path(number), json!({ "get": operation }));
    }
    json!({
        "openapi": "3.0.3",
        "info": {"title": "Made-up services", "version": "1.0.0"},
        "x-quota-classes": {
            "read": {"aim-ms": 500, "deadline-ms": 2000, "worth": 1, "x-quota-effect": "safe"},
        },
        "paths": paths,
    })
    .to_string()
}

/// Returns a configuration file of the OpenAPI front with this number of accounts.
pub fn configuration_text(accounts: u64, limiters: u64) -> String {
    let account = |number: u64| json!({"name": format!("tenant-{number:06}"), "plan": "basic", "spread": limiters, "first": 0});
    let server =
        |number: u64| json!({"name": server_name(number), "address": "127.0.0.1:9001", "cell": 0});
    json!({
        "name": "capacity",
        "listen": "127.0.0.1:8080",
        "description": "routes.json",
        "limiters": {"me": 0, "all": limiters},
        "plans": [{"name": "basic", "rate": 4, "burst": 8}],
        "accounts": (0..accounts).map(account).collect::<Vec<_>>(),
        "ticket_nodes": [server(0)],
        "store": {"kind": "none"},
    })
    .to_string()
}
