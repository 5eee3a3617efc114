//! Seeded simulations of gateways that count for one limit, with kills of some or all, planned
//! stops, pauses, network partitions, late records and slow reports. At every moment the recorded
//! jobs, whose callers were told that they were accepted, must hold no more tokens than the limit.

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
const RUN_LENGTH: Duration = Duration::from_secs(60);
/// Longest time from a decision to the record of the job, if its caller is told that it was
/// accepted.
const LONGEST_APPEND: Duration = Duration::from_millis(2_900);

/// A gateway process and its view of the limit.
struct Gateway {
    life: String,
    counter: Option<Counter>,
    /// The register as last read, and when that read began.
    read: Option<(Register, Duration)>,
    paused_until: Duration,
    /// When its planned stop ends the process, even if the stop is not complete.
    stops_at: Option<Duration>,
}

/// A job that was admitted and is not recorded yet.
struct Pending {
    job: String,
    tokens: u64,
    partition: u32,
    completes_at: Duration,
    admitted_by: String,
}

/// A job that is recorded.
struct RecordedJob {
    tokens: u64,
    partition: u32,
    recorded_at: Duration,
    finishes_at: Duration,
}

struct Simulation {
    random: StdRng,
    now: Duration,
    register: Option<Register>,
    gateways: Vec<Gateway>,
    pending: Vec<Pending>,
    recorded: BTreeMap<String, RecordedJob>,
    /// Until this time, the `isolated` gateways and the others do not reach each other.
    isolated_until: Duration,
    isolated: Vec<usize>,
    jobs: u64,
    lives: u64,
    accepted: u64,
    /// Proposed registers that mark a counter as stopped as planned.
    stops_seen: u64,
    /// Probabilities, per step, that a planned stop begins and that no fault is injected. With
    /// frequent faults, no gateway would know the outstanding tokens long enough to stop as
    /// planned.
    planned_stop_probability: f64,
    fault_free_probability: f64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let has_planned_stops = seed.is_multiple_of(2);
        let mut simulation = Self {
            random: StdRng::seed_from_u64(seed),
            now: Duration::from_secs(1_000),
            register: None,
            gateways: Vec::new(),
            pending: Vec::new(),
            recorded: BTreeMap::new(),
            isolated_until: Duration::ZERO,
            isolated: Vec::new(),
            jobs: 0,
            lives: 0,
            accepted: 0,
            stops_seen: 0,
            planned_stop_probability: if has_planned_stops { 0.01 } else { 0.0 },
            fault_free_probability: if has_planned_stops { 0.8 } else { 0.0 },
        };
        for _ in 0..GATEWAYS {
            let gateway = simulation.new_life();
            simulation.gateways.push(gateway);
        }
        simulation
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
        let is_partitioned = self.now < self.isolated_until;
        !is_partitioned || self.isolated.contains(&one) == self.isolated.contains(&other)
    }

    fn is_awake(&self, gateway: usize) -> bool {
        self.now >= self.gateways[gateway].paused_until
    }

    /// Reads the register at a gateway.
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

    /// Accepts the first register of each version, as the log does.
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

    /// Submits a job at a gateway.
    fn submit_job(&mut self, gateway: usize) {
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
        let Some(counter_gateway) = counter else {
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
        match self.decide(counter_gateway, &job, partition, tokens) {
            Some(Decision::Admitted) => self.record_later(job, partition, tokens, counter_gateway),
            Some(Decision::Unverified) => self.read(counter_gateway),
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

    fn record_later(&mut self, job: String, partition: u32, tokens: u64, counter_gateway: usize) {
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
            completes_at: self.now + took,
            admitted_by: self.gateways[counter_gateway].life.clone(),
        });
    }

    /// Completes due appends; the callers are told that the jobs were accepted.
    fn complete_appends(&mut self) {
        let now = self.now;
        let completed = self.pending.extract_if(.., |it| it.completes_at <= now);
        for pending in completed.collect::<Vec<_>>() {
            let runs = Duration::from_millis(self.random.random_range(500..20_000));
            let recorded = RecordedJob {
                tokens: pending.tokens,
                partition: pending.partition,
                recorded_at: now,
                finishes_at: now + runs,
            };
            self.recorded.insert(pending.job.clone(), recorded);
            self.accepted += 1;
            // The confirmation is sometimes lost.
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
        self.recorded.retain(|_, job| job.finishes_at > now);
    }

    /// Sends the holders' reports to the counters; some holders stay silent.
    fn report(&mut self) {
        for partition in 0..PARTITIONS {
            if self.random.random_bool(0.1) {
                continue;
            }
            // The data that a holder has read may be this old.
            let behind = STEP * self.random.random_range(0..20);
            let as_of = self.now.saturating_sub(behind);
            let of_partition = self.recorded.values();
            let of_partition = of_partition.filter(|job| job.partition == partition);
            let known = of_partition.filter(|job| job.recorded_at <= as_of);
            let tokens = known.map(|job| job.tokens).sum();
            let partition_tokens = PartitionTokens {
                partition,
                tokens,
                end: as_of.as_millis() as u64,
                as_of,
            };
            for gateway in 0..GATEWAYS {
                let reached = self.is_awake(gateway) && self.reach(0, gateway);
                if reached && let Some(counter) = &mut self.gateways[gateway].counter {
                    counter.apply_report(partition_tokens);
                }
            }
        }
    }

    /// Lets counters read the register from time to time and change it.
    fn maintain_register(&mut self) {
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
            // The proposal is sometimes lost, and so is its answer.
            if self.random.random_bool(0.9) {
                self.propose(proposal);
            }
            if self.random.random_bool(0.9) {
                self.read(gateway);
            }
        }
    }

    /// Starts planned stops, and replaces each stopped gateway by a new process.
    fn run_planned_stops(&mut self) {
        for gateway in 0..GATEWAYS {
            if self.is_awake(gateway)
                && self.gateways[gateway]
                    .stops_at
                    .is_some_and(|at| self.now >= at)
            {
                self.gateways[gateway] = self.new_life();
            }
        }
        if self.random.random_bool(self.planned_stop_probability) {
            let counts = self.register.as_ref().map(|register| &register.counter);
            let counter_gateway = (0..GATEWAYS).find(|it| Some(&self.gateways[*it].life) == counts);
            let any = self.random.random_range(0..GATEWAYS);
            let gateway = counter_gateway.filter(|_| any % 2 == 0).unwrap_or(any);
            let time = Duration::from_millis(self.random.random_range(50..2_000));
            let gateway = &mut self.gateways[gateway];
            gateway.stops_at.get_or_insert(self.now + time);
            if let Some(counter) = &mut gateway.counter {
                counter.stop();
            }
        }
    }

    fn inject_faults(&mut self) {
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
            self.isolated = (0..count).collect();
            let time = Duration::from_millis(self.random.random_range(100..6_000));
            self.isolated_until = self.now + time;
        }
    }

    fn run(&mut self, seed: u64) {
        let end = self.now + RUN_LENGTH;
        while self.now < end {
            self.now += STEP;
            if !self.random.random_bool(self.fault_free_probability) {
                self.inject_faults();
            }
            self.run_planned_stops();
            self.complete_appends();
            let recorded_tokens: u64 = self.recorded.values().map(|job| job.tokens).sum();
            assert!(
                recorded_tokens <= LIMIT,
                "seed {seed}: {recorded_tokens} tokens recorded at {:?}",
                self.now
            );
            if self.random.random_bool(0.4) {
                self.report();
            }
            self.maintain_register();
            for _ in 0..self.random.random_range(0..4) {
                let gateway = self.random.random_range(0..GATEWAYS);
                self.submit_job(gateway);
            }
        }
    }
}

#[test]
fn recorded_jobs_stay_within_the_limit_despite_kills_pauses_and_restarts() {
    let (mut accepted, mut stops_seen) = (0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        simulation.run(seed);
        accepted += simulation.accepted;
        stops_seen += simulation.stops_seen;
    }
    // If the load never came near the limit, the simulation would prove nothing.
    assert!(accepted / SEEDS > 20, "{accepted} jobs accepted in all");
    assert!(stops_seen > SEEDS / 2, "{stops_seen} planned stops");
    println!(
        "{} jobs per seed, {stops_seen} planned stops",
        accepted / SEEDS
    );
}
