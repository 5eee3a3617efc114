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

pub(crate) use reservation::{Fit, LONGEST_PATIENCE};

use crate::batch::{Member, partition_of};
use crate::beliefs::lock;
use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::members::Members;
use crate::messages::Notice;
use crate::messages::waiting::{Allowance, HeldPartition, LimitedJob, Verdict, WaitingMessage};
use crate::metrics::Metrics;
use crate::unreadable::UnreadableRecords;
use counting::Rounds;
use registers::Registers;

/// Calls for reports that wait to be answered; what comes beyond is called for again.
const MOST_CALLS: usize = 256;

/// Partitions of which one datagram tells: some 50 bytes each.
const PARTITIONS_TOLD: usize = 16;

/// A call for what stands in the partitions that this gateway holds.
pub(crate) struct Call {
    pub(crate) from: SocketAddr,
    pub(crate) round: u64,
    pub(crate) allowance: Allowance,
    /// Whether what was not seen yet is read first.
    pub(crate) is_exact: bool,
}

/// What the limits are kept with.
pub(crate) struct Surroundings {
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
    rounds: Mutex<Rounds>,
    /// Something is to be done about a limit for which this gateway counts.
    attention: Notify,
    asks: Mutex<HashMap<u64, oneshot::Sender<Verdict>>>,
    last_ask: AtomicU64,
    calls: mpsc::Sender<Call>,
    calls_to_answer: Mutex<Option<mpsc::Receiver<Call>>>,
    /// Whether this gateway stops: it begins to count for no limit.
    is_stopping: AtomicBool,
}

impl WaitingLimits {
    pub(crate) fn new(surroundings: Surroundings) -> Self {
        let Surroundings {
            log,
            members,
            datagrams,
            metrics,
            unreadable,
            clock,
            partitions,
        } = surroundings;
        let (calls, calls_to_answer) = mpsc::channel(MOST_CALLS);
        Self {
            own_life: Member::new(members.own()).to_string(),
            registers: Registers::new(log, partitions, unreadable, clock),
            members,
            datagrams,
            metrics,
            clock,
            partitions,
            counters: Mutex::default(),
            rounds: Mutex::default(),
            attention: Notify::new(),
            asks: Mutex::default(),
            last_ask: AtomicU64::new(0),
            calls,
            calls_to_answer: Mutex::new(Some(calls_to_answer)),
            is_stopping: AtomicBool::new(false),
        }
    }

    fn send(&self, message: WaitingMessage, to: SocketAddr) {
        self.datagrams.send(&Notice::Waiting(message), [to]);
    }

    /// The calls of gateways that count, for the one who answers them; none the second time.
    pub(crate) fn calls(&self) -> Option<mpsc::Receiver<Call>> {
        lock(&self.calls_to_answer).take()
    }

    /// Answers a call with what stands in partitions that are held here.
    pub(crate) fn answer(&self, call: Call, partitions: Vec<HeldPartition>) {
        let Call {
            from,
            round,
            allowance,
            ..
        } = call;
        if from == self.members.own() {
            self.collected(&allowance, round, partitions);
            return;
        }
        for partitions in partitions.chunks(PARTITIONS_TOLD) {
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
        self.members.heard(from);
        match message {
            WaitingMessage::Question { ask, counter, job } => {
                let verdict = if counter == self.own_life {
                    self.decide(&job)
                } else {
                    Verdict::NotCounter
                };
                self.send(WaitingMessage::Decided { ask, verdict }, from);
            }
            WaitingMessage::Decided { ask, verdict } => {
                let asked = lock(&self.asks).remove(&ask);
                if asked.is_some_and(|asked| asked.send(verdict).is_err()) {
                    log::debug!(ask; "an answer about a limit came to nobody");
                }
            }
            WaitingMessage::Recorded { allowance, job } => self.take_recorded(&allowance, &job),
            WaitingMessage::Released { allowance, job } => self.take_released(&allowance, &job),
            WaitingMessage::Collect {
                round,
                allowance,
                is_exact,
            } => {
                let call = Call {
                    from,
                    round,
                    allowance,
                    is_exact,
                };
                self.call(call);
            }
            WaitingMessage::Collected {
                round,
                allowance,
                partitions,
            } => self.collected(&allowance, round, partitions),
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
            fits: self.fits(&job).await == Fit::Fits,
            waiting: job.limit,
        };
        self.send(answer, from);
    }

    /// Hands a call to the one who answers.
    fn call(&self, call: Call) {
        if let Err(error) = self.calls.try_send(call) {
            log::debug!("a call for what stands is dropped: {error}");
        }
    }
}
