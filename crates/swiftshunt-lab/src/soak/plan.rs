//! What a round of the soak plays: drawn from a seed, written out before it starts.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::platform::caller::ITEM_TOKENS;
use crate::platform::store::{StoreFaults, StoreOutage};
use crate::platform::worker::WorkerBehaviour;
use crate::proxy::Fault;

/// Time without faults at the beginning: gateways hear of each other.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time without faults before the load ends.
const FAULT_FREE_END: Duration = Duration::from_secs(7);
/// Faults of a round, a minute.
const FAULTS_PER_MINUTE: std::ops::Range<u32> = 12..36;
/// Shortest and longest fault, in milliseconds: from less than a time-out to more than a lease.
const FAULT_DURATION_MS: std::ops::Range<u64> = 150..6_000;
/// Delay after an acknowledgement of faults that come at the worst moment, in milliseconds.
const TRIGGER_DELAY_MS: std::ops::Range<u64> = 0..12;

/// Zones of a round in two regions.
pub const ZONES: usize = 2;
/// Keeps what is drawn for two regions apart from the rest of a round.
const REGIONS_SEED_MASK: u64 = 0x7265_6769_6f6e_7321;
/// The same for limits, which do not change what else is drawn from a seed.
const QUEUE_LIMIT_SEED_MASK: u64 = 0x6c69_6d69_7473;
/// Delay of the link between regions, one way, in milliseconds.
const LINK_DELAY_MS: std::ops::Range<u64> = 5..60;
/// Its width, in bytes a second.
const LINK_BYTES_PER_S: std::ops::Range<u64> = 500_000..8_000_000;
/// How long a worker is cold, in milliseconds.
const COLD_DURATION_MS: std::ops::Range<u64> = 3_000..8_000;
/// Evacuations of a round.
const EVACUATION_COUNT: usize = 2;
/// How long one lasts, in milliseconds: beyond the time to obey it.
const EVACUATION_DURATION_MS: std::ops::Range<u64> = 6_000..12_000;

/// A round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// Workers of each service.
    pub workers: usize,
    /// Slots of each worker.
    pub slots: usize,
    /// How long load is sent.
    pub load_ms: u64,
    /// Online requests a second at the foot of a wave.
    pub requests_per_s: f64,
    /// A wave's height: so many times the foot.
    pub wave_height: f64,
    /// From one wave to the next.
    pub wave_ms: u64,
    /// From one burst of jobs to the next.
    pub job_burst_interval_ms: u64,
    /// Jobs of a burst.
    pub jobs_per_burst: usize,
    /// Items of a job.
    pub job_items: usize,
    /// What goes wrong.
    pub faults: Vec<ScheduledFault>,
    /// Two regions; all stands in one zone without.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<TwoRegions>,
    /// How workers begin; at once with all their might without.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStarts>,
    /// The limit of what may wait on the batch route; none without.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "waiting_limit")]
    pub queue_limit: Option<QueueLimit>,
}

/// A limit of what may wait on the batch route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLimit {
    /// Tokens of unfinished items.
    pub tokens: u64,
    /// Whether the configuration tells of it. Shows that a check looks.
    #[serde(rename = "is_told")]
    pub is_announced: bool,
}

/// Two regions and the link between the store and the gateways of the other region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TwoRegions {
    /// Time from one end to the other, in milliseconds.
    pub delay_ms: u64,
    /// Bytes a second, for all gateways together.
    pub bytes_per_s: u64,
    /// Whether entries of workers tell where they stand; else each names the first zone. Shows that a check looks.
    #[serde(rename = "is_told")]
    pub is_announced: bool,
}

/// Workers that start during the load are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStarts {
    /// Requests that such a worker bears a second.
    pub per_second: f64,
    /// For how long.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: u64,
    /// Whether their entries and the configuration tell of it. Shows that a check looks.
    #[serde(rename = "is_told")]
    pub is_announced: bool,
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// When, from the start of the load.
    pub at_ms: u64,
    /// Waits, from then on, for the next of these, and comes this much later.
    #[serde(default)]
    pub after: Option<(Trigger, u64)>,
    /// How long it lasts.
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    /// What.
    pub disruption: Disruption,
}

