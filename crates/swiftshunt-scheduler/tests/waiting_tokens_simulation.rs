//! Gateways that count for one limit, seeded: kills of some or all, planned stops, pauses, gateways that do not reach each other,
//! records that land late, slow reports. At every moment the jobs whose callers were told that they were taken hold
//! no more than the limit.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use swiftshunt_scheduler::waiting_tokens::{
    AdmissionRequest, Counter, Decision, GRANT_LIFETIME, PartitionTokens, Register,
};

const LIMIT: u64 = 10_000;
const PARTITIONS: u32 = 4;
const GATEWAYS: usize = 5;
const SEEDS: u64 = 3_000;
const STEP: Duration = Duration::from_millis(50);
const DAY: Duration = Duration::from_secs(60);
/// Longest time from a decision to the record of the job, for one whose caller is told that it was taken.
const LONGEST_APPEND: Duration = Duration::from_millis(2_900);

/// A gateway: its life, and what it knows of the limit.
struct Gateway {
    life: String,
    counter: Option<Counter>,
    /// The register that it has read last, and when that read began.
    read: Option<(Register, Duration)>,
    paused_until: Duration,
    /// When a planned stop ends it, whatever it has reached.
    stops_at: Option<Duration>,
}

/// A job that was admitted and is not recorded yet.
struct Pending {
    job: String,
    tokens: u64,
    partition: u32,
    lands_at: Duration,
    admitted_by: String,
}

/// A job whose record stands.
struct Standing {
    tokens: u64,
    partition: u32,
    recorded_at: Duration,
    finishes_at: Duration,
}

struct Day {
    random: StdRng,
    now: Duration,
    register: Option<Register>,
    gateways: Vec<Gateway>,
    pending: Vec<Pending>,
    standing: BTreeMap<String, Standing>,
    /// Pairs of gateways that do not reach each other until then.
    cut_until: Duration,
    cut: Vec<usize>,
    jobs: u64,
    lives: u64,
    taken: u64,
    /// Registers that were to say that a gateway had stopped by plan.
    stops_seen: u64,
    /// How likely a step begins a planned stop, and that nothing else befalls the gateways in it: troubles that
    /// follow each other leave no gateway that knows what stands.
    planned_stops: f64,
    quiet_steps: f64,
}

impl Day {
    fn new(seed: u64) -> Self {
        let has_planned_stops = seed.is_multiple_of(2);
        let mut day = Self {
            random: StdRng::seed_from_u64(seed),
            now: Duration::from_secs(1_000),
            register: None,
            gateways: Vec::new(),
            pending: Vec::new(),
            standing: BTreeMap::new(),
            cut_until: Duration::ZERO,
            cut: Vec::new(),
            jobs: 0,
            lives: 0,
            taken: 0,
            stops_seen: 0,
            planned_stops: if has_planned_stops { 0.01 } else { 0.0 },
            quiet_steps: if has_planned_stops { 0.8 } else { 0.0 },
        };
        for _ in 0..GATEWAYS {
            let gateway = day.new_life();
            day.gateways.push(gateway);
        }
        day
    }

    fn new_life(&mut self) -> Gateway {
        self.lives += 1;
        Gateway {
            life: format!("life-{}", self.lives),
            counter: None,
            read: None,
            paused_until: Duration::ZERO,
            stops_at: None,
        }
    }

    fn reach(&self, one: usize, other: usize) -> bool {
        let is_cut = self.now < self.cut_until;
        !is_cut || self.cut.contains(&one) == self.cut.contains(&other)
    }

    fn is_awake(&self, gateway: usize) -> bool {
        self.now >= self.gateways[gateway].paused_until
    }

    /// A gateway reads the register.
    fn read(&mut self, gateway: usize) {
        let now = self.now;
        let Some(register) = self.register.clone() else {
            return;
        };
        let gateway = &mut self.gateways[gateway];
        gateway.read = Some((register.clone(), now));
        if register.counter == gateway.life {
            if register.is_stopped {
                gateway.counter = None;
                return;
            }
            match &mut gateway.counter {
                Some(counter) => counter.confirm_register(register, now, now),
                None => {
                    gateway.counter = Some(Counter::new(register, LIMIT, now, now, PARTITIONS));
                }
            }
        } else if register.known_to.as_ref() != Some(&gateway.life) {
            gateway.counter = None;
        }
    }

    /// The log takes the first register of each version.
    fn propose(&mut self, proposal: Register) {
        let newest = self.register.as_ref().map_or(0, |it| it.version);
        if proposal.version > newest {
            self.register = Some(proposal);
        }
    }

