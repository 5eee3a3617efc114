//! The plan of a round: load and faults, drawn from a seed and written to a file before the round starts.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::platform::caller::ITEM_TOKENS;
use crate::platform::store::{StoreFaults, StoreOutage};
use crate::platform::worker::{CutPlace, StreamCut, StreamFraming, WorkerBehaviour};
use crate::proxy::Fault;

/// Time without faults at the start of a round, in which the gateways discover each other.
pub(super) const WARM_UP: Duration = Duration::from_secs(4);
/// Time without faults at the end of the load. Faults that wait for a trigger, and those that
/// [`Plan::in_two_regions`] adds, may last into it.
pub(super) const FAULT_FREE_END: Duration = Duration::from_secs(7);
/// Number of faults per minute of a round.
const FAULTS_PER_MINUTE: std::ops::Range<u32> = 12..36;
/// Duration of a fault in milliseconds: from less than a time-out to more than a lease.
const FAULT_DURATION_MS: std::ops::Range<u64> = 150..6_000;
/// Delay between a trigger and its fault, in milliseconds. It is short, since the worst time for a fault is right
/// after an acknowledgement.
const TRIGGER_DELAY_MS: std::ops::Range<u64> = 0..12;

/// Number of zones of a round in two regions.
pub const ZONES: usize = 2;
/// XORed with the seed to draw the options of two regions, so that drawing them does not change the rest of the plan.
const REGIONS_SEED_MASK: u64 = 0x7265_6769_6f6e_7321;
/// XORed with the seed to draw the waiting limit, so that drawing it does not change the rest of the plan.
const WAITING_LIMIT_SEED_MASK: u64 = 0x6c69_6d69_7473;
/// One-way delay of the link between the regions, in milliseconds.
const LINK_DELAY_MS: std::ops::Range<u64> = 5..60;
/// Bandwidth of the link between the regions, in bytes per second.
const LINK_BYTES_PER_S: std::ops::Range<u64> = 500_000..8_000_000;
/// Time for which a worker is cold after its start, in milliseconds.
const COLD_DURATION_MS: std::ops::Range<u64> = 3_000..8_000;
/// Number of evacuations of a round.
const EVACUATION_COUNT: usize = 2;
/// Duration of an evacuation in milliseconds: longer than the time in which it must take effect.
const EVACUATION_DURATION_MS: std::ops::Range<u64> = 6_000..12_000;

/// The plan of a round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed that the plan was drawn from.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of workers of each service.
    pub workers: usize,
    /// Number of slots of each worker.
    pub slots: usize,
    /// Time for which requests and jobs are sent, in milliseconds.
    pub load_ms: u64,
    /// Online requests per second between two waves.
    pub requests_per_s: f64,
    /// Additional rate at the peak of a wave, as a multiple of `requests_per_s`.
    pub wave_height: f64,
    /// Time from one wave to the next, in milliseconds.
    pub wave_ms: u64,
    /// Time from one burst of jobs to the next, in milliseconds.
    pub job_burst_interval_ms: u64,
    /// Number of jobs in a burst.
    pub jobs_per_burst: usize,
    /// Number of items in a job.
    pub job_items: usize,
    /// Delay before each event of a batch item, in milliseconds; `None` for that of streams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub item_event_delay_ms: Option<u64>,
    /// Share of the online requests that are streams which their callers take up at another gateway.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub take_up_share: f64,
    /// The faults, in the order of their start times.
    pub faults: Vec<ScheduledFault>,
    /// The link between two regions; `None` if all processes are in one zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<TwoRegions>,
    /// Limits for workers that start during the load; `None` if these get requests at the full rate at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStarts>,
    /// Limit of waiting tokens on the batch route; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waiting_limit: Option<WaitingLimit>,
}

/// A limit of the tokens that may wait on the batch route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingLimit {
    /// Maximum number of tokens of unfinished items of accepted jobs.
    pub tokens: u64,
    /// Whether the configuration contains the limit. Tests set this to false and expect that the check finds
    /// violations.
    #[serde(rename = "is_told")]
    pub is_announced: bool,
}

/// Two regions and the link between the store and the gateways of the other region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TwoRegions {
    /// One-way delay of the link, in milliseconds.
    pub delay_ms: u64,
    /// Bandwidth of the link in bytes per second, shared by all gateways.
    pub bytes_per_s: u64,
    /// Whether the directory entries of workers contain their zones. Tests set this to false, so that all entries
    /// contain the first zone, and expect that the checks find violations.
    #[serde(rename = "is_told")]
    pub is_announced: bool,
}