/// What a fault may follow at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trigger {
    /// A job was accepted.
    JobAccepted,
    /// The end of a job was acknowledged.
    #[serde(rename = "job_ended")]
    JobCancelled,
    /// A configuration was acknowledged.
    Configured,
    /// Partitions were dealt anew.
    #[serde(rename = "dealt_anew")]
    Rebalanced,
    /// A gateway was told to stop.
    PlannedStop,
}

/// The end of a link behind the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxiedLink {
    /// From a gateway to the store.
    Store(usize),
    /// From callers to a gateway.
    Callers(usize),
    /// From all gateways to a worker of the service of whole answers.
    Whole(usize),
    /// From all gateways to an engine.
    Engine(usize),
}

/// A service of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// Whole answers.
    Whole,
    /// Streams and batch items.
    Engine,
}

/// What goes wrong, or is done on purpose.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disruption {
    /// SIGKILL; started again when the fault ends.
    KillGateway(usize),
    /// SIGKILL of all, started again when the fault ends.
    KillAllGateways,
    /// SIGSTOP, and SIGCONT when the fault ends.
    PauseGateway(usize),
    /// SIGTERM; started again once it has ended.
    StopGateway(usize),
    /// SIGHUP with a settings file that can be read, or cannot.
    HangUp {
        /// The gateway.
        gateway: usize,
        /// Whether the file can be read.
        readable: bool,
    },
    /// SIGKILL of a worker; its entry goes, and another comes when the fault ends.
    CrashWorker {
        /// Its service.
        service: Service,
        /// Which.
        index: usize,
        /// Whether the new one has the old one's address.
        same_address: bool,
    },
    /// SIGSTOP of a worker, and SIGCONT when the fault ends.
    PauseWorker {
        /// Its service.
        service: Service,
        /// Which.
        index: usize,
    },
    /// A worker leaves as planned, and another comes.
    DrainWorker {
        /// Its service.
        service: Service,
        /// Which.
        index: usize,
    },
    /// A worker serves badly.
    WorkerManner {
        /// Its service.
        service: Service,
        /// Which.
        index: usize,
        /// How.
        manner: WorkerBehaviour,
    },
    /// All workers of a service serve badly.
    ServiceManner {
        /// The service.
        service: Service,
        /// How.
        manner: WorkerBehaviour,
    },
    /// The store misbehaves for some gateways, or for all if none is named.
    Store {
        /// For whom.
        gateways: Vec<usize>,
        /// How.
        faults: StoreFaults,
    },
    /// The store drops its history.
    DropHistory,
    /// The store deals the partitions anew.
    #[serde(rename = "deal_anew")]
    Rebalance,
    /// A link misbehaves.
    Link {
        /// Which.
        link: ProxiedLink,
        /// How.
        fault: Fault,
    },
    /// The operator publishes a configuration.
    Configure,
    /// The operator evacuates a zone, and withdraws that when the fault ends.
    Evacuate {
        /// Its number.
        zone: usize,
    },
}

impl Plan {
    /// Draws a round of `minutes` from a seed.
    pub fn draw(seed: u64, minutes: f64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let load_ms = (minutes * 60_000.0) as u64;
        let gateways = random.random_range(3..=6);
        let workers = random.random_range(2..=4);
        let mut plan = Self {
            seed,
            gateways,
            workers,
            slots: random.random_range(2..=10),
            load_ms,
            requests_per_s: hundredths(1_500..4_000, &mut random),
            wave_height: hundredths(100..800, &mut random),
            wave_ms: random.random_range(3_000..10_000),
            job_burst_interval_ms: random.random_range(1_500..5_000),
            jobs_per_burst: random.random_range(1..=4),
            job_items: random.random_range(4..=24),
            faults: Vec::new(),
            regions: None,
            cold: None,
            queue_limit: None,
        };
        plan.queue_limit = plan.draw_queue_limit();
        let count = f64::from(random.random_range(FAULTS_PER_MINUTE)) * minutes;
        plan.faults = (0..count.ceil() as u32)
            .map(|_| plan.draw_scheduled_fault(&mut random))
            .collect();
        plan.faults.sort_by_key(|step| step.at_ms);
        plan
    }

