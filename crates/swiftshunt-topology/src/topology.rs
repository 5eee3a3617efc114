//! Zones, regions, and this process's own place among them.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use swiftshunt_types::RegionName;

/// How far a place is from this process's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region, or in a zone that is not known.
    OtherRegion,
}

/// Why zones make no topology.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum TopologyError {
    /// Zones are listed, and the own one is not among them.
    #[display("zones: `{zone}`, the own zone, is not listed")]
    OwnZone {
        /// The own zone.
        zone: String,
    },
    /// A region without a name.
    #[display("zones.{zone}: the region has no name")]
    Region {
        /// Its zone.
        zone: String,
    },
}

/// The zones of a deployment, by region, and where this process stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    own_zone: String,
    own_region: Option<RegionName>,
    regions: BTreeMap<String, RegionName>,
    spans_regions: bool,
}

impl Topology {
    /// A deployment that knows of no regions: all zones count as one.
    pub fn one_region(own_zone: &str) -> Self {
        Self {
            own_zone: own_zone.to_owned(),
            own_region: None,
            regions: BTreeMap::new(),
            spans_regions: false,
        }
    }

    /// The zones and their regions; one region where no zones are listed.
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

    /// The zone that this process stands in.
    pub fn own_zone(&self) -> &str {
        &self.own_zone
    }

    /// The region that this process stands in, if regions are known.
    pub fn own_region(&self) -> Option<&RegionName> {
        self.own_region.as_ref()
    }

    /// The region of a zone, if it is known.
    pub fn region_of(&self, zone: &str) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// The zones that are listed.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.regions.keys().map(String::as_str)
    }

    /// Whether there is more than one region.
    pub fn spans_regions(&self) -> bool {
        self.spans_regions
    }

    /// All regions, each once, in their order.
    pub fn regions(&self) -> Vec<RegionName> {
        let mut regions: Vec<RegionName> = self.regions.values().cloned().collect();
        regions.sort();
        regions.dedup();
        regions
    }

    /// The region of a zone where that makes a difference: none where all zones are in one region.
    pub fn dividing_region_of(&self, zone: &str) -> Option<&RegionName> {
        self.region_of(zone).filter(|_| self.spans_regions)
    }

    /// How far a zone is from the own one.
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
