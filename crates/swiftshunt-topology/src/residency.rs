//! The regions in which a request may be served, cached and stored.

use std::collections::BTreeSet;
use std::sync::Arc;

use swiftshunt_types::RegionName;

/// The regions in which a request, its body and everything stored about it may be handled. Without a restriction,
/// every region is allowed. Clones share the list of regions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Residency {
    allowed: Option<Arc<BTreeSet<RegionName>>>,
}

impl Residency {
    /// Returns a residency without a restriction.
    pub const fn anywhere() -> Self {
        Self { allowed: None }
    }

    /// Allows only `regions`, or every region if `regions` is empty.
    pub fn within(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        let allowed = (!regions.is_empty()).then(|| Arc::new(regions));
        Self { allowed }
    }

    /// Returns the regions that both allow. Two lists without a common region allow no region at all.
    pub fn intersect(&self, other: &Self) -> Self {
        let allowed = match (&self.allowed, &other.allowed) {
            (None, allowed) | (allowed, None) => allowed.clone(),
            (Some(one), Some(two)) => Some(Arc::new(one.intersection(two).cloned().collect())),
        };
        Self { allowed }
    }

    /// Whether there is no restriction.
    pub fn is_anywhere(&self) -> bool {
        self.allowed.is_none()
    }

    /// Whether every one of `regions` is allowed.
    pub fn allows_all<'r>(&self, regions: impl IntoIterator<Item = &'r RegionName>) -> bool {
        regions.into_iter().all(|region| self.allows(Some(region)))
    }

    /// Whether `region` is allowed. An unknown region (`None`) is allowed only if there is no restriction.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match &self.allowed {
            None => true,
            Some(allowed) => region.is_some_and(|region| allowed.contains(region)),
        }
    }
}