    /// The same round in two regions with a thin, slow link between them, with workers that start cold, and zones
    /// that are evacuated.
    pub fn in_two_regions(mut self) -> Self {
        let mut random = StdRng::seed_from_u64(self.seed ^ REGIONS_SEED_MASK);
        self.regions = Some(TwoRegions {
            delay_ms: random.random_range(LINK_DELAY_MS),
            bytes_per_s: random.random_range(LINK_BYTES_PER_S),
            is_announced: true,
        });
        self.cold = Some(ColdStarts {
            per_second: hundredths(200..1_000, &mut random),
            duration_ms: random.random_range(COLD_DURATION_MS),
            is_announced: true,
        });
        let first = random.random_range(0..ZONES);
        // Of different zones: the withdrawal of one ends all evacuations of its zone.
        let evacuations = (0..EVACUATION_COUNT.min(ZONES)).map(|number| ScheduledFault {
            disruption: Disruption::Evacuate {
                zone: (first + number) % ZONES,
            },
            duration_ms: random.random_range(EVACUATION_DURATION_MS),
            after: None,
            at_ms: random.random_range(WARM_UP.as_millis() as u64..self.load_ms),
        });
        self.faults.extend(evacuations);
        for service in [Service::Whole, Service::Engine] {
            self.faults.push(ScheduledFault {
                disruption: Disruption::CrashWorker {
                    service,
                    index: random.random_range(0..self.workers),
                    same_address: false,
                },
                duration_ms: random.random_range(FAULT_DURATION_MS),
                after: None,
                at_ms: random.random_range(WARM_UP.as_millis() as u64..self.load_ms / 2),
            });
        }
        self.faults.sort_by_key(|step| step.at_ms);
        self
    }

    /// In half of the rounds a limit near the load: of a job up to two bursts.
    fn draw_queue_limit(&self) -> Option<QueueLimit> {
        let mut random = StdRng::seed_from_u64(self.seed ^ QUEUE_LIMIT_SEED_MASK);
        let jobs = random.random_range(1..=2 * self.jobs_per_burst);
        random.random_bool(0.5).then(|| QueueLimit {
            tokens: ITEM_TOKENS * (self.job_items * jobs) as u64,
            is_announced: true,
        })
    }

    fn draw_scheduled_fault(&self, random: &mut StdRng) -> ScheduledFault {
        let first = WARM_UP.as_millis() as u64;
        let last = self
            .load_ms
            .saturating_sub(FAULT_FREE_END.as_millis() as u64)
            .max(first + 1);
        let at_ms = random.random_range(first..last);
        let max_duration = FAULT_DURATION_MS
            .end
            .min(last - at_ms)
            .max(FAULT_DURATION_MS.start + 1);
        let triggers = [
            Trigger::JobAccepted,
            Trigger::JobCancelled,
            Trigger::Configured,
            Trigger::Rebalanced,
            Trigger::PlannedStop,
        ];
        let after = random.random_bool(0.3).then(|| {
            let trigger = *triggers.choose(random).unwrap_or(&Trigger::JobAccepted);
            (trigger, random.random_range(TRIGGER_DELAY_MS))
        });
        ScheduledFault {
            at_ms,
            after,
            duration_ms: random.random_range(FAULT_DURATION_MS.start..max_duration),
            disruption: self.draw_disruption(random),
        }
    }

