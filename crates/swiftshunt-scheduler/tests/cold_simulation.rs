//! Simulates, with thousands of seeds, nodes that send as many requests as permitted to one cold
//! worker. Nodes stop, restart, join, leave and are partitioned; permit requests and sends are
//! delayed or lost; and the nodes' views differ. The sends are compared with an exact count.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use swiftshunt_scheduler::cold::permit_issuer::{PermitIssuer, UNLISTED_NODE_TTL, permit_issuers};
use swiftshunt_scheduler::cold::{ColdBound, START_PERMIT_TTL};

const SEEDS: u64 = 3_000;
/// Simulated time of each run, in microseconds.
const RUN_TIME: u64 = 20_000_000;
const SECOND: u64 = 1_000_000;
/// Time within which nodes learn that another node has joined, in microseconds.
const MAX_JOIN_LAG: u64 = 1_500_000;
/// Time within which nodes learn that another node has left, in microseconds.
const MAX_LEAVE_LAG: u64 = 3_500_000;
const LOSS_RATE: f64 = 0.02;
const WORKER: &str = "worker";

/// A simulated node; times are in microseconds.
struct Node {
    address: SocketAddr,
    joins_at: u64,
    leaves_at: u64,
    /// Times of restarts after a kill, at which the node forgets the permits that it issued.
    restarts: Vec<u64>,
    /// Periods in which the node cannot reach other nodes.
    partitions: Vec<(u64, u64)>,
    permits: PermitIssuer,
    seen_restarts: usize,
}

/// When a node learns that another node joins and leaves.
#[derive(Clone, Copy)]
struct MembershipView {
    joins_at: u64,
    leaves_at: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A node has a request to send.
    WantToSend { node: usize },
    /// A permit request reaches an issuer.
    RequestPermit {
        issuer: usize,
        node: usize,
        requested_at: u64,
    },
    /// A node sends a request to the worker.
    Send { requested_at: u64 },
}

struct Simulation {
    random: StdRng,
    bound: ColdBound,
    nodes: Vec<Node>,
    /// What each node knows of each other node, by the indices of both.
    views: Vec<Vec<MembershipView>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_event: u64,
    /// Send time and arrival time of each request.
    sends: Vec<(u64, u64)>,
}