/// Limits for workers that start during the load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStarts {
    /// Limit of the requests per second to a cold worker.
    pub per_second: f64,
    /// Time for which a worker is cold after its start, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: u64,
    /// Whether the directory entries of cold workers and the configuration contain the limits. Tests set this to false
    /// and expect that the check finds violations.
    #[serde(rename = "is_told")]
    pub is_announced: bool,
}

/// A fault and the time at which it starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Start in milliseconds from the start of the load.
    pub at_ms: u64,
    /// A trigger to wait for from `at_ms` on, and the delay after it in milliseconds; `None` to start at `at_ms`.
    #[serde(default)]
    pub after: Option<(Trigger, u64)>,
    /// Time in milliseconds until the fault is withdrawn. Faults that happen at once, such as a rebalance, ignore it. A
    /// drain lasts a fixed time and a quarter of this one.
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    /// What is done at the start of the fault, and withdrawn at its end.
    pub disruption: Disruption,
}

/// An event that a fault may wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trigger {
    /// A gateway accepted a job.
    JobAccepted,
    /// A gateway acknowledged the cancellation of a job.
    #[serde(rename = "job_ended")]
    JobCancelled,
    /// The store acknowledged a configuration.
    Configured,
    /// The store reassigned the partitions.
    #[serde(rename = "dealt_anew")]
    Rebalanced,
    /// SIGTERM was sent to a gateway.
    PlannedStop,
}

/// A link through the fault proxy, with the index of its gateway or worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxiedLink {
    /// From a gateway to the store.
    Store(usize),
    /// From callers to a gateway.
    Callers(usize),
    /// From all gateways to a worker of the service with unary responses.
    Whole(usize),
    /// From all gateways to a worker of the engine service.
    Engine(usize),
}

/// A service in the configuration of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// Requests with unary responses.
    Whole,
    /// Streams and batch items.
    Engine,
}

/// A fault, or an operation that is carried out under load. Gateways, workers and zones are given by index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disruption {
    /// SIGKILL of a gateway; it is restarted when the fault ends.
    KillGateway(usize),
    /// SIGKILL of all gateways; they are restarted when the fault ends.
    KillAllGateways,
    /// SIGSTOP of a gateway, and SIGCONT when the fault ends.
    PauseGateway(usize),
    /// SIGTERM of a gateway; it is restarted as soon as its process has exited.
    StopGateway(usize),
    /// SIGHUP of a gateway with a valid or an invalid settings file.
    HangUp {
        /// Index of the gateway.
        gateway: usize,
        /// Whether the settings file is valid.
        readable: bool,
    },
    /// SIGKILL of a worker; its directory entry is removed, and a new worker starts when the fault ends.
    CrashWorker {
        /// Service of the worker.
        service: Service,
        /// Index of the worker in its service.
        index: usize,
        /// Whether the new worker gets the address of the old one.
        same_address: bool,
    },
    /// SIGSTOP of a worker, and SIGCONT when the fault ends.
    PauseWorker {
        /// Service of the worker.
        service: Service,
        /// Index of the worker in its service.
        index: usize,
    },
    /// A worker is drained and replaced by a new one.
    DrainWorker {
        /// Service of the worker.
        service: Service,
        /// Index of the worker in its service.
        index: usize,
    },
    /// A worker misbehaves.
    WorkerManner {
        /// Service of the worker.
        service: Service,
        /// Index of the worker in its service.
        index: usize,
        /// The misbehaviour.
        manner: WorkerBehaviour,
    },
    /// All workers of a service misbehave.
    ServiceManner {
        /// The service.
        service: Service,
        /// The misbehaviour.
        manner: WorkerBehaviour,
    },
    /// The store misbehaves towards some gateways or all of them.
    Store {
        /// Affected gateways; all if empty.
        gateways: Vec<usize>,
        /// Faults of the store.
        faults: StoreFaults,
    },
    /// The store drops its earlier records.
    DropHistory,
    /// The store reassigns the partitions to the gateways.
    #[serde(rename = "deal_anew")]
    Rebalance,
    /// The proxy injects a fault into a link.
    Link {
        /// The link.
        link: ProxiedLink,
        /// Fault of the link.
        fault: Fault,
    },
    /// The open connections of a link go silent for good, while new ones work.
    SilenceConnections(ProxiedLink),
    /// A worker's directory entry lapses although the worker lives, and returns when the fault ends.
    LapseEntry {
        /// Service of the worker.
        service: Service,
        /// Index of the worker in its service.
        index: usize,
    },
    /// The operator publishes a configuration.
    Configure,
    /// The operator evacuates a zone and withdraws the evacuation when the fault ends.
    Evacuate {
        /// Index of the zone.
        zone: usize,
    },
}

