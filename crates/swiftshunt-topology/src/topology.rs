//! Zones, their regions, and the zone and region of this process.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use swiftshunt_types::RegionName;

/// Distance of a zone from the zone of this process, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same zone.
    SameZone,
    /// Another zone of the same region, or any other zone if there is only one region.
    SameRegion,
    /// A zone of another region, or an unknown zone where there is more than one region.
    OtherRegion,
}

/// Why a list of zones was rejected.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum TopologyError {
    /// The list of zones is not empty and lacks the zone of this process.
    #[display("zones: `{zone}`, the own zone, is not listed")]
    OwnZone {
        /// The zone of this process.
        zone: String,
    },
    /// The region of a zone has an empty name.
    #[display("zones.{zone}: the region has no name")]
    Region {
        /// The zone whose region has no name.
        zone: String,
    },
}

/// The zones of a deployment with their regions, and the zone of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    own_zone: String,
    own_region: Option<RegionName>,
    regions: BTreeMap<String, RegionName>,
    spans_regions: bool,
}

impl Topology {
    /// Creates a topology without named regions, in which all zones count as one region.
    pub fn one_region(own_zone: &str) -> Self {
        Self {
            own_zone: own_zone.to_owned(),
            own_region: None,
            regions: BTreeMap::new(),
            spans_regions: false,
        }
    }

    /// Creates a topology from the region of each zone. If `regions` is empty, the result is that of
    /// [`Self::one_region`].
    pub fn new(
        own_zone: &str,
        regions: BTreeMap<String, RegionName>,
    ) -> Result<Self, TopologyError> {
        if regions.is_empty() {
            return Ok(Self::one_region(own_zone));
        }
        if let Some((zone, _)) = regions.iter().find(|(_, region)| region.0.is_empty()) {
            return Err(TopologyError::Region { zone: zone.clone() });
        }
        let own_region = regions.get(own_zone).cloned();
        let Some(own_region) = own_region else {
            let zone = own_zone.to_owned();
            return Err(TopologyError::OwnZone { zone });
        };
        Ok(Self {
            own_zone: own_zone.to_owned(),
            spans_regions: regions.values().any(|region| *region != own_region),
            own_region: Some(own_region),
            regions,
        })
    }

    /// The zone of this process.
    pub fn own_zone(&self) -> &str {
        &self.own_zone
    }

    /// The region of this process; `None` if no zones are listed.
    pub fn own_region(&self) -> Option<&RegionName> {
        self.own_region.as_ref()
    }

    /// The region of `zone`; `None` if `zone` is not listed.
    pub fn region_of(&self, zone: &str) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// The listed zones, in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.regions.keys().map(String::as_str)
    }

    /// Whether the listed zones are in more than one region.
    pub fn spans_regions(&self) -> bool {
        self.spans_regions
    }

    /// All regions without duplicates, sorted by name.
    pub fn regions(&self) -> Vec<RegionName> {
        let mut regions: Vec<RegionName> = self.regions.values().cloned().collect();
        regions.sort();
        regions.dedup();
        regions
    }

    /// The region of `zone` if there is more than one region; `None` otherwise.
    pub fn dividing_region_of(&self, zone: &str) -> Option<&RegionName> {
        self.region_of(zone).filter(|_| self.spans_regions)
    }

    /// Returns the distance of `zone` from the zone of this process.
    pub fn distance_to(&self, zone: &str) -> Distance {
        if zone == self.own_zone {
            return Distance::SameZone;
        }
        if !self.spans_regions || self.region_of(zone) == self.own_region() {
            return Distance::SameRegion;
        }
        Distance::OtherRegion
    }
}
