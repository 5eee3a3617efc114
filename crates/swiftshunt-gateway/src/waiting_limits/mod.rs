//! Limits of the tokens that a tenant may have waiting on a batch route, enforced by all gateways together.
//!
//! Each limit has one gateway as its counter, which counts the outstanding tokens. A register in the log names the
//! counter and the shares of the limit that are assigned to gateways ([`registers`]). A gateway that receives a job asks
//! the counter ([`reservation`]), and takes over from a counter that does not answer. The holders of the journal's
//! partitions report the outstanding tokens to the counter ([`counting`]). A counter that stops by plan marks the
//! register as stopped, so that its successor need not wait for jobs that a lost counter might still admit
//! ([`stopping`]).

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

/// Maximum number of collect requests that wait for an answer. Further ones are dropped; the counter repeats them.
const MAX_QUEUED_COLLECT_REQUESTS: usize = 256;

/// Maximum number of partitions in a datagram: some 50 bytes each.
const PARTITIONS_PER_DATAGRAM: usize = 16;

/// A counter's request for a report of the partitions that this gateway holds.
pub(crate) struct CollectRequest {
    pub(crate) from: SocketAddr,
    pub(crate) round: u64,
    pub(crate) allowance: Allowance,
    /// Whether the holder reads its partitions to the end before it answers.
    pub(crate) is_exact: bool,
}

/// The dependencies of [`WaitingLimits`].
pub(crate) struct Dependencies {
    pub(crate) log: Arc<dyn Log>,
    pub(crate) members: Arc<Members>,
    pub(crate) datagrams: Arc<Datagrams>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) unreadable: Arc<UnreadableRecords>,
    pub(crate) clock: Clock,
    /// Number of partitions of the journal.
    pub(crate) partitions: u32,
}

/// The limits of waiting tokens at this gateway.
pub(crate) struct WaitingLimits {
    members: Arc<Members>,
    datagrams: Arc<Datagrams>,
    metrics: Arc<Metrics>,
    clock: Clock,
    partitions: u32,
    /// The member name of this process, by which registers name their counter. It differs after a restart.
    own_member_name: String,
    registers: Registers,
    /// The counters of the limits that this gateway counts.
    counters: Mutex<HashMap<Allowance, Counter>>,
    rounds: Mutex<CollectRounds>,
    /// Notified when work is due for a limit that this gateway counts.
    wakeup: Notify,
    pending_asks: Mutex<HashMap<u64, oneshot::Sender<JobVerdict>>>,
    last_ask: AtomicU64,
    collect_sender: mpsc::Sender<CollectRequest>,
    collect_receiver: Mutex<Option<mpsc::Receiver<CollectRequest>>>,
    /// Whether this gateway is stopping: it then takes over no limit.
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
            own_member_name: Member::new(members.own_address()).to_string(),
            registers: Registers::new(log, partitions, unreadable, clock),
            members,
            datagrams,
            metrics,
            clock,
            partitions,
            counters: Mutex::default(),
            rounds: Mutex::default(),
            wakeup: Notify::new(),
            pending_asks: Mutex::default(),
            last_ask: AtomicU64::new(0),
            collect_sender,
            collect_receiver: Mutex::new(Some(collect_receiver)),
            is_stopping: AtomicBool::new(false),
        }
    }

    fn send(&self, message: WaitingMessage, to: SocketAddr) {
        self.datagrams.send(&Notice::Waiting(message), [to]);
    }

    /// Returns the receiver of collect requests, for the task that answers them; `None` after the first call.
    pub(crate) fn take_collect_requests(&self) -> Option<mpsc::Receiver<CollectRequest>> {
        lock(&self.collect_receiver).take()
    }

    /// Answers a collect request with the reports of the partitions held here.
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

    /// Handles a message from another gateway.
    pub(crate) fn handle_message(self: &Arc<Self>, message: WaitingMessage, from: SocketAddr) {
        self.members.record_contact(from);
        match message {
            WaitingMessage::Question { ask, counter, job } => {
                let verdict = if counter == self.own_member_name {
                    self.decide(&job)
                } else {
                    JobVerdict::NotCounter
                };
                self.send(WaitingMessage::Decided { ask, verdict }, from);
            }
            WaitingMessage::Decided { ask, verdict } => {
                let verdict_sender = lock(&self.pending_asks).remove(&ask);
                if verdict_sender
                    .is_some_and(|verdict_sender| verdict_sender.send(verdict).is_err())
                {
                    log::debug!(ask; "the counter of a limit answered for a job that no longer waits; ignoring the answer");
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

    /// Answers a gateway of an earlier build, which considers this gateway the counter. The answer always reports the
    /// limit as used up, since an earlier build that gets no answer admits jobs up to the rest that was last reported.
    async fn answer_earlier_build(self: Arc<Self>, ask: u64, job: LimitedJob, from: SocketAddr) {
        let answer = WaitingMessage::Answer {
            ask,
            fits: self.reserve(&job).await == ReservationOutcome::Reserved,
            waiting: job.limit,
        };
        self.send(answer, from);
    }

    /// Queues a collect request for the task that answers it.
    fn enqueue(&self, request: CollectRequest) {
        if let Err(error) = self.collect_sender.try_send(request) {
            log::debug!("dropping a request for a report of waiting tokens: {error}");
        }
    }
}
