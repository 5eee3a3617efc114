//! Thousands of seeded days on which nodes send all that they may to one cold worker, while nodes die, start anew,
//! come, go and are cut off, questions and sends are delayed or lost, and views differ, against an exact count.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use swiftshunt_scheduler::cold::permit_issuer::{PermitIssuer, UNLISTED_NODE_TTL, permit_issuers};
use swiftshunt_scheduler::cold::{ColdBound, START_PERMIT_TTL};

const SEEDS: u64 = 3_000;
const DAY: u64 = 20_000_000;
const SECOND: u64 = 1_000_000;
/// Time within which nodes learn that another one has come.
const COMING_TOLD: u64 = 1_500_000;
/// The same of one that has gone.
const GOING_TOLD: u64 = 3_500_000;
const LOST: f64 = 0.02;
const WORKER: &str = "worker";

/// When a node is there, in microseconds.
struct Node {
    address: SocketAddr,
    comes: u64,
    goes: u64,
    /// Starts anew after a kill: what it handed out is forgotten.
    restarts: Vec<u64>,
    /// When it reaches no other node.
    cuts: Vec<(u64, u64)>,
    starts: PermitIssuer,
    lives: usize,
}

/// When a node sees that another one comes and goes.
#[derive(Clone, Copy)]
struct Sight {
    comes: u64,
    goes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A node wants to send.
    Wants { node: usize },
    /// A question reaches a keeper.
    Asks {
        issuer: usize,
        node: usize,
        asked_at: u64,
    },
    /// A request is written to the worker.
    Sends { asked_at: u64 },
}

struct World {
    random: StdRng,
    bound: ColdBound,
    nodes: Vec<Node>,
    /// What each node sees of each.
    sights: Vec<Vec<Sight>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_event: u64,
    /// When requests were sent, and when they arrived.
    sends: Vec<(u64, u64)>,
}

fn time(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let bears = random.random_range(0.5..8.0);
        let share = random.random_range(1.0..2.0);
        let requests = f64::from(random.random_range(0..8_u32));
        let count: usize = random.random_range(2..14);
        let mut nodes = Vec::new();
        let mut sights = Vec::new();
        for index in 0..count {
            let node = node(&mut random, index);
            nodes.push(node);
        }
        for seer in 0..count {
            let seen = nodes.iter().enumerate().map(|(index, node)| Sight {
                comes: if index == seer {
                    0
                } else {
                    node.comes + random.random_range(0..COMING_TOLD)
                },
                goes: if index == seer {
                    u64::MAX
                } else {
                    node.goes.saturating_add(random.random_range(0..GOING_TOLD))
                },
            });
            sights.push(seen.collect());
        }
        let mut world = Self {
            random,
            bound: ColdBound::new(Duration::from_secs(3), bears, share, requests),
            nodes,
            sights,
            events: BinaryHeap::new(),
            last_event: 0,
            sends: Vec::new(),
        };
        for node in 0..count {
            let first = world.random.random_range(0..50_000);
            world.add(first, Event::Wants { node });
        }
        world
    }

    fn add(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event, event)));
    }

    fn is_there(&self, node: usize, now: u64) -> bool {
        let node = &self.nodes[node];
        let is_down = |at: &u64| (*at..*at + 200_000).contains(&now);
        (node.comes..node.goes).contains(&now) && !node.restarts.iter().any(is_down)
    }

    fn is_cut(&self, node: usize, now: u64) -> bool {
        let cuts = &self.nodes[node].cuts;
        cuts.iter()
            .any(|(from, until)| (*from..*until).contains(&now))
    }

    /// The keepers as a node sees them.
    fn issuers(&self, seer: usize, now: u64) -> Vec<usize> {
        let sights = self.sights[seer].iter().zip(&self.nodes);
        let seen = sights.filter(|(sight, _)| {
            let remembered = UNLISTED_NODE_TTL.as_micros() as u64;
            (sight.comes..sight.goes.saturating_add(remembered)).contains(&now)
        });
        let issuers = permit_issuers(WORKER, seen.map(|(_, node)| node.address));
        let index = |address: &SocketAddr| {
            let mut nodes = self.nodes.iter();
            nodes.position(|node| node.address == *address)
        };
        issuers.iter().filter_map(index).collect()
    }

    /// Ways are short but for some that are long.
    fn way(&mut self) -> u64 {
        if self.random.random_bool(0.05) {
            self.random.random_range(0..120_000)
        } else {
            self.random.random_range(500..6_000)
        }
    }

    fn wants(&mut self, node: usize, now: u64) {
        let pause = self.random.random_range(2_000..60_000);
        self.add(now + pause, Event::Wants { node });
        if !self.is_there(node, now) {
            return;
        }
        for issuer in self.issuers(node, now) {
            let is_cut = self.is_cut(node, now) || self.is_cut(issuer, now);
            if issuer != node && (is_cut || self.random.random_bool(LOST)) {
                continue;
            }
            let way = if issuer == node { 0 } else { self.way() };
            let asked_at = now;
            self.add(
                now + way,
                Event::Asks {
                    issuer,
                    node,
                    asked_at,
                },
            );
        }
    }

    fn asks(&mut self, issuer: usize, node: usize, asked_at: u64, now: u64) {
        if !self.is_there(issuer, now) {
            return;
        }
        let rank = self
            .issuers(issuer, now)
            .iter()
            .position(|it| *it == issuer);
        let Some(rank) = rank else {
            return;
        };
        let lives = &mut self.nodes[issuer];
        let life = lives.restarts.iter().filter(|at| **at <= now).count();
        if life != lives.lives {
            lives.lives = life;
            let began = lives.restarts.iter().rev().find(|at| **at <= now);
            lives.starts = PermitIssuer::new(time(began.copied().unwrap_or_default()));
        }
        let bound = self.bound;
        let handed_out = lives.starts.issue_permit(WORKER, &bound, rank, time(now));
        if handed_out.is_err() {
            return;
        }
        let back = if issuer == node { 0 } else { self.way() };
        // It is sent at any moment of its life: at once, held up, or at its end.
        let life = START_PERMIT_TTL.as_micros() as u64;
        let held_up = match self.random.random_range(0..3) {
            0 => 0,
            1 => self.random.random_range(0..life),
            _ => (asked_at + life - 1).saturating_sub(now + back),
        };
        self.add(now + back + held_up, Event::Sends { asked_at });
    }

    fn sends(&mut self, asked_at: u64, now: u64) {
        if now >= asked_at + START_PERMIT_TTL.as_micros() as u64 {
            return;
        }
        let arrives = now + self.way();
        self.sends.push((now, arrives));
    }

    fn play(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= DAY {
                return;
            }
            match event {
                Event::Wants { node } => self.wants(node, now),
                Event::Asks {
                    issuer,
                    node,
                    asked_at,
                } => self.asks(issuer, node, asked_at, now),
                Event::Sends { asked_at } => self.sends(asked_at, now),
            }
        }
    }

    /// Most requests that were sent and arrived within one second.
    fn most_in_a_second(&self) -> usize {
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
    let comes = if random.random_bool(0.3) {
        random.random_range(0..DAY)
    } else {
        0
    };
    let goes = if random.random_bool(0.2) {
        random.random_range(comes..DAY)
    } else {
        u64::MAX
    };
    let restarts = if random.random_bool(0.3) {
        let mut restarts: Vec<u64> = (0..2).map(|_| random.random_range(comes..DAY)).collect();
        restarts.sort_unstable();
        restarts
    } else {
        Vec::new()
    };
    let cut_at = random.random_range(0..DAY);
    let cuts = if random.random_bool(0.4) {
        vec![(cut_at, cut_at + random.random_range(0..5 * SECOND))]
    } else {
        Vec::new()
    };
    Node {
        address,
        comes,
        goes,
        restarts,
        cuts,
        starts: PermitIssuer::new(time(comes)),
        lives: 0,
    }
}