impl Plan {
    /// Draws a plan for a round of `minutes` from a seed. The same arguments give the same plan.
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
            item_event_delay_ms: None,
            take_up_share: 0.0,
            faults: Vec::new(),
            regions: None,
            cold: None,
            waiting_limit: None,
        };
        plan.waiting_limit = plan.draw_waiting_limit();
        let count = f64::from(random.random_range(FAULTS_PER_MINUTE)) * minutes;
        plan.faults = (0..count.ceil() as u32)
            .map(|_| plan.draw_scheduled_fault(&mut random))
            .collect();
        plan.faults.sort_by_key(|fault| fault.at_ms);
        plan
    }

    /// Adds a second region behind a narrow, slow link, limits for cold workers, evacuations, and one worker crash
    /// for each service.
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
        // The evacuations are in different zones, since the withdrawal of one ends all evacuations of its zone.
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
        self.faults.sort_by_key(|fault| fault.at_ms);
        self
    }

    /// Draws a waiting limit for half of the seeds. The limit is close to the load: between one job and two bursts.
    fn draw_waiting_limit(&self) -> Option<WaitingLimit> {
        let mut random = StdRng::seed_from_u64(self.seed ^ WAITING_LIMIT_SEED_MASK);
        let jobs = random.random_range(1..=2 * self.jobs_per_burst);
        random.random_bool(0.5).then(|| WaitingLimit {
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

    /// Draws the gateways affected by a store fault; an empty list stands for all of them.
    fn draw_gateways(&self, random: &mut StdRng) -> Vec<usize> {
        if random.random_bool(0.5) {
            return Vec::new();
        }
        (0..self.gateways)
            .filter(|_| random.random_bool(0.4))
            .collect()
    }
}

fn is_zero(share: &f64) -> bool {
    *share == 0.0
}

/// Draws a number with two decimals, which stays the same when a plan is written to JSON and read again.
fn hundredths(range: std::ops::Range<u32>, random: &mut StdRng) -> f64 {
    f64::from(random.random_range(range)) / 100.0
}

fn draw_manner(service: Service, random: &mut StdRng) -> WorkerBehaviour {
    let delay_ms = random.random_range(50..2_500);
    let stream_break = stream_break(random.random_range(0..6), delay_ms);
    let common = [
        WorkerBehaviour::Hang,
        WorkerBehaviour::HangEverySecond,
        WorkerBehaviour::DelayAnswer(Duration::from_millis(delay_ms)),
        WorkerBehaviour::CloseWithoutAnswer,
        WorkerBehaviour::Decline,
        WorkerBehaviour::AnswerOtherRequestId,
        WorkerBehaviour::Unsigned,
        WorkerBehaviour::RunAndAnswer503,
    ];
    match service {
        // Engine workers never fail an item, so a gateway that gives one up before its time-out is at fault.
        Service::Engine if random.random_bool(0.3) => stream_break,
        Service::Whole if random.random_bool(0.2) => WorkerBehaviour::Fail,
        _ => *common.choose(random).unwrap_or(&WorkerBehaviour::Hang),
    }
}

/// Returns a way in which streams break off after `events` events, or end with their connection.
fn stream_break(events: u64, variant: u64) -> WorkerBehaviour {
    let cut = |place, framing| {
        WorkerBehaviour::EndStreamInsideEvent(StreamCut {
            events,
            place,
            framing,
        })
    };
    match variant % 5 {
        0 => cut(CutPlace::InsideField, StreamFraming::ConnectionClose),
        1 => cut(CutPlace::BeforeEmptyLine, StreamFraming::ConnectionClose),
        2 => cut(CutPlace::InsideField, StreamFraming::Chunked),
        3 => WorkerBehaviour::UnframedStreams,
        _ => WorkerBehaviour::TruncateStreamAfter(events),
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