    fn draw_disruption(&self, random: &mut StdRng) -> Disruption {
        let gateway = random.random_range(0..self.gateways);
        let index = random.random_range(0..self.workers);
        let service = if random.random_bool(0.6) {
            Service::Engine
        } else {
            Service::Whole
        };
        match random.random_range(0..26) {
            0..=2 => Disruption::KillGateway(gateway),
            3 => Disruption::KillAllGateways,
            4..=5 => Disruption::PauseGateway(gateway),
            6..=7 => Disruption::StopGateway(gateway),
            8 => Disruption::HangUp {
                gateway,
                readable: random.random_bool(0.5),
            },
            9..=10 => Disruption::CrashWorker {
                service,
                index,
                same_address: random.random_bool(0.4),
            },
            11 => Disruption::PauseWorker { service, index },
            12 => Disruption::DrainWorker { service, index },
            13..=14 => Disruption::WorkerManner {
                service,
                index,
                manner: draw_manner(service, random),
            },
            15..=17 => Disruption::Store {
                gateways: self.draw_gateways(random),
                faults: draw_store_faults(random),
            },
            18 => Disruption::DropHistory,
            19 => Disruption::Rebalance,
            20..=21 => Disruption::Link {
                link: draw_link(gateway, index, random),
                fault: draw_link_fault(random),
            },
            22 => Disruption::ServiceManner {
                service,
                manner: draw_manner(service, random),
            },
            _ => Disruption::Configure,
        }
    }

    /// Some of the gateways, or none for all of them.
    fn draw_gateways(&self, random: &mut StdRng) -> Vec<usize> {
        if random.random_bool(0.5) {
            return Vec::new();
        }
        (0..self.gateways)
            .filter(|_| random.random_bool(0.4))
            .collect()
    }
}

/// A number with two decimals: it is the same when a written plan is read again.
fn hundredths(range: std::ops::Range<u32>, random: &mut StdRng) -> f64 {
    f64::from(random.random_range(range)) / 100.0
}

fn draw_manner(service: Service, random: &mut StdRng) -> WorkerBehaviour {
    let delayed = WorkerBehaviour::DelayAnswer(Duration::from_millis(random.random_range(50..2_500)));
    let truncated = WorkerBehaviour::TruncateStreamAfter(random.random_range(0..6));
    let common = [
        WorkerBehaviour::Hang,
        WorkerBehaviour::HangEverySecond,
        delayed,
        WorkerBehaviour::CloseWithoutAnswer,
        WorkerBehaviour::Decline,
        WorkerBehaviour::AnswerOtherRequestId,
        WorkerBehaviour::Unsigned,
        WorkerBehaviour::RunAndAnswer503,
    ];
    match service {
        // Engines do not fail items: then giving one up is a fault of the gateways.
        Service::Engine if random.random_bool(0.3) => truncated,
        Service::Whole if random.random_bool(0.2) => WorkerBehaviour::Fail,
        _ => *common.choose(random).unwrap_or(&WorkerBehaviour::Hang),
    }
}

fn draw_store_faults(random: &mut StdRng) -> StoreFaults {
    let mut faults = StoreFaults::default();
    match random.random_range(0..6) {
        0 => faults.outage = Some(StoreOutage::Unresponsive),
        1 => faults.outage = Some(StoreOutage::Busy),
        2 => faults.outage = Some(StoreOutage::Reset),
        3 => faults.delay = Duration::from_millis(random.random_range(20..600)),
        4 => faults.hang_reads = true,
        _ => {
            faults.lost_answer_probability = hundredths(10..70, random);
            faults.lost_append_delay = Duration::from_millis(random.random_range(0..3_000));
        }
    }
    faults
}

fn draw_link(gateway: usize, index: usize, random: &mut StdRng) -> ProxiedLink {
    match random.random_range(0..4) {
        0 => ProxiedLink::Store(gateway),
        1 => ProxiedLink::Callers(gateway),
        2 => ProxiedLink::Whole(index),
        _ => ProxiedLink::Engine(index),
    }
}

fn draw_link_fault(random: &mut StdRng) -> Fault {
    match random.random_range(0..6) {
        0 => Fault::Delay(Duration::from_millis(random.random_range(5..400))),
        1 => Fault::Cut,
        2 => Fault::Freeze,
        3 => Fault::DropAnswers,
        4 => Fault::DropRequests,
        _ => Fault::Truncate,
    }
}
