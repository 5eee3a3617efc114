//! Promises about configurations and gateway processes.

use std::collections::HashMap;

use super::Verdict;
use crate::soak::disturbances::DisturbanceLog;
use crate::soak::history::{History, OnlineCall, OnlineKind, Outcome};

/// Time within which a configuration must be in force at every gateway, in milliseconds.
const CONFIGURATION_EFFECTIVE_WITHIN_MS: u64 = 2_000;
/// Tolerance for requests in flight, in milliseconds.
const IN_FLIGHT_MS: u64 = 300;
/// Time after a successful response on the marker route of a version from which the same gateway process must not use
/// an older version, in milliseconds.
const REVERT_GRACE_MS: u64 = 250;

fn marker_calls(history: &History) -> impl Iterator<Item = (u64, &OnlineCall)> {
    history.online.iter().filter_map(|call| match call.kind {
        OnlineKind::Marker { version } => Some((version, call)),
        _ => None,
    })
}

fn is_unknown(call: &OnlineCall) -> bool {
    call.outcome.status() == Some(404)
}

/// Checks that a configuration is in force at every gateway in time, and that no process reverts to an older one.
pub(super) fn configuration(history: &History, verdict: &mut Verdict) {
    check_in_force(history, verdict);
    check_no_revert(history, verdict);
}

fn check_in_force(history: &History, verdict: &mut Verdict) {
    let disturbances = DisturbanceLog(&history.disturbances);
    let acknowledged: HashMap<u64, u64> = history
        .configurations
        .iter()
        .map(|it| (it.version, it.at))
        .collect();
    for (version, call) in marker_calls(history) {
        let Some(at) = acknowledged.get(&version) else {
            continue;
        };
        let due = at + CONFIGURATION_EFFECTIVE_WITHIN_MS + IN_FLIGHT_MS;
        if call.sent < due || !disturbances.is_gateway_undisturbed(call.gateway, *at, call.ended) {
            continue;
        }
        let seen = is_unknown(call).then(|| {
            let after = call.sent - at;
            format!(
                "gateway {} does not know version {version} {after} ms after its acknowledgement",
                call.gateway
            )
        });
        verdict.check(call.ended, &call.id, seen);
    }
}

fn check_no_revert(history: &History, verdict: &mut Verdict) {
    // For each process the times and versions of successful responses on marker routes.
    let mut versions_by_process: HashMap<(usize, usize), Vec<(u64, u64)>> = HashMap::new();
    for (version, call) in marker_calls(history) {
        if matches!(call.outcome, Outcome::Answered { status: 200, .. }) {
            let versions = versions_by_process
                .entry((call.gateway, call.generation))
                .or_default();
            versions.push((call.ended, version));
        }
    }
    for (version, call) in marker_calls(history) {
        let versions = versions_by_process.get(&(call.gateway, call.generation));
        let before = versions
            .into_iter()
            .flatten()
            .find(|(ended, by)| *by >= version && ended + REVERT_GRACE_MS < call.sent);
        if let Some((_, by)) = before {
            let seen = is_unknown(call).then(|| {
                format!(
                    "gateway {} knew version {by}, but does not know {version} later",
                    call.gateway
                )
            });
            verdict.check(call.ended, &call.id, seen);
        }
    }
}

/// Checks that no gateway process exited without a signal to do so.
pub(super) fn stays_up(history: &History, verdict: &mut Verdict) {
    verdict.checked += 1;
    for gateway in &history.unexpected_exits {
        let seen = Some("the process exited unexpectedly".to_owned());
        verdict.check(0, &format!("gateway-{gateway}"), seen);
    }
}
