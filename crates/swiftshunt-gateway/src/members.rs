//! The other gateways: who is listed, who does not answer, and who owns a cell.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use swiftshunt_scheduler::cold::permit_issuer::{UNLISTED_NODE_TTL, permit_issuers};
use swiftshunt_scheduler::readers::top_ranked;
use swiftshunt_scheduler::slots::cell::{Cell, owner};
use swiftshunt_topology::{Distance, Topology};
use swiftshunt_types::{RegionName, TenantName};

use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::zone_latencies::ZoneLatencies;

/// Time after which a gateway that no longer lists itself is forgotten: three times the pause
/// between two listings, and some.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(200);
/// Questions in a row that are not answered in time after which a gateway counts as gone: one may
/// be lost.
const MISSES: u32 = 2;
/// First time for which it does, doubled with each time in a row.
const FIRST_DOUBT: Duration = Duration::from_millis(500);
/// Longest such time: a gateway that was away owns its cells again after it at the latest.
const LONGEST_DOUBT: Duration = Duration::from_secs(4);
/// Silence of all others after which a gateway takes itself for cut off, if so many are in doubt.
const CUT_OFF_AFTER: Duration = Duration::from_millis(300);
const CUT_OFF_DOUBTS: usize = 2;
/// Doublings at most.
const MOST_DOUBLINGS: u32 = 3;

/// A gateway that did not answer.
#[derive(Clone, Copy, Default)]
struct Doubt {
    misses: u32,
    times: u32,
    until: Duration,
}

impl Doubt {
    fn begin(&mut self, gateway: SocketAddr, now: Duration) {
        let time = FIRST_DOUBT * 2_u32.pow(self.times.min(MOST_DOUBLINGS));
        self.until = now + time.min(LONGEST_DOUBT);
        // Asked again after that time, it has one chance.
        self.misses = self.misses.max(MISSES);
        self.times += 1;
        log::info!(gateway = gateway.to_string().as_str(),
            for_ms = time.as_millis() as u64; "a gateway does not answer");
    }
}

/// A gateway that is listed.
struct Listed {
    /// When it was listed last.
    at: Duration,
    /// Its zone, if it has told.
    zone: Option<String>,
}

#[derive(Default)]
struct Known {
    listed: HashMap<SocketAddr, Listed>,
    /// Gateways that are not listed any more since a moment ago; the time is when that was seen.
    unlisted: HashMap<SocketAddr, Listed>,
    doubts: HashMap<SocketAddr, Doubt>,
    heard_at: HashMap<SocketAddr, Duration>,
    /// When the list was read first.
    read_at: Option<Duration>,
}

impl Known {
    fn zone_of(&self, gateway: &SocketAddr) -> Option<&str> {
        let listed = self.listed.get(gateway);
        listed
            .or_else(|| self.unlisted.get(gateway))?
            .zone
            .as_deref()
    }
}

/// The gateways.
pub(crate) struct Members {
    own: SocketAddr,
    topology: Topology,
    clock: Clock,
    zone_latencies: ZoneLatencies,
    known: Mutex<Known>,
}

impl Members {
    pub(crate) fn new(own: SocketAddr, topology: Topology, clock: Clock) -> Self {
        Self {
            own,
            topology,
            clock,
            zone_latencies: ZoneLatencies::default(),
            known: Mutex::default(),
        }
    }

