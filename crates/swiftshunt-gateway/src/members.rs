//! Membership of the gateways: which ones are listed, which are suspected to be down, and which owns a cell.

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

/// Time after which a gateway that has not renewed its record is removed from the list: a little more than
/// three times the interval of 60 s at which gateways register.
const REGISTRATION_TTL: Duration = Duration::from_secs(200);
/// Consecutive requests without an answer in time after which a gateway is suspected to be down: a single
/// datagram may be lost.
const MISSES_BEFORE_SUSPICION: u32 = 2;
/// Duration of the first suspicion; each consecutive one lasts twice as long.
const INITIAL_SUSPICION: Duration = Duration::from_millis(500);
/// Upper bound of the duration of a suspicion: a gateway that was unreachable is probed after this time at the latest, and
/// owns its cells again once it answers.
const MAX_SUSPICION: Duration = Duration::from_secs(4);
/// Time without contact from any other gateway after which this one considers itself cut off, if
/// `CUT_OFF_SUSPECTS` others have missed answers.
const CUT_OFF_AFTER: Duration = Duration::from_millis(300);
/// Number of other gateways with missed answers from which this one may consider itself cut off.
const CUT_OFF_SUSPECTS: usize = 2;
/// Upper bound of the number of doublings of a suspicion.
const MAX_DOUBLINGS: u32 = 3;

/// The answers that a gateway has missed in a row, and the time until which it is suspected to be down.
#[derive(Clone, Copy, Default)]
struct Suspicion {
    /// Answers missed in a row.
    misses: u32,
    /// Suspicions in a row.
    repeats: u32,
    until: Duration,
}

impl Suspicion {
    fn begin(&mut self, gateway: SocketAddr, now: Duration) {
        let time = self.renew(now);
        log::info!(gateway = gateway.to_string().as_str(),
            for_ms = time.as_millis() as u64; "a gateway does not answer");
    }

    /// Begins a suspicion, or prolongs it, and returns its duration.
    fn renew(&mut self, now: Duration) -> Duration {
        let time = INITIAL_SUSPICION * 2_u32.pow(self.repeats.min(MAX_DOUBLINGS));
        let time = time.min(MAX_SUSPICION);
        self.until = now + time;
        // Once the suspicion has expired, a single missed answer renews it.
        self.misses = self.misses.max(MISSES_BEFORE_SUSPICION);
        self.repeats += 1;
        time
    }

    /// Whether the gateway has been suspected and not been heard from since, also if the suspicion has expired.
    fn awaits_contact(&self) -> bool {
        self.repeats > 0
    }
}

/// A gateway in the list, or one that was removed from it a short time ago.
struct Listed {
    /// Time of the last registration, or of the removal.
    at: Duration,
    /// The gateway's zone; `None` until the gateway has announced it.
    zone: Option<String>,
}

#[derive(Default)]
struct MemberList {
    listed: HashMap<SocketAddr, Listed>,
    /// Gateways that were removed from the list, which are remembered for `UNLISTED_NODE_TTL`.
    unlisted: HashMap<SocketAddr, Listed>,
    suspicions: HashMap<SocketAddr, Suspicion>,
    /// Time of the last contact with each gateway.
    heard_at: HashMap<SocketAddr, Duration>,
    /// Time at which the list was read first.
    read_at: Option<Duration>,
}

impl MemberList {
    fn zone_of(&self, gateway: &SocketAddr) -> Option<&str> {
        let listed = self.listed.get(gateway);
        listed
            .or_else(|| self.unlisted.get(gateway))?
            .zone
            .as_deref()
    }
}

/// The gateways of the deployment as this one knows them.
pub(crate) struct Members {
    own: SocketAddr,
    topology: Topology,
    clock: Clock,
    zone_latencies: ZoneLatencies,
    known: Mutex<MemberList>,
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

