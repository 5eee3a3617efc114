//! In which regions batch jobs are run, kept and read: those of the deployment in which all of them may be handled.
//!
//! A partition of the journal holds jobs of all routes and tenants, and whoever reads one reads all of them. So
//! gateways outside of these regions run no partition and read none; they take jobs in for their callers, and pass
//! their calls on.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use swiftshunt_topology::Residency;
use swiftshunt_types::RegionName;

use crate::fleet_state::FleetState;
use crate::members::Members;

/// What is known of these regions.
enum Regions {
    /// All of the deployment's.
    All,
    /// Nothing yet.
    Unknown,
    /// These.
    Within(BTreeSet<RegionName>),
}

/// Where jobs may be handled.
pub(crate) struct JobRegions {
    fleet_state: Arc<FleetState>,
    members: Arc<Members>,
}

impl JobRegions {
    pub(crate) fn new(fleet_state: Arc<FleetState>, members: Arc<Members>) -> Self {
        Self {
            fleet_state,
            members,
        }
    }

    fn regions(&self) -> Regions {
        let topology = self.members.topology();
        if !topology.spans_regions() {
            return Regions::All;
        }
        let Some(configuration) = self.fleet_state.configuration() else {
            return Regions::Unknown;
        };
        let deployment = topology.regions();
        let regions = configuration.regions_of_jobs(&deployment);
        if regions.len() == deployment.len() {
            Regions::All
        } else {
            Regions::Within(regions)
        }
    }

    /// Whether this gateway may run jobs and read their records.
    pub(crate) fn includes_this_gateway(&self) -> bool {
        match self.regions() {
            Regions::All => true,
            Regions::Unknown => false,
            Regions::Within(regions) => {
                let own = self.members.topology().own_region();
                own.is_some_and(|own| regions.contains(own))
            }
        }
    }

    /// Whether this gateway knows that it may neither run jobs nor read their records.
    pub(crate) fn excludes_this_gateway(&self) -> bool {
        matches!(self.regions(), Regions::Within(_)) && !self.includes_this_gateway()
    }

    /// Those gateways that may see jobs; one whose region is not known may not, where that matters.
    pub(crate) fn filter_gateways(&self, gateways: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let regions = match self.regions() {
            Regions::All => return gateways,
            Regions::Unknown => return Vec::new(),
            Regions::Within(regions) => regions,
        };
        let topology = self.members.topology();
        let is_within = |gateway: &SocketAddr| {
            let zone = self.members.zone_of(*gateway);
            let region = zone.as_deref().and_then(|zone| topology.region_of(zone));
            region.is_some_and(|region| regions.contains(region))
        };
        gateways.into_iter().filter(is_within).collect()
    }

    /// Whether a job that may be handled in these regions can be taken: whoever may come to run it must be in one.
    pub(crate) fn may_accept(&self, residency: &Residency) -> bool {
        if residency.is_anywhere() {
            return true;
        }
        match self.regions() {
            Regions::All => residency.allows_all(&self.members.topology().regions()),
            Regions::Unknown => false,
            Regions::Within(regions) => residency.allows_all(&regions),
        }
    }

    /// Whether what may be handled in these regions may be sent to workers from here.
    pub(crate) fn may_send_from_here(&self, residency: &Residency) -> bool {
        residency.allows(self.members.topology().own_region())
    }
}
