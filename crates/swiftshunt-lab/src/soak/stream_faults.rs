//! Plans in which callers take streams up at other gateways, while workers number events wrongly and break streams off.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::plan::{Disruption, FAULT_FREE_END, Plan, ScheduledFault, Service, WARM_UP};
use crate::platform::worker::{NumberFault, WorkerBehaviour};

/// XORed with the seed to draw these faults, so that drawing them does not change the rest of the plan.
const STREAM_FAULTS_SEED_MASK: u64 = 0x6e75_6d62_6572;
/// Share of the online requests that are taken up.
const TAKE_UP_SHARE: f64 = 0.25;
/// Factor of the rate of online requests: each stream that is taken up is several requests, and batch items get the slots
/// that online requests leave.
const REQUEST_RATE_FACTOR: f64 = 0.5;
/// Least number of slots of a worker.
const MIN_SLOTS: usize = 4;
/// Interval between two faults, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 1_000..3_000;
/// Duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 500..4_000;
/// Number of events after which workers break streams off.
const EVENTS_BEFORE_BREAK: std::ops::Range<u64> = 1..8;

impl Plan {
    /// Lets callers take streams up, and adds faults of engine workers: wrong numbers of events, and streams that break off.
    pub fn with_stream_faults(mut self) -> Self {
        let mut random = StdRng::seed_from_u64(self.seed ^ STREAM_FAULTS_SEED_MASK);
        self.take_up_share = TAKE_UP_SHARE;
        self.requests_per_s *= REQUEST_RATE_FACTOR;
        self.slots = self.slots.max(MIN_SLOTS);
        let last = (self.load_ms).saturating_sub(FAULT_FREE_END.as_millis() as u64);
        let mut at_ms = WARM_UP.as_millis() as u64;
        while at_ms < last {
            let manner = draw_stream_fault(&mut random);
            self.faults.push(ScheduledFault {
                at_ms,
                after: None,
                duration_ms: random.random_range(DURATION_MS),
                disruption: Disruption::WorkerManner {
                    service: Service::Engine,
                    index: random.random_range(0..self.workers),
                    manner,
                },
            });
            at_ms += random.random_range(INTERVAL_MS);
        }
        self.faults.sort_by_key(|fault| fault.at_ms);
        self
    }
}

fn draw_stream_fault(random: &mut StdRng) -> WorkerBehaviour {
    let numbers = [
        NumberFault::RepeatsLast,
        NumberFault::FromBeginning,
        NumberFault::LeavesFirstOut,
        NumberFault::GoesBack,
    ];
    match numbers.choose(random) {
        Some(fault) if random.random_bool(0.6) => WorkerBehaviour::MisnumberEvents(*fault),
        _ => WorkerBehaviour::TruncateStreamAfter(random.random_range(EVENTS_BEFORE_BREAK)),
    }
}