    fn take_over(&mut self, gateway: usize) {
        if self.gateways[gateway].stops_at.is_some() {
            return;
        }
        self.read(gateway);
        let life = self.gateways[gateway].life.clone();
        let is_settled = self.gateways[gateway]
            .counter
            .as_ref()
            .is_some_and(Counter::is_settled);
        let proposal = match &self.register {
            None => Register::first(&life, LIMIT),
            Some(register) if register.counter == life => return,
            Some(register) if is_settled && register.known_to.as_ref() == Some(&life) => {
                register.taken_back(&life)
            }
            Some(register) => register.taken_over(&life, LIMIT),
        };
        self.propose(proposal);
        self.read(gateway);
    }

    /// A caller hands in a job at a gateway.
    fn hand_in(&mut self, gateway: usize) {
        if !self.is_awake(gateway) {
            return;
        }
        if self.gateways[gateway].read.is_none() {
            self.read(gateway);
        }
        let Some((register, _)) = self.gateways[gateway].read.clone() else {
            self.take_over(gateway);
            return;
        };
        if register.is_stopped {
            self.take_over(gateway);
            return;
        }
        let counter = (0..GATEWAYS).find(|other| {
            let reached = self.is_awake(*other) && self.reach(gateway, *other);
            reached && self.gateways[*other].life == register.counter
        });
        let Some(counting) = counter else {
            self.read(gateway);
            let newest = self.register.as_ref().map(|it| it.version);
            if newest == Some(register.version) {
                self.take_over(gateway);
            }
            return;
        };
        let tokens = self.random.random_range(100..2_500);
        let partition = self.random.random_range(0..PARTITIONS);
        self.jobs += 1;
        let job = format!("job-{}", self.jobs);
        match self.decide(counting, &job, partition, tokens) {
            Some(Decision::Admitted) => self.record_later(job, partition, tokens, counting),
            Some(Decision::Unverified) => self.read(counting),
            Some(Decision::Lost) => self.take_over(gateway),
            Some(Decision::Full | Decision::Settling(_)) => {}
            None => self.read(gateway),
        }
    }

    fn decide(
        &mut self,
        gateway: usize,
        job: &str,
        partition: u32,
        tokens: u64,
    ) -> Option<Decision> {
        let now = self.now;
        let gateway = &mut self.gateways[gateway];
        let (register, _) = gateway.read.as_ref()?;
        if register.counter != gateway.life {
            return None;
        }
        let request = AdmissionRequest {
            job,
            partition,
            tokens,
            limit: LIMIT,
        };
        Some(gateway.counter.as_mut()?.decide(&request, now))
    }

    fn record_later(&mut self, job: String, partition: u32, tokens: u64, counting: usize) {
        let is_slow = self.random.random_bool(0.2);
        let longest = if is_slow {
            LONGEST_APPEND
        } else {
            Duration::from_millis(100)
        };
        let took = longest.mul_f64(self.random.random_range(0.0..1.0));
        assert!(took < GRANT_LIFETIME);
        self.pending.push(Pending {
            job,
            tokens,
            partition,
            lands_at: self.now + took,
            admitted_by: self.gateways[counting].life.clone(),
        });
    }

    /// Records land, and their callers are told that the jobs were taken.
    fn land(&mut self) {
        let now = self.now;
        let landed = self.pending.extract_if(.., |it| it.lands_at <= now);
        for pending in landed.collect::<Vec<_>>() {
            let runs = Duration::from_millis(self.random.random_range(500..20_000));
            let standing = Standing {
                tokens: pending.tokens,
                partition: pending.partition,
                recorded_at: now,
                finishes_at: now + runs,
            };
            self.standing.insert(pending.job.clone(), standing);
            self.taken += 1;
            // Word of it is lost at times.
            if self.random.random_bool(0.8)
                && let Some(gateway) = self
                    .gateways
                    .iter_mut()
                    .find(|it| it.life == pending.admitted_by)
                && let Some(counter) = &mut gateway.counter
            {
                counter.mark_recorded(&pending.job, now);
            }
        }
        self.standing.retain(|_, job| job.finishes_at > now);
    }

    /// Holders report to whoever counts, each a while ago; some stay silent.
    fn report(&mut self) {
        for partition in 0..PARTITIONS {
            if self.random.random_bool(0.1) {
                continue;
            }
            // What a holder has read may be as old as this.
            let behind = STEP * self.random.random_range(0..20);
            let as_of = self.now.saturating_sub(behind);
            let of_partition = self.standing.values();
            let of_partition = of_partition.filter(|job| job.partition == partition);
            let known = of_partition.filter(|job| job.recorded_at <= as_of);
            let tokens = known.map(|job| job.tokens).sum();
            let holding = PartitionTokens {
                partition,
                tokens,
                end: as_of.as_millis() as u64,
                as_of,
            };
            for gateway in 0..GATEWAYS {
                let reached = self.is_awake(gateway) && self.reach(0, gateway);
                if reached && let Some(counter) = &mut self.gateways[gateway].counter {
                    counter.apply_report(holding);
                }
            }
        }
    }

