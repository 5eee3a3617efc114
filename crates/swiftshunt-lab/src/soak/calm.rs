//! When a gateway, the store or a worker was left alone: promises with a time hold only then.

use serde::{Deserialize, Serialize};

/// Time after a fault for which what it struck is not held to a time: connections are made anew,
/// beliefs catch up, leases move.
pub const RECOVERY_MS: u64 = 3_000;

/// What a fault strikes.
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
    /// What it struck.
    pub scope: Scope,
    /// From when.
    pub from: u64,
    /// Until when.
    pub to: u64,
}

/// Answers whether something was left alone.
pub struct Calm<'h>(pub &'h [Disturbance]);

impl Calm<'_> {
    fn is_free(&self, from: u64, to: u64, strikes: impl Fn(&Scope) -> bool) -> bool {
        let mut struck = self.0.iter().filter(|it| strikes(&it.scope));
        struck.all(|it| it.to + RECOVERY_MS < from || it.from > to)
    }

    /// A gateway and its way to the store were left alone.
    pub fn gateway(&self, gateway: usize, from: u64, to: u64) -> bool {
        self.is_free(from, to, |scope| match scope {
            Scope::Gateway(struck) | Scope::PlannedStop(struck) => *struck == gateway,
            Scope::Store => true,
            Scope::Worker(_) => false,
        })
    }

    /// A worker and the way to it were left alone.
    pub fn worker(&self, incarnation: &str, from: u64, to: u64) -> bool {
        self.is_free(
            from,
            to,
            |scope| matches!(scope, Scope::Worker(struck) if struck == incarnation),
        )
    }

    /// All gateways and the store were left alone.
    pub fn all_gateways(&self, from: u64, to: u64) -> bool {
        self.is_free(from, to, |scope| !matches!(scope, Scope::Worker(_)))
    }

    /// Nothing was struck but by planned stops.
    pub fn all_but_planned(&self, from: u64, to: u64) -> bool {
        self.is_free(from, to, |scope| !matches!(scope, Scope::PlannedStop(_)))
    }

    /// Nothing at all was struck.
    pub fn everything(&self, from: u64, to: u64) -> bool {
        self.is_free(from, to, |_| true)
    }
}