fn time(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let sustained = random.random_range(0.5..8.0);
        let share = random.random_range(1.0..2.0);
        let requests = f64::from(random.random_range(0..8_u32));
        let count: usize = random.random_range(2..14);
        let mut nodes = Vec::new();
        let mut views = Vec::new();
        for index in 0..count {
            let node = node(&mut random, index);
            nodes.push(node);
        }
        for observer in 0..count {
            let visible = nodes
                .iter()
                .enumerate()
                .map(|(index, node)| MembershipView {
                    joins_at: if index == observer {
                        0
                    } else {
                        node.joins_at + random.random_range(0..MAX_JOIN_LAG)
                    },
                    leaves_at: if index == observer {
                        u64::MAX
                    } else {
                        node.leaves_at
                            .saturating_add(random.random_range(0..MAX_LEAVE_LAG))
                    },
                });
            views.push(visible.collect());
        }
        let mut simulation = Self {
            random,
            bound: ColdBound::new(Duration::from_secs(3), sustained, share, requests),
            nodes,
            views,
            events: BinaryHeap::new(),
            last_event: 0,
            sends: Vec::new(),
        };
        for node in 0..count {
            let first = simulation.random.random_range(0..50_000);
            simulation.add(first, Event::WantToSend { node });
        }
        simulation
    }

    fn add(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event, event)));
    }

    fn is_running(&self, node: usize, now: u64) -> bool {
        let node = &self.nodes[node];
        let is_down = |at: &u64| (*at..*at + 200_000).contains(&now);
        (node.joins_at..node.leaves_at).contains(&now) && !node.restarts.iter().any(is_down)
    }

    fn is_partitioned(&self, node: usize, now: u64) -> bool {
        let partitions = &self.nodes[node].partitions;
        partitions
            .iter()
            .any(|(from, until)| (*from..*until).contains(&now))
    }

    /// Returns the permit issuers in the view of a node.
    fn issuers(&self, observer: usize, now: u64) -> Vec<usize> {
        let views = self.views[observer].iter().zip(&self.nodes);
        let visible = views.filter(|(view, _)| {
            let unlisted_ttl = UNLISTED_NODE_TTL.as_micros() as u64;
            (view.joins_at..view.leaves_at.saturating_add(unlisted_ttl)).contains(&now)
        });
        let issuers = permit_issuers(WORKER, visible.map(|(_, node)| node.address));
        let index = |address: &SocketAddr| {
            let mut nodes = self.nodes.iter();
            nodes.position(|node| node.address == *address)
        };
        issuers.iter().filter_map(index).collect()
    }

    /// Returns a network delay; one in twenty is long.
    fn delay(&mut self) -> u64 {
        if self.random.random_bool(0.05) {
            self.random.random_range(0..120_000)
        } else {
            self.random.random_range(500..6_000)
        }
    }

    fn want_to_send(&mut self, node: usize, now: u64) {
        let pause = self.random.random_range(2_000..60_000);
        self.add(now + pause, Event::WantToSend { node });
        if !self.is_running(node, now) {
            return;
        }
        for issuer in self.issuers(node, now) {
            let is_partitioned = self.is_partitioned(node, now) || self.is_partitioned(issuer, now);
            if issuer != node && (is_partitioned || self.random.random_bool(LOSS_RATE)) {
                continue;
            }
            let delay = if issuer == node { 0 } else { self.delay() };
            let requested_at = now;
            self.add(
                now + delay,
                Event::RequestPermit {
                    issuer,
                    node,
                    requested_at,
                },
            );
        }
    }

    fn request_permit(&mut self, issuer: usize, node: usize, requested_at: u64, now: u64) {
        if !self.is_running(issuer, now) {
            return;
        }
        let rank = self
            .issuers(issuer, now)
            .iter()
            .position(|it| *it == issuer);
        let Some(rank) = rank else {
            return;
        };
        let issuer_node = &mut self.nodes[issuer];
        let restart_count = issuer_node.restarts.iter().filter(|at| **at <= now).count();
        if restart_count != issuer_node.seen_restarts {
            issuer_node.seen_restarts = restart_count;
            let restarted_at = issuer_node.restarts.iter().rev().find(|at| **at <= now);
            issuer_node.permits =
                PermitIssuer::new(time(restarted_at.copied().unwrap_or_default()));
        }
        let bound = self.bound;
        let issued = issuer_node
            .permits
            .issue_permit(WORKER, &bound, rank, time(now));
        if issued.is_err() {
            return;
        }
        let response_delay = if issuer == node { 0 } else { self.delay() };
        // The permit is used at any moment of its lifetime: at once, after a delay, or at its end.
        let lifetime = START_PERMIT_TTL.as_micros() as u64;
        let wait = match self.random.random_range(0..3) {
            0 => 0,
            1 => self.random.random_range(0..lifetime),
            _ => (requested_at + lifetime - 1).saturating_sub(now + response_delay),
        };
        self.add(now + response_delay + wait, Event::Send { requested_at });
    }

    fn send(&mut self, requested_at: u64, now: u64) {
        if now >= requested_at + START_PERMIT_TTL.as_micros() as u64 {
            return;
        }
        let arrives = now + self.delay();
        self.sends.push((now, arrives));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= RUN_TIME {
                return;
            }
            match event {
                Event::WantToSend { node } => self.want_to_send(node, now),
                Event::RequestPermit {
                    issuer,
                    node,
                    requested_at,
                } => self.request_permit(issuer, node, requested_at, now),
                Event::Send { requested_at } => self.send(requested_at, now),
            }
        }
    }

    /// Returns the largest number of requests that were sent and arrived within the same second.
    fn max_requests_in_one_second(&self) -> usize {
        let seconds = self.sends.iter().map(|(from, _)| {
            let until = from + SECOND;
            let is_within = |(sent, arrived): &&(u64, u64)| sent >= from && *arrived <= until;
            self.sends.iter().filter(is_within).count()
        });
        seconds.max().unwrap_or_default()
    }
}

