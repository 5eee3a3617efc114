//! Plans in which faults come in series and overlap while batch items run for seconds.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::plan::{
    Disruption, FAULT_FREE_END, Plan, ProxiedLink, ScheduledFault, Service, WARM_UP,
};

/// XORed with the seed to draw the series, so that drawing them does not change the rest of the plan.
const SERIES_SEED_MASK: u64 = 0x7365_7269_6573;
/// Number of gateways.
const GATEWAYS: std::ops::RangeInclusive<usize> = 8..=11;
/// Number of workers of each service.
const WORKERS: std::ops::RangeInclusive<usize> = 6..=9;
/// Delay before each event of an item, in milliseconds: an item runs long enough to meet several ends of workers.
const ITEM_EVENT_DELAY_MS: std::ops::Range<u64> = 150..400;
/// Interval between two crashes of a series, in milliseconds.
const CRASH_INTERVAL_MS: std::ops::Range<u64> = 700..1_600;
/// Time after which a crashed worker is replaced, in milliseconds.
const CRASH_DURATION_MS: std::ops::Range<u64> = 300..1_800;
/// Interval between two workers that lose their connections and their directory entries, in milliseconds.
const LAPSE_INTERVAL_MS: std::ops::Range<u64> = 2_500..6_000;
/// Time from the loss of a worker's connections to that of its entry, in milliseconds.
const LAPSE_DELAY_MS: std::ops::Range<u64> = 0..400;
/// Time for which an entry is missing, in milliseconds.
const LAPSE_DURATION_MS: std::ops::Range<u64> = 200..1_200;
/// Interval between two signals to gateways, in milliseconds.
const SIGNAL_INTERVAL_MS: std::ops::Range<u64> = 900..2_500;
/// Time for which a gateway is suspended, or after which a killed one is restarted, in milliseconds.
const SIGNAL_DURATION_MS: std::ops::Range<u64> = 200..2_500;

impl Plan {
    /// Adds series of crashes of engine workers, of workers that lose their connections and their entries, and of signals
    /// to gateways, which overlap each other and the faults of the plan. Items run for seconds.
    pub fn with_series(mut self) -> Self {
        let mut random = StdRng::seed_from_u64(self.seed ^ SERIES_SEED_MASK);
        self.gateways = random.random_range(GATEWAYS);
        self.workers = random.random_range(WORKERS);
        self.item_event_delay_ms = Some(random.random_range(ITEM_EVENT_DELAY_MS));
        for at_ms in self.series_times(CRASH_INTERVAL_MS, &mut random) {
            let crash = Disruption::CrashWorker {
                service: Service::Engine,
                index: random.random_range(0..self.workers),
                same_address: random.random_bool(0.5),
            };
            self.add_fault(at_ms, random.random_range(CRASH_DURATION_MS), crash);
        }
        for at_ms in self.series_times(LAPSE_INTERVAL_MS, &mut random) {
            let index = random.random_range(0..self.workers);
            let silence = Disruption::SilenceConnections(ProxiedLink::Engine(index));
            self.add_fault(at_ms, 0, silence);
            let lapse = Disruption::LapseEntry {
                service: Service::Engine,
                index,
            };
            let lapses_at = at_ms + random.random_range(LAPSE_DELAY_MS);
            self.add_fault(lapses_at, random.random_range(LAPSE_DURATION_MS), lapse);
        }
        for at_ms in self.series_times(SIGNAL_INTERVAL_MS, &mut random) {
            let gateway = random.random_range(0..self.gateways);
            let signal = match random.random_range(0..4) {
                0 => Disruption::KillGateway(gateway),
                1 => Disruption::PauseGateway(gateway),
                2 => Disruption::StopGateway(gateway),
                _ => Disruption::Rebalance,
            };
            self.add_fault(at_ms, random.random_range(SIGNAL_DURATION_MS), signal);
        }
        self.faults.sort_by_key(|fault| fault.at_ms);
        self
    }

    /// Draws the start times of a series, which lasts as long as faults may start.
    fn series_times(&self, interval: std::ops::Range<u64>, random: &mut StdRng) -> Vec<u64> {
        let end = Duration::from_millis(self.load_ms).saturating_sub(FAULT_FREE_END);
        let mut at = WARM_UP.as_millis() as u64;
        let mut times = Vec::new();
        while Duration::from_millis(at) < end {
            times.push(at);
            at += random.random_range(interval.clone());
        }
        times
    }

    fn add_fault(&mut self, at_ms: u64, duration_ms: u64, disruption: Disruption) {
        self.faults.push(ScheduledFault {
            at_ms,
            after: None,
            duration_ms,
            disruption,
        });
    }
}
