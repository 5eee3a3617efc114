//! The zones of a fleet. Gateways and workers are assigned to them in turn, by their index.

/// Names of a zone and of the region that contains it.
pub type ZoneAndRegion = (&'static str, &'static str);

/// The zones of a fleet in the order of assignment; at least one.
#[derive(Clone, Debug)]
pub struct ZoneLayout(Vec<ZoneAndRegion>);

impl Default for ZoneLayout {
    fn default() -> Self {
        Self(vec![("zone-a", "region-a")])
    }
}

impl ZoneLayout {
    /// Creates a layout of these zones, or the default of a single zone if `zones` is empty.
    pub fn new(zones: &[ZoneAndRegion]) -> Self {
        if zones.is_empty() {
            return Self::default();
        }
        Self(zones.to_vec())
    }

    /// Returns the zone of the gateway with this index, or of a service's worker with this index.
    pub fn zone(&self, index: usize) -> &'static str {
        self.0[index % self.0.len()].0
    }

    /// Returns the region of the gateway with this index, or of a service's worker with this index.
    pub fn region(&self, index: usize) -> &'static str {
        self.0[index % self.0.len()].1
    }

    /// Whether the gateway with this index is outside the region of the first zone.
    pub fn is_outside_first_region(&self, index: usize) -> bool {
        self.0[index % self.0.len()].1 != self.0[0].1
    }

    /// Returns the `[zones]` table of a gateway's settings file, or an empty string for a single zone.
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
