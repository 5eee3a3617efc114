//! When a gateway, the store or a worker was left alone: promises with a time hold only then.

use serde::{Deserialize, Serialize};

/// Time after a fault for which what it affected is not held to a time: connections are made anew,
/// beliefs catch up, leases move.
pub const RECOVERY_MS: u64 = 3_000;

/// What a fault matches_scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// A gateway, or what it alone reaches.
    Gateway(usize),
    /// The store, for all.
    Store,
    /// A worker.
    Worker(String),
    /// A gateway that is being stopped as planned.
    PlannedStop(usize),
}

/// A fault, as it was applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disturbance {
    /// What it affected.
    pub scope: Scope,
    /// From when.
    pub from: u64,
    /// Until when.
    pub to: u64,
}

/// Answers whether something was left alone.
pub struct DisturbanceLog<'h>(pub &'h [Disturbance]);

impl DisturbanceLog<'_> {
    fn has_none(&self, from: u64, to: u64, matches_scope: impl Fn(&Scope) -> bool) -> bool {
        let mut affected = self.0.iter().filter(|it| matches_scope(&it.scope));
        affected.all(|it| it.to + RECOVERY_MS < from || it.from > to)
    }

    /// A gateway and its way to the store were left alone.
    pub fn is_gateway_undisturbed(&self, gateway: usize, from: u64, to: u64) -> bool {
        self.has_none(from, to, |scope| match scope {
            Scope::Gateway(affected) | Scope::PlannedStop(affected) => *affected == gateway,
            Scope::Store => true,
            Scope::Worker(_) => false,
        })
    }

    /// A worker and the way to it were left alone.
    pub fn is_worker_undisturbed(&self, incarnation: &str, from: u64, to: u64) -> bool {
        self.has_none(
            from,
            to,
            |scope| matches!(scope, Scope::Worker(affected) if affected == incarnation),
        )
    }

    /// All gateways and the store were left alone.
    pub fn are_gateways_undisturbed(&self, from: u64, to: u64) -> bool {
        self.has_none(from, to, |scope| !matches!(scope, Scope::Worker(_)))
    }

    /// Nothing was affected but by planned stops.
    pub fn has_only_planned_stops(&self, from: u64, to: u64) -> bool {
        self.has_none(from, to, |scope| !matches!(scope, Scope::PlannedStop(_)))
    }

    /// Nothing at all was affected.
    pub fn is_undisturbed(&self, from: u64, to: u64) -> bool {
        self.has_none(from, to, |_| true)
    }
}