    /// Gateways that count read the register now and then, and change it.
    fn attend(&mut self) {
        for gateway in 0..GATEWAYS {
            if !self.is_awake(gateway) || self.gateways[gateway].counter.is_none() {
                continue;
            }
            if self.random.random_bool(0.3) {
                self.read(gateway);
            }
            let (life, read) = (&self.gateways[gateway].life, &self.gateways[gateway].read);
            let is_counting = read.as_ref().is_some_and(|(it, _)| it.counter == *life);
            let counter = self.gateways[gateway].counter.as_mut();
            if !is_counting {
                if self.random.random_bool(0.1) {
                    self.take_over(gateway);
                }
                continue;
            }
            let now = self.now;
            let proposal = counter.and_then(|counter| {
                let wanted = counter
                    .next_change()
                    .map(|change| change.register().clone());
                wanted.or_else(|| counter.stopped_register(now))
            });
            let Some(proposal) = proposal else {
                continue;
            };
            self.stops_seen += u64::from(proposal.is_stopped);
            // A proposal is lost at times, or its answer is.
            if self.random.random_bool(0.9) {
                self.propose(proposal);
            }
            if self.random.random_bool(0.9) {
                self.read(gateway);
            }
        }
    }

    /// Planned stops begin, and end with a new life.
    fn stop_by_plan(&mut self) {
        for gateway in 0..GATEWAYS {
            if self.is_awake(gateway)
                && self.gateways[gateway]
                    .stops_at
                    .is_some_and(|at| self.now >= at)
            {
                self.gateways[gateway] = self.new_life();
            }
        }
        if self.random.random_bool(self.planned_stops) {
            let counts = self.register.as_ref().map(|register| &register.counter);
            let counting = (0..GATEWAYS).find(|it| Some(&self.gateways[*it].life) == counts);
            let any = self.random.random_range(0..GATEWAYS);
            let gateway = counting.filter(|_| any % 2 == 0).unwrap_or(any);
            let time = Duration::from_millis(self.random.random_range(50..2_000));
            let gateway = &mut self.gateways[gateway];
            gateway.stops_at.get_or_insert(self.now + time);
            if let Some(counter) = &mut gateway.counter {
                counter.stop();
            }
        }
    }

    fn trouble(&mut self) {
        if self.random.random_bool(0.01) {
            let gateway = self.random.random_range(0..GATEWAYS);
            self.gateways[gateway] = self.new_life();
        }
        if self.random.random_bool(0.003) {
            for gateway in 0..GATEWAYS {
                self.gateways[gateway] = self.new_life();
            }
        }
        if self.random.random_bool(0.01) {
            let gateway = self.random.random_range(0..GATEWAYS);
            let time = Duration::from_millis(self.random.random_range(100..8_000));
            self.gateways[gateway].paused_until = self.now + time;
        }
        if self.random.random_bool(0.005) {
            let count = self.random.random_range(1..GATEWAYS);
            self.cut = (0..count).collect();
            let time = Duration::from_millis(self.random.random_range(100..6_000));
            self.cut_until = self.now + time;
        }
    }

    fn play(&mut self, seed: u64) {
        let end = self.now + DAY;
        while self.now < end {
            self.now += STEP;
            if !self.random.random_bool(self.quiet_steps) {
                self.trouble();
            }
            self.stop_by_plan();
            self.land();
            let stands: u64 = self.standing.values().map(|job| job.tokens).sum();
            assert!(stands <= LIMIT, "seed {seed}: {stands} at {:?}", self.now);
            if self.random.random_bool(0.4) {
                self.report();
            }
            self.attend();
            for _ in 0..self.random.random_range(0..4) {
                let gateway = self.random.random_range(0..GATEWAYS);
                self.hand_in(gateway);
            }
        }
    }
}

#[test]
fn no_more_stands_than_the_limit_whoever_dies_sleeps_or_comes_back() {
    let (mut taken, mut stops_seen) = (0, 0);
    for seed in 0..SEEDS {
        let mut day = Day::new(seed);
        day.play(seed);
        taken += day.taken;
        stops_seen += day.stops_seen;
    }
    // A day whose load never comes near the limit proves nothing.
    assert!(taken / SEEDS > 20, "{taken} jobs taken in all");
    assert!(stops_seen > SEEDS / 2, "{stops_seen} planned stops");
    println!("{} jobs a day, {stops_seen} planned stops", taken / SEEDS);
}