#[test]
fn a_cold_worker_never_gets_more_in_a_second_than_it_may() {
    let mut sent = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        world.play();
        let most = world.most_in_a_second();
        let bound = world.bound.max_in_one_second;
        assert!(
            most as f64 <= bound,
            "seed {seed}: {most} in a second, {bound} allowed"
        );
        sent += world.sends.len();
    }
    println!("{sent} requests were sent on {SEEDS} days");
}

#[test]
fn what_the_bound_allows_is_used() {
    let bound = ColdBound::new(Duration::from_secs(3), 5.5, 1.5, 5.0);
    let mut issuers = [
        PermitIssuer::new(Duration::ZERO),
        PermitIssuer::new(Duration::ZERO),
    ];
    let from = Duration::from_secs(10);
    let mut sent = 0_u32;
    for step in 0..3_000 {
        let now = from + Duration::from_millis(step);
        for (rank, issuer) in issuers.iter_mut().enumerate() {
            sent += u32::from(issuer.issue_permit(WORKER, &bound, rank, now).is_ok());
        }
    }
    let bears = 5.5 * 3.0;
    assert!(
        f64::from(sent) >= bears,
        "{sent} starts in three seconds, {bears} borne"
    );
}

/// All that is handed out within a second and the life of a start may be sent within one second.
#[test]
fn no_more_than_the_bound_is_handed_out_for_any_one_second() {
    let window = Duration::from_secs(1) + START_PERMIT_TTL;
    for bears in [1.0, 5.5, 20.0, 60.0] {
        for requests in [0.0, 2.0, 5.0, 12.0] {
            let bound = ColdBound::new(Duration::from_secs(3), bears, 1.5, requests);
            let mut issuers = [
                PermitIssuer::new(Duration::ZERO),
                PermitIssuer::new(Duration::ZERO),
            ];
            let mut handed_out = Vec::new();
            for step in 0..6_000 {
                let now = Duration::from_secs(10) + Duration::from_millis(step);
                for (rank, issuer) in issuers.iter_mut().enumerate() {
                    while issuer.issue_permit(WORKER, &bound, rank, now).is_ok() {
                        handed_out.push(now);
                    }
                }
            }
            let within = |from: &Duration| {
                let times = handed_out.iter();
                times
                    .filter(|at| (*from..=*from + window).contains(at))
                    .count()
            };
            let most = handed_out.iter().map(within).max().unwrap_or_default();
            let allowed = bound.max_in_one_second;
            assert!(
                most as f64 <= allowed,
                "{most} within {window:?}, {allowed} allowed"
            );
        }
    }
}
