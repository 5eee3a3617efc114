//! The zones of a fleet, in which its gateways and workers stand by turns.

/// A zone and its region.
pub type ZoneAndRegion = (&'static str, &'static str);

/// The zones of a fleet.
#[derive(Clone, Debug)]
pub struct ZoneLayout(Vec<ZoneAndRegion>);

impl Default for ZoneLayout {
    fn default() -> Self {
        Self(vec![("zone-a", "region-a")])
    }
}

impl ZoneLayout {
    /// These zones; the first one alone where there is one.
    pub fn new(zones: &[ZoneAndRegion]) -> Self {
        if zones.is_empty() {
            return Self::default();
        }
        Self(zones.to_vec())
    }

    /// The zone of the gateway, or of the worker of a service, with this number.
    pub fn zone(&self, index: usize) -> &'static str {
        self.0[index % self.0.len()].0
    }

    /// The region of the gateway, or of the worker of a service, with this number.
    pub fn region(&self, index: usize) -> &'static str {
        self.0[index % self.0.len()].1
    }

    /// Whether the gateway with this number stands outside the first region.
    pub fn is_outside_first_region(&self, index: usize) -> bool {
        self.0[index % self.0.len()].1 != self.0[0].1
    }

    /// Zones and regions as lines of a gateway's settings; none where there is one zone.
    pub(crate) fn settings_toml(&self) -> String {
        if self.0.len() < 2 {
            return String::new();
        }
        let mut text = String::from("[zones]\n");
        for (zone, region) in &self.0 {
            text += &format!("\"{zone}\" = \"{region}\"\n");
        }
        text
    }
}
