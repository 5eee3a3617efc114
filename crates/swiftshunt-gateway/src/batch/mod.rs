//! Batch jobs: recorded in the journal, run by the gateway that leases their partition, readable at every gateway.

mod admission;
mod appender;
mod avoided_workers;
mod decoding;
mod fitness;
mod intake;
mod item;
mod item_bodies;
mod item_output;
mod job_queries;
mod leases;
mod listing_memory;
mod member;
mod out_of_region;
mod owners;
mod region_pages;
mod region_readers;
mod replay;
mod results;
mod runner;
mod stalled_items;
mod token_reports;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request;
use hyper::{HeaderMap, Request, StatusCode};
use swiftshunt_journal::Log;
use swiftshunt_scheduler::readers::RegionReader;
use swiftshunt_types::TenantName;

use crate::answers::{CallerAnswer, plain};
use crate::attempt::Dispatcher;
use crate::background;
use crate::body_buffers::BodyBuffers;
use crate::log_relay::RelayedLog;
use crate::members::Members;
use crate::memory::MemoryShares;
use crate::protocol::Call;
use crate::running::{ItemId, RunningItems};
use crate::settings::GatewaySettings;
use crate::unreadable::UnreadableRecords;
use crate::waiting_limits::WaitingLimits;
use appender::Appender;
pub(crate) use decoding::JobDecoding;
pub(crate) use intake::Submission;
use item::RunTimeEstimate;
use item_bodies::{BodyError, ItemBodies};
use leases::Leases;
use listing_memory::ListingMemory;
pub(crate) use member::Member;
use owners::PartitionOwners;
pub(crate) use region_pages::PATH as PAGES_PATH;
use region_pages::RegionPages;
use region_readers::RegionReaders;
use replay::Replay;
pub(crate) use replay::partition_of;
use results::PendingResults;
use tokio_util::sync::CancellationToken;

/// How long a stop waits until the progress of the stopped items is written, and how often it checks.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(800);
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time-out assumed for the caller of a call about a job, which does not state one.
const ASSUMED_CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// The batch jobs of a gateway: accepts and ends them, runs their items and serves their results.
pub(crate) struct Batch {
    dispatcher: Arc<Dispatcher>,
    settings: Arc<GatewaySettings>,
    /// The log, for calls by which other gateways show that they reach it.
    peer_log: Arc<RelayedLog>,
    replay: Replay,
    bodies: Arc<ItemBodies>,
    appender: Appender,
    leases: Leases,
    owners: PartitionOwners,
    region_readers: Arc<RegionReaders>,
    region_pages: Arc<RegionPages>,
    results: PendingResults,
    running: Arc<RunningItems>,
    waiting_limits: Arc<WaitingLimits>,
    run_time_estimate: RunTimeEstimate,
    stop_token: CancellationToken,
}

/// The dependencies of [`Batch`].
pub(crate) struct BatchDependencies {
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) settings: Arc<GatewaySettings>,
    /// The log.
    pub(crate) relayed: Arc<RelayedLog>,
    pub(crate) members: Arc<Members>,
    pub(crate) running: Arc<RunningItems>,
    pub(crate) waiting_limits: Arc<WaitingLimits>,
    pub(crate) unreadable: Arc<UnreadableRecords>,
    pub(crate) memory_shares: MemoryShares,
}

impl Batch {
    pub(crate) fn new(dependencies: BatchDependencies) -> Self {
        let BatchDependencies {
            dispatcher,
            settings,
            relayed,
            members,
            running,
            waiting_limits,
            unreadable,
            memory_shares,
        } = dependencies;
        let log: Arc<dyn Log> = Arc::clone(&relayed) as _;
        let metrics = Arc::clone(&dispatcher.metrics);
        let clock = dispatcher.clock;
        let own_address = members.own_address();
        let region_readers = Arc::new(RegionReaders::new(members, clock));
        let readers = Arc::clone(&region_readers);
        let region_pages = Arc::new(RegionPages::new(Arc::clone(&log), readers, clock));
        let pages = Arc::clone(&region_pages);
        let bodies = Arc::new(ItemBodies::new(Arc::clone(&log), memory_shares.item_bodies));
        Self {
            peer_log: relayed,
            replay: Replay::new(
                Arc::clone(&log),
                pages,
                Arc::clone(&bodies),
                Arc::new(ListingMemory::new(memory_shares.listings)),
                &settings,
                unreadable,
                clock,
            ),
            bodies,
            appender: Appender::new(Arc::clone(&log), &settings, metrics, clock),
            leases: Leases::new(Arc::clone(&log), &settings, own_address, clock),
            owners: PartitionOwners::new(log, own_address, settings.log.partitions, clock),
            region_readers,
            region_pages,
            results: PendingResults::default(),
            running,
            waiting_limits,
            run_time_estimate: RunTimeEstimate::default(),
            stop_token: CancellationToken::new(),
            dispatcher,
            settings,
        }
    }

    /// Spawns the background tasks.
    pub(crate) fn start(self: &Arc<Self>) {
        for partition in 0..self.settings.log.partitions {
            let batch = Arc::clone(self);
            background::spawn(async move { batch.replay.follow(partition).await });
        }
        let batch = Arc::clone(self);
        background::spawn(async move {
            batch
                .leases
                .run_renewals(
                    &batch.replay,
                    &batch.dispatcher.job_regions,
                    &batch.dispatcher.metrics,
                )
                .await
        });
        background::spawn(Arc::clone(self).start_items());
        background::spawn(Arc::clone(self).write_results());
        background::spawn(Arc::clone(self).drop_expired_jobs());
        background::spawn(Arc::clone(self).answer_collect_requests());
        background::spawn(Arc::clone(self).count_waiting_tokens());
        background::spawn(Arc::clone(self).monitor_stalled_items());
        background::spawn(Arc::clone(self).monitor_fitness());
    }

