//! Which gateway reads a partition for the others of its region, where gateways stand in several regions.
//!
//! Were each gateway to read a partition, its records would cross the link between two regions as many times as
//! there are gateways, and behind a thin link none would come to its end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_scheduler::readers::{RegionReader, rank_region_readers};

use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::members::Members;

/// Gateways that are asked for one thing: one that ended refuses at once, and is passed over from then on.
const MAX_READERS: usize = 3;
/// How long a gateway that did not answer is passed over.
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

    /// Whether gateways read for each other: where there is one region, each reads what it needs.
    pub(super) fn is_sharing_reads(&self) -> bool {
        self.members.topology().spans_regions()
    }

    /// Whether it is known who they are.
    pub(super) fn are_readers_known(&self) -> bool {
        !self.is_sharing_reads() || self.members.is_list_loaded()
    }

    /// Who reads a partition for this gateway, in the order in which they are asked; nobody while it is not known
    /// which gateways there are.
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
        let region = self.members.of_own_region();
        let own = self.members.own_address();
        rank_region_readers(&partition, own, region, is_suspected, MAX_READERS)
    }

    /// A reader did not answer.
    pub(super) fn mark_suspected(&self, partition: u32, reader: SocketAddr) {
        log::info!(partition, reader = reader.to_string().as_str();
            "the gateway that reads a partition for its region does not answer");
        let now = self.clock.now();
        let mut suspected_until = lock(&self.suspected_until);
        suspected_until.retain(|_, until| now < *until);
        suspected_until.insert(reader, now + SUSPICION_DURATION);
    }
}
