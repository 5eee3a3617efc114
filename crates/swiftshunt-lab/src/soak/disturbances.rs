//! Periods of faults. Promises with a time limit are checked only for components without a fault in that period.

use serde::{Deserialize, Serialize};

/// Time after a fault during which the affected component is excused from time limits, in milliseconds: it
/// reconnects, refreshes outdated state, and leases move to other gateways.
pub const RECOVERY_MS: u64 = 3_000;

/// The component that a fault affects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// A gateway by its index, or a link that only this gateway uses.
    Gateway(usize),
    /// The store, for all gateways.
    Store,
    /// A worker by its incarnation, or the link to it.
    Worker(String),
    /// A gateway by its index, from SIGTERM until its new process is ready.
    PlannedStop(usize),
}

/// The period in which a fault was in force. Times are milliseconds since the start of the round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disturbance {
    /// The affected component.
    pub scope: Scope,
    /// Start of the fault.
    pub from: u64,
    /// End of the fault, without the time to recover from it.
    pub to: u64,
}

/// Queries for the absence of faults in a period. A fault also counts for [`RECOVERY_MS`] after its end.
pub struct DisturbanceLog<'h>(pub &'h [Disturbance]);

impl DisturbanceLog<'_> {
    fn has_none(&self, from: u64, to: u64, matches_scope: impl Fn(&Scope) -> bool) -> bool {
        let mut affected = self.0.iter().filter(|it| matches_scope(&it.scope));
        affected.all(|it| it.to + RECOVERY_MS < from || it.from > to)
    }

    /// Whether neither a gateway, nor its links, nor the store had a fault.
    pub fn is_gateway_undisturbed(&self, gateway: usize, from: u64, to: u64) -> bool {
        self.has_none(from, to, |scope| match scope {
            Scope::Gateway(affected) | Scope::PlannedStop(affected) => *affected == gateway,
            Scope::Store => true,
            Scope::Worker(_) => false,
        })
    }

    /// Whether neither a worker nor the link to it had a fault. Faults of gateways and of the store do not count.
    pub fn is_worker_undisturbed(&self, incarnation: &str, from: u64, to: u64) -> bool {
        self.has_none(
            from,
            to,
            |scope| matches!(scope, Scope::Worker(affected) if affected == incarnation),
        )
    }

    /// Whether neither the gateways, nor their links, nor the store had a fault. Faults of workers do not count.
    pub fn are_gateways_undisturbed(&self, from: u64, to: u64) -> bool {
        self.has_none(from, to, |scope| !matches!(scope, Scope::Worker(_)))
    }

    /// Whether there were no faults other than planned stops.
    pub fn has_only_planned_stops(&self, from: u64, to: u64) -> bool {
        self.has_none(from, to, |scope| !matches!(scope, Scope::PlannedStop(_)))
    }

    /// Whether there were no faults at all.
    pub fn is_undisturbed(&self, from: u64, to: u64) -> bool {
        self.has_none(from, to, |_| true)
    }
}
