//! Which partitions' items run here: a lease of the log's group, given up by this process's own
//! clock before the log gives it to another.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngCore;
use swiftshunt_journal::{Lease, Log, LogError, Topic};
use tokio_util::sync::CancellationToken;

use crate::beliefs::lock;
use crate::clock::Clock;
use crate::followers::Away;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;

/// Renewals within one lease.
const RENEWALS: u32 = 3;

#[derive(Default)]
struct Held {
    generation: u64,
    partitions: BTreeSet<u32>,
    until: Duration,
}

/// The leases of this process.
pub(crate) struct Leases {
    log: Arc<dyn Log>,
    clock: Clock,
    member: String,
    time: Duration,
    held: Mutex<Held>,
    left: CancellationToken,
}

impl Leases {
    pub(crate) fn new(log: Arc<dyn Log>, settings: &GatewaySettings, clock: Clock) -> Self {
        // Another life of the same machine is another member.
        let life = rand::rng().next_u64();
        Self {
            log,
            clock,
            member: format!("{}-{life:016x}", settings.name),
            time: settings.batch.lease,
            held: Mutex::default(),
            left: CancellationToken::new(),
        }
    }

    /// The partitions held now.
    pub(crate) fn partitions(&self) -> BTreeSet<u32> {
        let held = lock(&self.held);
        if held.until <= self.clock.now() {
            return BTreeSet::new();
        }
        held.partitions.clone()
    }

    /// Whether a partition is held now.
    pub(crate) fn holds(&self, partition: u32) -> bool {
        let held = lock(&self.held);
        held.until > self.clock.now() && held.partitions.contains(&partition)
    }

    /// Renews for as long as the process takes work.
    pub(crate) async fn keep(&self, metrics: &Metrics) {
        let mut away = Away::new("leases", 0);
        while !self.left.is_cancelled() {
            let renewed = self.renew().await;
            metrics
                .leased_partitions
                .set(self.partitions().len() as i64);
            away.pause(&renewed).await;
            if renewed.is_ok() {
                tokio::time::sleep(self.time / RENEWALS).await;
            }
        }
    }

    async fn renew(&self) -> Result<(), LogError> {
        let generation = lock(&self.held).generation;
        let asked = self.clock.now();
        let renewal = self
            .log
            .renew(Topic::Jobs, &self.member, self.time, generation);
        let Lease {
            generation,
            partitions,
        } = renewal.await?;
        let partitions: BTreeSet<u32> = partitions.into_iter().collect();
        let mut held = lock(&self.held);
        if self.left.is_cancelled() {
            return Ok(());
        }
        if held.partitions != partitions {
            log::info!(generation, partitions:? = partitions; "leases changed");
        }
        *held = Held {
            generation,
            partitions,
            until: asked + self.time,
        };
        Ok(())
    }

    /// Gives up all leases.
    pub(crate) async fn leave(&self) {
        self.left.cancel();
        lock(&self.held).partitions.clear();
        if let Err(error) = self.log.leave(Topic::Jobs, &self.member).await {
            log::info!("leases run out by themselves: {error}");
        }
    }
}
