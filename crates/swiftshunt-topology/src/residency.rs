//! In which regions something may be served, cached and stored.

use std::collections::BTreeSet;
use std::sync::Arc;

use swiftshunt_types::RegionName;

/// The regions in which a request, its body and all that is kept of it may be handled: any, where nothing binds
/// it. A clone shares the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Residency {
    allowed: Option<Arc<BTreeSet<RegionName>>>,
}

impl Residency {
    /// Any region.
    pub const fn anywhere() -> Self {
        Self { allowed: None }
    }

    /// These regions alone; any where none is named.
    pub fn within(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        let allowed = (!regions.is_empty()).then(|| Arc::new(regions));
        Self { allowed }
    }

    /// What both allow: of two lists each binds, also where they share no region.
    pub fn intersect(&self, other: &Self) -> Self {
        let allowed = match (&self.allowed, &other.allowed) {
            (None, allowed) | (allowed, None) => allowed.clone(),
            (Some(one), Some(two)) => Some(Arc::new(one.intersection(two).cloned().collect())),
        };
        Self { allowed }
    }

    /// Whether nothing binds.
    pub fn is_anywhere(&self) -> bool {
        self.allowed.is_none()
    }

    /// Whether all of these regions are allowed.
    pub fn allows_all<'r>(&self, regions: impl IntoIterator<Item = &'r RegionName>) -> bool {
        regions.into_iter().all(|region| self.allows(Some(region)))
    }

    /// Whether a region is allowed. One that is not known is allowed only where nothing binds.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match &self.allowed {
            None => true,
            Some(allowed) => region.is_some_and(|region| allowed.contains(region)),
        }
    }
}
