//! The regions in which batch jobs are run, stored and read: those in which every batch job of the deployment may be
//! handled.
//!
//! A partition of the journal holds jobs of all routes and tenants, and a gateway that reads the partition reads all
//! of them. So gateways outside of these regions neither run nor read partitions. They accept jobs from their callers
//! and forward calls about jobs.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use swiftshunt_topology::Residency;
use swiftshunt_types::RegionName;

use crate::fleet_state::FleetState;
use crate::members::Members;

/// The regions of batch jobs, as far as they are known.
enum Regions {
    /// All regions of the deployment.
    All,
    /// No configuration is known yet.
    Unknown,
    /// These regions only.
    Within(BTreeSet<RegionName>),
}

/// Decides in which regions, and by which gateways, batch jobs may be handled.
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

    /// Returns those of the gateways that may handle jobs. A gateway whose region is not known is left out, unless
    /// jobs may be handled in all regions.
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

    /// Whether a job with this residency can be accepted: the residency must allow every region whose gateways may run
    /// jobs.
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

    /// Whether this gateway may send requests with this residency to workers.
    pub(crate) fn may_send_from_here(&self, residency: &Residency) -> bool {
        residency.allows(self.members.topology().own_region())
    }
}