    /// Returns the address under which this gateway is listed.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.own
    }

    /// Whether the list of gateways has been read.
    pub(crate) fn is_list_loaded(&self) -> bool {
        lock(&self.known).read_at.is_some()
    }

    /// Returns the time at which the list of gateways was read first; `None` if it has not been read.
    pub(crate) fn list_loaded_at(&self) -> Option<Duration> {
        lock(&self.known).read_at
    }

    /// Records that the list of gateways was read.
    pub(crate) fn mark_list_loaded(&self) {
        let now = self.clock.now();
        lock(&self.known).read_at.get_or_insert(now);
    }

    /// Returns the other gateways that are listed.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        lock(&self.known).listed.keys().copied().collect()
    }

    /// Adds a gateway to the list, or removes it. Returns whether that changed the list.
    pub(crate) fn set_listed(&self, gateway: SocketAddr, is_listed: bool) -> bool {
        if gateway == self.own {
            return false;
        }
        let mut known = lock(&self.known);
        if is_listed {
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
        known.suspicions.remove(&gateway);
        known.heard_at.remove(&gateway);
        let before = known.listed.remove(&gateway);
        let was_listed = before.is_some();
        if let Some(before) = before {
            let at = self.clock.now();
            known.unlisted.insert(gateway, Listed { at, ..before });
        }
        was_listed
    }

    /// Records the zone of a listed gateway.
    pub(crate) fn set_zone(&self, gateway: SocketAddr, zone: &str) {
        if let Some(listed) = lock(&self.known).listed.get_mut(&gateway) {
            listed.zone = Some(zone.to_owned());
        }
    }

    /// Returns the zones of the deployment, with this gateway's own zone.
    pub(crate) fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Returns the zone of a gateway; `None` if it is not known.
    pub(crate) fn zone_of(&self, gateway: SocketAddr) -> Option<String> {
        if gateway == self.own {
            return Some(self.topology.own_zone().to_owned());
        }
        lock(&self.known).zone_of(&gateway).map(str::to_owned)
    }

    /// Returns the distance to a gateway. One whose zone is not known counts as being in another region where
    /// there are several regions.
    pub(crate) fn distance_to(&self, gateway: SocketAddr) -> Distance {
        let zone = self.zone_of(gateway).unwrap_or_default();
        self.topology.distance_to(&zone)
    }

    /// Removes gateways from the list that have not renewed their records within `REGISTRATION_TTL`.
    pub(crate) fn remove_expired(&self) {
        let now = self.clock.now();
        let mut known = lock(&self.known);
        let expired = known
            .listed
            .extract_if(|_, listed| now >= listed.at + REGISTRATION_TTL);
        let expired: Vec<(SocketAddr, Listed)> = expired.collect();
        let expired = expired
            .into_iter()
            .map(|(gateway, listed)| (gateway, Listed { at: now, ..listed }));
        known.unlisted.extend(expired);
    }

    /// Returns the other gateways of this one's region, without those whose zone is not known; all others where
    /// there is a single region.
    pub(crate) fn others_in_region(&self) -> Vec<SocketAddr> {
        let known = lock(&self.known);
        let others = known.listed.keys().copied();
        let own_region = self.topology.dividing_region_of(self.topology.own_zone());
        others
            .filter(|gateway| self.is_in(&known, *gateway, own_region))
            .collect()
    }

    /// Returns the time-out for an answer of a gateway, given the time-out within a region.
    pub(crate) fn answer_timeout(&self, gateway: SocketAddr, within_region: Duration) -> Duration {
        let zone = self.zone_of(gateway).unwrap_or_default();
        self.zone_latencies
            .answer_timeout(&self.topology, &zone, within_region)
    }

    /// Returns the longest time-out for an answer of any gateway, given the time-out within a region.
    pub(crate) fn max_answer_timeout(&self, within_region: Duration) -> Duration {
        self.zone_latencies
            .max_answer_timeout(&self.topology, within_region)
    }

    /// Returns the observed round trip to a gateway of another region; zero within the region, and as long as
    /// none was observed.
    pub(crate) fn round_trip(&self, gateway: SocketAddr) -> Duration {
        let zone = self.zone_of(gateway).unwrap_or_default();
        self.zone_latencies.round_trip(&self.topology, &zone)
    }

    /// Records that a gateway answered `took` after the request was sent.
    pub(crate) fn record_answer(&self, gateway: SocketAddr, took: Duration) {
        if let Some(zone) = self.zone_of(gateway) {
            self.zone_latencies.record_answer(&zone, took);
        }
    }

    /// Returns the gateway that owns a cell, among this one and the others but for those that were suspected and have not
    /// been heard from since: one of the cell's region if there is any, else one of another region. If expired suspicions
    /// were enough, gateways that are gone would own the cell in turn, and no living one.
    pub(crate) fn owner(&self, cell: &Cell) -> SocketAddr {
        let known = lock(&self.known);
        let trusted = known.listed.keys().copied().filter(|gateway| {
            let suspicion = known.suspicions.get(gateway);
            suspicion.is_none_or(|suspicion| !suspicion.awaits_contact())
        });
        let trusted: Vec<SocketAddr> = trusted.chain([self.own]).collect();
        let is_in_region =
            |gateway: &SocketAddr| self.is_in(&known, *gateway, cell.region.as_ref());
        let in_region = owner(cell, trusted.iter().copied().filter(is_in_region));
        in_region
            .or_else(|| owner(cell, trusted))
            .unwrap_or(self.own)
    }

    /// Returns the gateways that are to be probed now, since each would own a cell in place of `owner` if it answered: their
    /// suspicions have expired. They are suspected again until they are heard from.
    pub(crate) fn take_due_probes(&self, cell: &Cell, owner: SocketAddr) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut known = lock(&self.known);
        let suspected = known.suspicions.iter();
        let expired = suspected.filter(|(_, it)| it.awaits_contact() && it.until <= now);
        let due = expired.map(|(gateway, _)| *gateway).filter(|gateway| {
            known.listed.contains_key(gateway) && self.outranks(&known, cell, *gateway, owner)
        });
        let due: Vec<SocketAddr> = due.collect();
        for gateway in &due {
            known.suspicions.entry(*gateway).or_default().renew(now);
        }
        due
    }

    /// Whether a gateway rather than `other` would own a cell.
    fn outranks(
        &self,
        known: &MemberList,
        cell: &Cell,
        gateway: SocketAddr,
        other: SocketAddr,
    ) -> bool {
        let region = cell.region.as_ref();
        match (
            self.is_in(known, gateway, region),
            self.is_in(known, other, region),
        ) {
            (true, false) => true,
            (false, true) => false,
            _ => owner(cell, [gateway, other]) == Some(gateway),
        }
    }

    /// Whether a gateway is in a region; always true for `None`, which means the single region of a deployment.
    fn is_in(&self, known: &MemberList, gateway: SocketAddr, region: Option<&RegionName>) -> bool {
        let Some(region) = region else {
            return true;
        };
        if gateway == self.own {
            return self.topology.own_region() == Some(region);
        }
        let zone = known.zone_of(&gateway);
        zone.and_then(|zone| self.topology.region_of(zone)) == Some(region)
    }

    /// Returns the number of listed gateways, including this one.
    pub(crate) fn count(&self) -> usize {
        lock(&self.known).listed.len() + 1
    }

    /// Returns the first `count` gateways in a tenant's own order: those that count its requests. Suspected
    /// gateways are included.
    pub(crate) fn tenant_counters(&self, tenant: &TenantName, count: usize) -> Vec<SocketAddr> {
        self.ranked_gateways(tenant, count)
    }

    /// Returns the first `count` gateways in the order that the hash of a subject gives. Suspected gateways are
    /// included.
    pub(crate) fn ranked_gateways(&self, subject: &impl Hash, count: usize) -> Vec<SocketAddr> {
        let known = lock(&self.known);
        let all = known.listed.keys().copied().chain([self.own]);
        top_ranked(subject, all, count)
    }

    /// Returns the first `count` gateways of this one's region in the order that the hash of a subject gives. Suspected
    /// gateways are included.
    pub(crate) fn ranked_in_own_region(
        &self,
        subject: &impl Hash,
        count: usize,
    ) -> Vec<SocketAddr> {
        top_ranked(subject, self.gateways_in_own_region(), count)
    }

    /// Returns the issuers of start permits for a worker, by rank: the first gateways in the worker's own order
    /// among those of its region, including suspected ones. `None` is a rank whose gateway is no longer
    /// listed; another gateway gets that rank `UNLISTED_NODE_TTL` after the removal.
    pub(crate) fn permit_issuers(&self, worker: &str, zone: &str) -> Vec<Option<SocketAddr>> {
        let region = self.topology.dividing_region_of(zone);
        let removed_since = self.clock.now().saturating_sub(UNLISTED_NODE_TTL);
        let mut known = lock(&self.known);
        known
            .unlisted
            .retain(|_, removed| removed.at >= removed_since);
        let listed = known.listed.keys().chain(known.unlisted.keys()).copied();
        let all = listed.chain([self.own]);
        let in_region = all.filter(|gateway| self.is_in(&known, *gateway, region));
        let issuers = permit_issuers(worker, in_region);
        let is_listed =
            |issuer: &SocketAddr| *issuer == self.own || known.listed.contains_key(issuer);
        let issuers = issuers
            .into_iter()
            .map(|issuer| Some(issuer).filter(is_listed));
        issuers.collect()
    }

    /// Returns the gateways of this one's region, including this one; all gateways where there is a single
    /// region.
    pub(crate) fn gateways_in_own_region(&self) -> Vec<SocketAddr> {
        let mut gateways = self.others_in_region();
        gateways.push(self.own);
        gateways
    }

    /// Whether a gateway is currently suspected to be down.
    pub(crate) fn is_suspected(&self, gateway: SocketAddr) -> bool {
        let now = self.clock.now();
        let known = lock(&self.known);
        let suspicion = known.suspicions.get(&gateway);
        suspicion.is_some_and(|suspicion| now < suspicion.until)
    }

    /// Lists a gateway that another one reports to be alive, and ends any suspicion of it.
    pub(crate) fn confirm_alive(&self, gateway: SocketAddr) {
        self.set_listed(gateway, true);
        lock(&self.known).suspicions.remove(&gateway);
    }

    /// Returns the listed gateways without contact since a time.
    pub(crate) fn silent_since(&self, since: Duration) -> Vec<SocketAddr> {
        let known = lock(&self.known);
        let listed = known.listed.keys().copied();
        let silent = listed.filter(|gateway| {
            let heard_at = known.heard_at.get(gateway);
            heard_at.is_none_or(|at| *at < since)
        });
        silent.collect()
    }

    /// Whether this gateway seems to reach no other one: several have missed answers, and there was no contact
    /// with any within `CUT_OFF_AFTER`.
    pub(crate) fn is_cut_off(&self) -> bool {
        let now = self.clock.now();
        let known = lock(&self.known);
        let is_quiet = |at: &Duration| now >= *at + CUT_OFF_AFTER;
        known.suspicions.len() >= CUT_OFF_SUSPECTS && known.heard_at.values().all(is_quiet)
    }

    /// Records a message from a gateway, which ends any suspicion of it.
    pub(crate) fn record_contact(&self, gateway: SocketAddr) {
        let now = self.clock.now();
        let mut known = lock(&self.known);
        known.suspicions.remove(&gateway);
        if known.listed.contains_key(&gateway) {
            known.heard_at.insert(gateway, now);
        }
    }

    /// Returns the time of the last contact with a gateway; zero if there was none.
    pub(crate) fn heard_at(&self, gateway: SocketAddr) -> Duration {
        let known = lock(&self.known);
        known.heard_at.get(&gateway).copied().unwrap_or_default()
    }

    /// Records that a gateway did not answer in time. Returns whether this begins a suspicion.
    pub(crate) fn record_timeout(&self, gateway: SocketAddr) -> bool {
        let now = self.clock.now();
        let mut known = lock(&self.known);
        if let Some(zone) = known.zone_of(&gateway) {
            self.zone_latencies.record_timeout(zone);
        }
        let suspicion = known.suspicions.entry(gateway).or_default();
        suspicion.misses += 1;
        if suspicion.misses < MISSES_BEFORE_SUSPICION || now < suspicion.until {
            return false;
        }
        suspicion.begin(gateway, now);
        true
    }

    /// Begins a suspicion of a gateway, whether it has missed answers or not.
    pub(crate) fn mark_suspected(&self, gateway: SocketAddr) {
        let now = self.clock.now();
        let mut known = lock(&self.known);
        known
            .suspicions
            .entry(gateway)
            .or_default()
            .begin(gateway, now);
    }
}
