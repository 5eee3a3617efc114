//! Limits of the tokens that a tenant may have waiting on a batch route, kept by all gateways together.
//!
//! For each limit one gateway counts what stands. Which one, and how much of the limit is in whose hands, stands
//! in the log ([`registers`]). A gateway that takes a job asks the one that counts ([`reservation`]), and takes over
//! from it where it does not answer; holders of the journal's partitions tell the one that counts what stands
//! ([`counting`]). A gateway that stops by plan says so in the log, and the next one need not wait for what it may
//! still do ([`stopping`]).

mod counting;
mod registers;
mod reservation;
mod stopping;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};

use swiftshunt_journal::Log;
use swiftshunt_scheduler::waiting_tokens::Counter;
use tokio::sync::{Notify, mpsc, oneshot};

pub(crate) use reservation::{MAX_ANSWER_TIMEOUT, ReservationOutcome};

use crate::batch::{Member, partition_of};
use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::fleet_state::lock;
use crate::members::Members;
use crate::messages::Notice;
use crate::messages::waiting::{Allowance, HeldPartition, JobVerdict, LimitedJob, WaitingMessage};
use crate::metrics::Metrics;
use crate::unreadable::UnreadableRecords;
use counting::CollectRounds;
use registers::Registers;

/// Calls for reports that wait to be answered; what comes beyond is called for again.
const MAX_QUEUED_COLLECT_REQUESTS: usize = 256;

/// Partitions of which one datagram tells: some 50 bytes each.
const PARTITIONS_PER_DATAGRAM: usize = 16;

/// A call for what stands in the partitions that this gateway holds.
pub(crate) struct CollectRequest {
    pub(crate) from: SocketAddr,
    pub(crate) round: u64,
    pub(crate) allowance: Allowance,
    /// Whether what was not seen yet is read first.
    pub(crate) is_exact: bool,
}

/// What the limits are kept with.
pub(crate) struct Dependencies {
    pub(crate) log: Arc<dyn Log>,
    pub(crate) members: Arc<Members>,
    pub(crate) datagrams: Arc<Datagrams>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) unreadable: Arc<UnreadableRecords>,
    pub(crate) clock: Clock,
    /// Partitions of the journal.
    pub(crate) partitions: u32,
}

/// The limits.
pub(crate) struct WaitingLimits {
    members: Arc<Members>,
    datagrams: Arc<Datagrams>,
    metrics: Arc<Metrics>,
    clock: Clock,
    partitions: u32,
    /// The life of this gateway.
    own_life: String,
    registers: Registers,
    /// Limits for which this gateway counts.
    counters: Mutex<HashMap<Allowance, Counter>>,
    rounds: Mutex<CollectRounds>,
    /// Something is to be done about a limit for which this gateway counts.
    wakeup: Notify,
    asks: Mutex<HashMap<u64, oneshot::Sender<JobVerdict>>>,
    last_ask: AtomicU64,
    collect_sender: mpsc::Sender<CollectRequest>,
    collect_receiver: Mutex<Option<mpsc::Receiver<CollectRequest>>>,
    /// Whether this gateway stops: it begins to count for no limit.
    is_stopping: AtomicBool,
}

impl WaitingLimits {
    pub(crate) fn new(dependencies: Dependencies) -> Self {
        let Dependencies {
            log,
            members,
            datagrams,
            metrics,
            unreadable,
            clock,
            partitions,
        } = dependencies;
        let (collect_sender, collect_receiver) = mpsc::channel(MAX_QUEUED_COLLECT_REQUESTS);
        Self {
            own_life: Member::new(members.own_address()).to_string(),
            registers: Registers::new(log, partitions, unreadable, clock),
            members,
            datagrams,
            metrics,
            clock,
            partitions,
            counters: Mutex::default(),
            rounds: Mutex::default(),
            wakeup: Notify::new(),
            asks: Mutex::default(),
            last_ask: AtomicU64::new(0),
            collect_sender,
            collect_receiver: Mutex::new(Some(collect_receiver)),
            is_stopping: AtomicBool::new(false),
        }
    }

    fn send(&self, message: WaitingMessage, to: SocketAddr) {
        self.datagrams.send(&Notice::Waiting(message), [to]);
    }

    /// The calls of gateways that count, for the one who answers them; none the second time.
    pub(crate) fn take_collect_requests(&self) -> Option<mpsc::Receiver<CollectRequest>> {
        lock(&self.collect_receiver).take()
    }

    /// Answers a call with what stands in partitions that are held here.
    pub(crate) fn answer_collect_request(
        &self,
        request: CollectRequest,
        partitions: Vec<HeldPartition>,
    ) {
        let CollectRequest {
            from,
            round,
            allowance,
            ..
        } = request;
        if from == self.members.own_address() {
            self.apply_collected(&allowance, round, partitions);
            return;
        }
        for partitions in partitions.chunks(PARTITIONS_PER_DATAGRAM) {
            let message = WaitingMessage::Collected {
                round,
                allowance: allowance.clone(),
                partitions: partitions.to_vec(),
            };
            self.send(message, from);
        }
    }

    /// Takes a message of another gateway.
    pub(crate) fn handle_message(self: &Arc<Self>, message: WaitingMessage, from: SocketAddr) {
        self.members.record_contact(from);
        match message {
            WaitingMessage::Question { ask, counter, job } => {
                let verdict = if counter == self.own_life {
                    self.decide(&job)
                } else {
                    JobVerdict::NotCounter
                };
                self.send(WaitingMessage::Decided { ask, verdict }, from);
            }
            WaitingMessage::Decided { ask, verdict } => {
                let asked = lock(&self.asks).remove(&ask);
                if asked.is_some_and(|asked| asked.send(verdict).is_err()) {
                    log::debug!(ask; "an answer about a limit came to nobody");
                }
            }
            WaitingMessage::Recorded { allowance, job } => self.apply_recorded(&allowance, &job),
            WaitingMessage::Released { allowance, job } => self.apply_released(&allowance, &job),
            WaitingMessage::Collect {
                round,
                allowance,
                is_exact,
            } => {
                let request = CollectRequest {
                    from,
                    round,
                    allowance,
                    is_exact,
                };
                self.enqueue(request);
            }
            WaitingMessage::Collected {
                round,
                allowance,
                partitions,
            } => self.apply_collected(&allowance, round, partitions),
            WaitingMessage::Ask {
                ask,
                allowance,
                job,
                tokens,
                limit,
            } => {
                let job = LimitedJob {
                    partition: partition_of(&job, self.partitions),
                    allowance,
                    job,
                    tokens,
                    limit,
                };
                tokio::spawn(Arc::clone(self).answer_earlier_build(ask, job, from));
            }
            WaitingMessage::Report { .. } | WaitingMessage::Answer { .. } => {}
        }
    }

    /// Answers an earlier build, which takes this gateway for the one that counts. It is told that all room is
    /// taken, since it would admit by what is left where it has no answer.
    async fn answer_earlier_build(self: Arc<Self>, ask: u64, job: LimitedJob, from: SocketAddr) {
        let answer = WaitingMessage::Answer {
            ask,
            fits: self.reserve(&job).await == ReservationOutcome::Reserved,
            waiting: job.limit,
        };
        self.send(answer, from);
    }

    /// Hands a call to the one who answers.
    fn enqueue(&self, request: CollectRequest) {
        if let Err(error) = self.collect_sender.try_send(request) {
            log::debug!("a call for what stands is dropped: {error}");
        }
    }
}
