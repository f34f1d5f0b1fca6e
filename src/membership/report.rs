//! Reports on the fleet for operators: the reply to `show-fleet` and the `fleet.` metrics.
//!
//! Their keys and names are an interface for operators and must not change, even where the code has
//! other names for the same values.

use super::member_state::MemberState;
use super::rejection::Rejection;
use super::version;
use super::view::{MemberStatus, View};
use crate::decision::Micros;
use std::fmt::Write;

/// Maximum remaining time of a lease in µs that is shown, even if the lease ends later.
const MAX_SHOWN_LEASE: Micros = 1_000_000_000;
/// Shown in place of an unknown value.
const UNKNOWN_VALUE: &str = "-";

/// Returns a line for each member and one for the view.
pub(super) fn show_fleet(view: &View, now: Micros) -> String {
    let members = view.member_statuses();
    let mut text = String::new();
    for member in &members {
        write_member(&mut text, member, now);
    }
    write_view(&mut text, view, &members, now);
    text
}

/// Formats the time since `at` in ms.
fn milliseconds_since(at: Option<Micros>, now: Micros) -> String {
    at.map_or(UNKNOWN_VALUE.into(), |at| {
        (now.saturating_sub(at) / 1_000).to_string()
    })
}

fn write_member(text: &mut String, member: &MemberStatus, now: Micros) {
    let address = member
        .address
        .map_or(UNKNOWN_VALUE.into(), |address| address.to_string());
    // Writing to a string can't fail.
    _ = writeln!(
        text,
        "limiter={} state={} since_ms={} incarnation={} version={} address={address} by={} heard_ms={}",
        member.limiter,
        member.state.name(),
        milliseconds_since(Some(member.since), now),
        member.incarnation,
        version::format(member.version),
        member.reported_by,
        milliseconds_since(member.last_received, now),
    );
}

fn write_view(text: &mut String, view: &View, members: &[MemberStatus], now: Micros) {
    let shares = view.quota_shares(now);
    let last_received = members
        .iter()
        .filter_map(|member| member.last_received)
        .max();
    let reassigned: Vec<_> = (0..members.len())
        .filter(|limiter| shares.reassigned[*limiter])
        .collect();
    let limiters = members.len() as u32;
    // As a multiple of an even share.
    let share = shares.share(now, 0..limiters).unwrap_or(0.0) * f64::from(limiters);
    let lease_end = shares.lease_ends.min(now + MAX_SHOWN_LEASE);
    _ = writeln!(
        text,
        "fleet={} me={} living={} of={limiters} age_ms={} lease_ms={} part={share:.3} shared_out={reassigned:?} doubt={:.2}",
        view.settings().fleet,
        view.settings().limiter,
        shares.alive,
        milliseconds_since(last_received, now),
        lease_end.saturating_sub(now) / 1_000,
        view.local_health(),
    );
}

/// Returns the name and value of each metric.
pub(super) fn metrics(view: &View) -> Vec<(String, u64)> {
    let mut metrics = state_metrics(view);
    let counters = view.counters();
    let totals = [
        ("fleet.datagrams_sent", counters.sent),
        ("fleet.datagrams_held_back", counters.send_limited),
        ("fleet.datagrams_taken", counters.accepted),
        ("fleet.found_dead", counters.declared_dead),
        ("fleet.refuted", counters.refuted),
    ];
    metrics.extend(totals.map(|(name, value)| (name.to_owned(), value)));
    for rejection in Rejection::ALL {
        let name = format!("fleet.dropped.{rejection}");
        metrics.push((name, counters.rejected[rejection as usize]));
    }
    metrics
}

/// Returns the number of members in each state.
fn state_metrics(view: &View) -> Vec<(String, u64)> {
    let members = view.member_statuses();
    let states = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
        MemberState::Unknown,
    ];
    let metric = |state: MemberState| {
        let count = members
            .iter()
            .filter(|member| member.state == state)
            .count();
        (format!("fleet.{}", state.name()), count as u64)
    };
    states.into_iter().map(metric).collect()
}