fn node(random: &mut StdRng, index: usize) -> Node {
    let address = SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16));
    let joins_at = if random.random_bool(0.3) {
        random.random_range(0..RUN_TIME)
    } else {
        0
    };
    let leaves_at = if random.random_bool(0.2) {
        random.random_range(joins_at..RUN_TIME)
    } else {
        u64::MAX
    };
    let restarts = if random.random_bool(0.3) {
        let mut restarts: Vec<u64> = (0..2)
            .map(|_| random.random_range(joins_at..RUN_TIME))
            .collect();
        restarts.sort_unstable();
        restarts
    } else {
        Vec::new()
    };
    let partition_start = random.random_range(0..RUN_TIME);
    let partitions = if random.random_bool(0.4) {
        vec![(
            partition_start,
            partition_start + random.random_range(0..5 * SECOND),
        )]
    } else {
        Vec::new()
    };
    Node {
        address,
        joins_at,
        leaves_at,
        restarts,
        partitions,
        permits: PermitIssuer::new(time(joins_at)),
        seen_restarts: 0,
    }
}

#[test]
fn a_cold_worker_never_gets_more_requests_in_a_second_than_the_bound() {
    let mut sent = 0;
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        let most = simulation.max_requests_in_one_second();
        let bound = simulation.bound.max_in_one_second;
        assert!(
            most as f64 <= bound,
            "seed {seed}: {most} requests in one second, {bound} allowed"
        );
        sent += simulation.sends.len();
    }
    println!("{sent} requests were sent in {SEEDS} simulated runs");
}

#[test]
fn two_issuers_issue_at_least_the_sustained_rate() {
    let bound = ColdBound::new(Duration::from_secs(3), 5.5, 1.5, 5.0);
    let mut issuers = [
        PermitIssuer::new(Duration::ZERO),
        PermitIssuer::new(Duration::ZERO),
    ];
    let from = Duration::from_secs(10);
    let mut issued = 0_u32;
    for step in 0..3_000 {
        let now = from + Duration::from_millis(step);
        for (rank, issuer) in issuers.iter_mut().enumerate() {
            issued += u32::from(issuer.issue_permit(WORKER, &bound, rank, now).is_ok());
        }
    }
    let sustained = 5.5 * 3.0;
    assert!(
        f64::from(issued) >= sustained,
        "{issued} permits in three seconds, the worker sustains {sustained}"
    );
}

/// Permits that are issued within one second plus the lifetime of a permit may all be used within
/// one second.
#[test]
fn permits_for_sends_in_one_second_stay_within_the_bound() {
    let window = Duration::from_secs(1) + START_PERMIT_TTL;
    for sustained in [1.0, 5.5, 20.0, 60.0] {
        for requests in [0.0, 2.0, 5.0, 12.0] {
            let bound = ColdBound::new(Duration::from_secs(3), sustained, 1.5, requests);
            let mut issuers = [
                PermitIssuer::new(Duration::ZERO),
                PermitIssuer::new(Duration::ZERO),
            ];
            let mut issued = Vec::new();
            for step in 0..6_000 {
                let now = Duration::from_secs(10) + Duration::from_millis(step);
                for (rank, issuer) in issuers.iter_mut().enumerate() {
                    while issuer.issue_permit(WORKER, &bound, rank, now).is_ok() {
                        issued.push(now);
                    }
                }
            }
            let within = |from: &Duration| {
                let times = issued.iter();
                times
                    .filter(|at| (*from..=*from + window).contains(at))
                    .count()
            };
            let most = issued.iter().map(within).max().unwrap_or_default();
            let allowed = bound.max_in_one_second;
            assert!(
                most as f64 <= allowed,
                "{most} permits within {window:?}, {allowed} allowed"
            );
        }
    }
}