    /// Stops the items that run here and hands the partitions over: writes the progress of the items, then
    /// releases the leases. At the same time, hands over the limits that this gateway counts.
    pub(crate) async fn stop(&self) {
        self.stop_token.cancel();
        self.running.stop_all();
        tokio::join!(self.hand_partitions_over(), self.waiting_limits.stop());
    }

    async fn hand_partitions_over(&self) {
        let written = async {
            while !self.running.is_empty() || !self.results.is_progress_drained() {
                tokio::time::sleep(HAND_OVER_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(HAND_OVER_TIMEOUT, written)
            .await
            .is_err()
        {
            log::info!(
                "progress of stopped items was not written in time; releasing leases without it"
            );
        }
        self.leases.release_all().await;
    }

    /// Whether every result has been written to the journal and no progress is queued.
    pub(crate) fn are_results_written(&self) -> bool {
        self.results.are_results_written()
    }

    /// Answers a call about a job. If this gateway neither holds nor follows the job's partition, forwards the call to
    /// the gateway that holds the partition, else to a reader of the region, and else reads the log. A gateway that may
    /// not handle jobs only forwards calls.
    pub(crate) async fn answer(
        &self,
        call: Call,
        head: &request::Parts,
        tenant: Option<&TenantName>,
    ) -> CallerAnswer {
        let call = call.for_tenant(tenant);
        let Some((job, wait)) = call.job() else {
            return plain(StatusCode::NOT_FOUND, "no such call");
        };
        let partition = self.replay.partition_of(job);
        let wait = match call {
            Call::JobEnd { .. } => intake::APPEND_TIMEOUT,
            _ => wait,
        };
        if !self.dispatcher.job_regions.includes_this_gateway() {
            return self
                .answer_out_of_region(partition, head, tenant, wait)
                .await;
        }
        if !self.leases.holds(partition) && !self.replay.is_followed(partition) {
            let forwarded = self.owners.forward(partition, head, tenant, wait).await;
            if let Some(answer) = forwarded {
                return answer;
            }
            if !self.region_readers.are_readers_known() {
                return self.refuse_journal_unavailable(job, ASSUMED_CALLER_TIMEOUT);
            }
            let forwarded = self
                .forward_to_region_reader(partition, head, tenant, wait)
                .await;
            if let Some(answer) = forwarded {
                return answer;
            }
            log::info!(job, partition;
                "no other gateway answered a call about a job; answering from the log");
        }
        self.answer_locally(call).await
    }

    /// Forwards a call to the gateway that reads the partition for the region. Returns `None` if the call has to be
    /// answered here.
    async fn forward_to_region_reader(
        &self,
        partition: u32,
        head: &request::Parts,
        tenant: Option<&TenantName>,
        wait: Duration,
    ) -> Option<CallerAnswer> {
        for reader in self.region_readers.readers_of(partition) {
            let reader = match reader {
                RegionReader::Own => return None,
                RegionReader::Other(reader) => reader,
            };
            let owners = &self.owners;
            let answer = owners.forward_to_reader(reader, head, tenant, wait).await;
            if answer.is_some() {
                return answer;
            }
            self.region_readers.mark_suspected(partition, reader);
        }
        None
    }

    /// Answers another gateway's request for a page of a partition.
    pub(crate) async fn answer_page(
        &self,
        request: Request<Incoming>,
        calls: &BodyBuffers,
    ) -> CallerAnswer {
        if self.dispatcher.job_regions.excludes_this_gateway() {
            let reason = "jobs may not be handled here";
            return plain(StatusCode::SERVICE_UNAVAILABLE, reason);
        }
        self.region_pages.answer_peer(request, calls).await
    }

    /// Answers a call that another gateway forwarded. Without the lease of the job's partition, the answer is 421,
    /// unless the call asks for a reader's answer.
    pub(crate) async fn answer_peer(&self, call: Call, headers: &HeaderMap) -> CallerAnswer {
        let call = call.for_tenant(owners::forwarded_tenant(headers).as_ref());
        let held = call
            .job()
            .is_some_and(|(job, _)| self.leases.holds(self.replay.partition_of(job)));
        let answers_as_reader = owners::requests_reader_answer(headers)
            && !self.dispatcher.job_regions.excludes_this_gateway();
        if held || answers_as_reader {
            self.answer_locally(call).await
        } else {
            plain(StatusCode::MISDIRECTED_REQUEST, "it does not run here")
        }
    }

    /// Returns the body of an item of a job that is known here.
    async fn body_of_item(&self, id: &ItemId) -> Result<Bytes, BodyError> {
        let frame_key = {
            let state = self.replay.state(id.partition);
            let job = state.fold.job(&id.job);
            job.and_then(|job| job.acceptance_key().map(<[u8]>::to_vec))
        };
        let frame_key = frame_key.ok_or(BodyError::Missing)?;
        self.bodies
            .body(id.partition, &id.job, &frame_key, id.index as usize)
            .await
    }

    async fn answer_locally(&self, call: Call) -> CallerAnswer {
        match call {
            Call::JobResults { job, from, wait } => self.list_results(&job, from, wait).await,
            Call::JobItem { job, item } => self.item_body(&job, &item).await,
            Call::JobEnd { job } => self.end_job(&job).await,
            Call::Routed | Call::Malformed => plain(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
