//! Which gateway reads a partition for the others of its region, if gateways are deployed in several regions.
//!
//! If each gateway read a partition, its records would cross the link between two regions once per gateway, and over
//! a link of low bandwidth none of the reads would complete.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_scheduler::readers::{RegionReader, rank_region_readers};

use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::members::Members;

/// Gateways tried for one call. A gateway whose process has ended refuses connections at once and is then skipped for
/// [`SUSPICION_DURATION`].
const MAX_READERS: usize = 3;
/// How long a gateway that did not answer is skipped.
const SUSPICION_DURATION: Duration = Duration::from_secs(3);

/// The readers of partitions in this gateway's region.
pub(super) struct RegionReaders {
    members: Arc<Members>,
    clock: Clock,
    suspected_until: Mutex<HashMap<SocketAddr, Duration>>,
}

impl RegionReaders {
    pub(super) fn new(members: Arc<Members>, clock: Clock) -> Self {
        Self {
            members,
            clock,
            suspected_until: Mutex::default(),
        }
    }

    /// Whether gateways read for each other. In a deployment with one region, each gateway reads what it needs.
    pub(super) fn is_sharing_reads(&self) -> bool {
        self.members.topology().spans_regions()
    }

    /// Whether the readers are known: reads are not shared, or the list of gateways is loaded.
    pub(super) fn are_readers_known(&self) -> bool {
        !self.is_sharing_reads() || self.members.is_list_loaded()
    }

    /// Returns the readers of a partition for this gateway, in the order in which to try them; empty until the list
    /// of gateways is loaded.
    pub(super) fn readers_of(&self, partition: u32) -> Vec<RegionReader> {
        if !self.is_sharing_reads() {
            return vec![RegionReader::Own];
        }
        if !self.members.is_list_loaded() {
            return Vec::new();
        }
        let now = self.clock.now();
        let suspected_until = lock(&self.suspected_until);
        let is_suspected = |gateway| {
            let until = suspected_until.get(&gateway);
            until.is_some_and(|until| now < *until)
        };
        let region = self.members.gateways_in_own_region();
        let own = self.members.own_address();
        rank_region_readers(&partition, own, region, is_suspected, MAX_READERS)
    }

    /// Marks a reader as suspected after it did not answer, so that it is skipped for [`SUSPICION_DURATION`].
    pub(super) fn mark_suspected(&self, partition: u32, reader: SocketAddr) {
        log::info!(partition, reader = reader.to_string().as_str();
            "the gateway that reads a partition for its region does not answer; skipping it");
        let now = self.clock.now();
        let mut suspected_until = lock(&self.suspected_until);
        suspected_until.retain(|_, until| now < *until);
        suspected_until.insert(reader, now + SUSPICION_DURATION);
    }
}