    /// Where this gateway is listed.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.own
    }

    /// Whether it is known which gateways there are.
    pub(crate) fn is_list_loaded(&self) -> bool {
        lock(&self.known).read_at.is_some()
    }

    /// Since when it is known which gateways there are.
    pub(crate) fn list_loaded_at(&self) -> Option<Duration> {
        lock(&self.known).read_at
    }

    /// The list of gateways was read.
    pub(crate) fn mark_list_loaded(&self) {
        let now = self.clock.now();
        lock(&self.known).read_at.get_or_insert(now);
    }

    /// The others that are there, as far as known.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        lock(&self.known).listed.keys().copied().collect()
    }

    /// A gateway is listed, or is not any more; tells whether that is new.
    pub(crate) fn set_listed(&self, gateway: SocketAddr, is_there: bool) -> bool {
        if gateway == self.own {
            return false;
        }
        let mut known = lock(&self.known);
        if is_there {
            let at = self.clock.now();
            let before = known.listed.get_mut(&gateway);
            let is_new = before.is_none();
            match before {
                Some(listed) => listed.at = at,
                None => {
                    let zone = known.unlisted.remove(&gateway).and_then(|it| it.zone);
                    known.listed.insert(gateway, Listed { at, zone });
                }
            }
            return is_new;
        }
        known.doubts.remove(&gateway);
        known.heard_at.remove(&gateway);
        let before = known.listed.remove(&gateway);
        let was_listed = before.is_some();
        if let Some(before) = before {
            let at = self.clock.now();
            known.unlisted.insert(gateway, Listed { at, ..before });
        }
        was_listed
    }

    /// A listed gateway tells its zone.
    pub(crate) fn set_zone(&self, gateway: SocketAddr, zone: &str) {
        if let Some(listed) = lock(&self.known).listed.get_mut(&gateway) {
            listed.zone = Some(zone.to_owned());
        }
    }

    /// This gateway's place, and where zones are.
    pub(crate) fn topology(&self) -> &Topology {
        &self.topology
    }

    /// The zone of a gateway, if it is known.
    pub(crate) fn zone_of(&self, gateway: SocketAddr) -> Option<String> {
        if gateway == self.own {
            return Some(self.topology.own_zone().to_owned());
        }
        lock(&self.known).zone_of(&gateway).map(str::to_owned)
    }

    /// How far a gateway is; one whose zone is not known yet counts as far where there are several regions.
    pub(crate) fn distance_to(&self, gateway: SocketAddr) -> Distance {
        let zone = self.zone_of(gateway).unwrap_or_default();
        self.topology.distance_to(&zone)
    }

    /// Forgets gateways that have not listed themselves for long.
    pub(crate) fn remove_expired(&self) {
        let now = self.clock.now();
        let mut known = lock(&self.known);
        let silent = known
            .listed
            .extract_if(|_, listed| now >= listed.at + FORGOTTEN_AFTER);
        let silent: Vec<(SocketAddr, Listed)> = silent.collect();
        let silent = silent
            .into_iter()
            .map(|(gateway, listed)| (gateway, Listed { at: now, ..listed }));
        known.unlisted.extend(silent);
    }

    /// The others of the own region; all where there is one region. One whose zone is not known yet is left out.
    pub(crate) fn others_in_region(&self) -> Vec<SocketAddr> {
        let known = lock(&self.known);
        let others = known.listed.keys().copied();
        let own_region = self.topology.dividing_region_of(self.topology.own_zone());
        others
            .filter(|gateway| self.is_in(&known, *gateway, own_region))
            .collect()
    }

    /// How long an answer of a gateway is waited for that within a region is waited for `within_region`.
    pub(crate) fn answer_timeout(&self, gateway: SocketAddr, within_region: Duration) -> Duration {
        let zone = self.zone_of(gateway).unwrap_or_default();
        self.zone_latencies
            .answer_timeout(&self.topology, &zone, within_region)
    }

    /// The same for answers of any gateway.
    pub(crate) fn max_answer_timeout(&self, within_region: Duration) -> Duration {
        self.zone_latencies
            .max_answer_timeout(&self.topology, within_region)
    }

    /// The round trip to a gateway of another region.
    pub(crate) fn round_trip(&self, gateway: SocketAddr) -> Duration {
        let zone = self.zone_of(gateway).unwrap_or_default();
        self.zone_latencies.round_trip(&self.topology, &zone)
    }

    /// A gateway answered `took` after it was asked.
    pub(crate) fn record_answer(&self, gateway: SocketAddr, took: Duration) {
        if let Some(zone) = self.zone_of(gateway) {
            self.zone_latencies.record_answer(&zone, took);
        }
    }

    /// The gateway that owns a cell, among this one and the others that answer: one of its region, as long as
    /// one is known there.
    pub(crate) fn owner(&self, cell: &Cell) -> SocketAddr {
        let now = self.clock.now();
        let known = lock(&self.known);
        let there = known.listed.keys().copied().filter(|gateway| {
            let doubt = known.doubts.get(gateway);
            doubt.is_none_or(|doubt| doubt.until <= now)
        });
        let there: Vec<SocketAddr> = there.chain([self.own]).collect();
        let is_near = |gateway: &SocketAddr| self.is_in(&known, *gateway, cell.region.as_ref());
        let near = owner(cell, there.iter().copied().filter(is_near));
        near.or_else(|| owner(cell, there)).unwrap_or(self.own)
    }

    /// Whether a gateway stands in a region; all do where there is one alone.
    fn is_in(&self, known: &Known, gateway: SocketAddr, region: Option<&RegionName>) -> bool {
        let Some(region) = region else {
            return true;
        };
        if gateway == self.own {
            return self.topology.own_region() == Some(region);
        }
        let zone = known.zone_of(&gateway);
        zone.and_then(|zone| self.topology.region_of(zone)) == Some(region)
    }

    /// How many gateways there are, this one included.
    pub(crate) fn count(&self) -> usize {
        lock(&self.known).listed.len() + 1
    }

    /// The first `count` gateways in the order in which they count for a tenant, whether they answer or not.
    pub(crate) fn tenant_counters(&self, tenant: &TenantName, count: usize) -> Vec<SocketAddr> {
        self.ranked_gateways(tenant, count)
    }

    /// The first `count` gateways in the order that is a subject's own, whether they answer or not.
    pub(crate) fn ranked_gateways(&self, subject: &impl Hash, count: usize) -> Vec<SocketAddr> {
        let known = lock(&self.known);
        let all = known.listed.keys().copied().chain([self.own]);
        top_ranked(subject, all, count)
    }

    /// The keepers of the starts at a worker, by their rank: the first in the order that is the worker's own,
    /// among those of its region, whether they answer or not. None for a rank whose gateway is not listed any
    /// more; it is taken over when that gateway is forgotten.
    pub(crate) fn permit_issuers(&self, worker: &str, zone: &str) -> Vec<Option<SocketAddr>> {
        let region = self.topology.dividing_region_of(zone);
        let remembered_from = self.clock.now().saturating_sub(UNLISTED_NODE_TTL);
        let mut known = lock(&self.known);
        known.unlisted.retain(|_, gone| gone.at >= remembered_from);
        let listed = known.listed.keys().chain(known.unlisted.keys()).copied();
        let all = listed.chain([self.own]);
        let near = all.filter(|gateway| self.is_in(&known, *gateway, region));
        let keepers = permit_issuers(worker, near);
        let is_listed =
            |keeper: &SocketAddr| *keeper == self.own || known.listed.contains_key(keeper);
        let keepers = keepers
            .into_iter()
            .map(|keeper| Some(keeper).filter(is_listed));
        keepers.collect()
    }

    /// The gateways of this one's region, this one included; all where there is one region alone.
    pub(crate) fn of_own_region(&self) -> Vec<SocketAddr> {
        let mut gateways = self.others_in_region();
        gateways.push(self.own);
        gateways
    }

    /// Whether a gateway counts as gone.
    pub(crate) fn is_suspected(&self, gateway: SocketAddr) -> bool {
        let now = self.clock.now();
        let known = lock(&self.known);
        let doubt = known.doubts.get(&gateway);
        doubt.is_some_and(|doubt| now < doubt.until)
    }

    /// Another gateway says that one is there.
    pub(crate) fn confirm_alive(&self, gateway: SocketAddr) {
        self.set_listed(gateway, true);
        lock(&self.known).doubts.remove(&gateway);
    }

    /// Listed gateways that have given no sign of life since a moment.
    pub(crate) fn silent_since(&self, since: Duration) -> Vec<SocketAddr> {
        let known = lock(&self.known);
        let listed = known.listed.keys().copied();
        let silent = listed.filter(|gateway| {
            let heard_at = known.heard_at.get(gateway);
            heard_at.is_none_or(|at| *at < since)
        });
        silent.collect()
    }

    /// Whether this gateway reaches no other one: several are in doubt, and none was heard of late.
    pub(crate) fn is_cut_off(&self) -> bool {
        let now = self.clock.now();
        let known = lock(&self.known);
        let is_quiet = |at: &Duration| now >= *at + CUT_OFF_AFTER;
        known.doubts.len() >= CUT_OFF_DOUBTS && known.heard_at.values().all(is_quiet)
    }

    /// A gateway gave a sign of life.
    pub(crate) fn record_contact(&self, gateway: SocketAddr) {
        let now = self.clock.now();
        let mut known = lock(&self.known);
        known.doubts.remove(&gateway);
        if known.listed.contains_key(&gateway) {
            known.heard_at.insert(gateway, now);
        }
    }

    /// When a gateway gave a sign of life last.
    pub(crate) fn heard_at(&self, gateway: SocketAddr) -> Duration {
        let known = lock(&self.known);
        known.heard_at.get(&gateway).copied().unwrap_or_default()
    }

    /// A gateway did not answer in time; tells whether it counts as gone by that.
    pub(crate) fn record_timeout(&self, gateway: SocketAddr) -> bool {
        let now = self.clock.now();
        let mut known = lock(&self.known);
        if let Some(zone) = known.zone_of(&gateway) {
            self.zone_latencies.record_timeout(zone);
        }
        let doubt = known.doubts.entry(gateway).or_default();
        doubt.misses += 1;
        if doubt.misses < MISSES || now < doubt.until {
            return false;
        }
        doubt.begin(gateway, now);
        true
    }

    /// A gateway counts as gone.
    pub(crate) fn mark_suspected(&self, gateway: SocketAddr) {
        let now = self.clock.now();
        let mut known = lock(&self.known);
        known.doubts.entry(gateway).or_default().begin(gateway, now);
    }
}
