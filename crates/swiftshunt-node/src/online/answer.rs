//! Answer streams that survive the failure of an engine: another engine resumes generation after the
//! last relayed token.
//!
//! Events are matched by request and token index, never by arrival order: an index that was already
//! relayed is dropped, and a gap is handled like a broken stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use swiftshunt_backends::engine::{
    EngineError, FinishReason, GenerateRequest, TokenEvent, TokenStream,
};
use swiftshunt_http::SendPermit;
use swiftshunt_scheduler::placement::{NoWorker, PlacementRequest, choose};
use swiftshunt_types::{
    ErrorKind, Failure, ModelName, Monotonic, PoolName, Priority, RequestId, SoftwareVersion,
    WorkerId,
};
use tokio::sync::mpsc;

use crate::context::Context;
use crate::fleet::subset;
use crate::lock;

/// Timeout for an engine to accept a request and send the response head.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one cancel call to an engine.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// `Retry-After` of failures for lack of capacity.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Tokens buffered for a slow caller; a full buffer blocks the relay.
const TOKEN_BUFFER_CAPACITY: usize = 256;

/// An online request, independent of the interface that it came through.
#[derive(Clone, Debug)]
pub(crate) struct AnswerRequest {
    pub(crate) id: RequestId,
    pub(crate) pool: PoolName,
    pub(crate) model: ModelName,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    /// When the caller stops waiting; `None` if it set no timeout.
    pub(crate) deadline: Option<Monotonic>,
}

/// An answer in progress.
pub(crate) struct AnswerStream {
    /// Each token once, in order. The stream ends with an event that carries the finish reason, or
    /// with a failure.
    pub(crate) events: mpsc::Receiver<Result<TokenEvent, Failure>>,
}

/// The text of an answer, as far as it has been received.
#[derive(Clone, Debug)]
pub(crate) struct AnswerText {
    pub(crate) text: String,
    /// Number of tokens in `text`.
    pub(crate) tokens: u32,
    /// Only meaningful once the answer has ended.
    pub(crate) finish: FinishReason,
}

impl AnswerText {
    /// An answer without tokens.
    pub(crate) fn empty() -> Self {
        Self {
            text: String::new(),
            tokens: 0,
            finish: FinishReason::Stop,
        }
    }
}

/// Starts an answer. Returns once an engine has accepted the request; fails with the reason if none does.
pub(crate) async fn start(
    context: &Arc<Context>,
    request: AnswerRequest,
) -> Result<AnswerStream, Failure> {
    lock(&context.retries).record_first_attempt();
    let mut task = AnswerTask {
        context: Arc::clone(context),
        request,
        next_index: 0,
        software: None,
        excluded: Vec::new(),
        is_software_gone: false,
        may_have_started: false,
        started_at: context.clock.now(),
    };
    let engine = task.open_with_retries().await?;
    let (sender, events) = mpsc::channel(TOKEN_BUFFER_CAPACITY);
    tokio::spawn(async move { task.relay(engine, sender).await });
    Ok(AnswerStream { events })
}

/// Reads an answer stream to its end. Fails if the stream ends without a finish reason.
pub(crate) async fn collect(mut answer: AnswerStream) -> Result<AnswerText, Failure> {
    let mut received = AnswerText::empty();
    while let Some(event) = answer.events.recv().await {
        let event = event?;
        received.text.push_str(&event.text);
        if let Some(finish) = event.finish {
            received.finish = finish;
            return Ok(received);
        }
        received.tokens += 1;
    }
    Err(Failure::unknown(
        ErrorKind::WorkerFailed,
        "the answer ended early",
    ))
}

/// State of one answer across the engines that generate it.
struct AnswerTask {
    context: Arc<Context>,
    request: AnswerRequest,
    /// Index of the next token to relay.
    next_index: u32,
    /// Software version of the engine that began the answer; `None` before the first token, and if the engine names none.
    software: Option<SoftwareVersion>,
    /// Workers that failed this request, or cannot resume it, and are not chosen again.
    excluded: Vec<WorkerId>,
    /// Whether an engine refused to resume the answer, since it has another software version.
    is_software_gone: bool,
    /// Whether any engine may have started to run the request.
    may_have_started: bool,
    started_at: Monotonic,
}

/// An open token stream of one engine.
struct EngineStream {
    worker: WorkerId,
    address: SocketAddr,
    stream: TokenStream,
    _in_flight: InFlight,
}

/// Why the relay of one engine's stream ended.
enum RelayEnd {
    /// The caller has received the complete answer, or has disconnected.
    Done,
    /// The engine's stream failed or was invalid, for the given reason.
    Broken(String),
    /// The request's deadline passed.
    Expired,
}

impl AnswerTask {
    /// Tries engines until one accepts the request. Fails if an engine refuses it as invalid, no engine is
    /// available, the deadline passes or the retry budget is spent.
    async fn open_with_retries(&mut self) -> Result<EngineStream, Failure> {
        loop {
            let (worker, address) = self.choose_engine()?;
            let reason = match self.open_stream(worker.clone(), address).await {
                Ok(engine) => return Ok(engine),
                Err(EngineError::Refused { reason }) => {
                    return Err(Failure::not_run(ErrorKind::InvalidRequest, reason));
                }
                Err(EngineError::OtherSoftware { reason }) => {
                    // The engine is sound and did no work, so the retry budget is not charged.
                    self.record_decision(format!("pass over worker {worker}"), reason);
                    self.excluded.push(worker);
                    self.is_software_gone = true;
                    continue;
                }
                Err(EngineError::NotStarted { reason }) => {
                    let now = self.context.clock.now();
                    lock(&self.context.workers).record_connection_failure(&worker, now);
                    reason
                }
                Err(EngineError::Broken { reason }) => {
                    self.may_have_started = true;
                    reason
                }
            };
            self.record_decision(format!("give up worker {worker}"), reason);
            self.excluded.push(worker);
            self.try_take_retry()?;
        }
    }

    /// Chooses an engine of the pool that has not failed this request.
    fn choose_engine(&self) -> Result<(WorkerId, SocketAddr), Failure> {
        if self.is_expired() {
            return Err(self.failure(ErrorKind::DeadlineExceeded, "the deadline passed"));
        }
        let now = self.context.clock.now();
        let size = self.context.settings.scheduler.subset_size;
        let subset = subset(&self.context, &self.request.pool, size);
        let workers = lock(&self.context.workers);
        let placement = PlacementRequest {
            pool: &self.request.pool,
            zone: &self.context.own.zone,
            model: &self.request.model,
            prompt: &self.request.prompt,
            subset: &subset,
            excluded: &self.excluded,
        };
        match choose(&workers, placement, &self.context.settings.scheduler, now) {
            Ok(worker) => Ok((worker.machine.id.clone(), worker.machine.address)),
            Err(NoWorker::AllFull) if self.is_software_gone => Err(self.failure(
                ErrorKind::Unavailable,
                "no engine of the software version that began the answer takes it",
            )),
            Err(NoWorker::AllFull) => {
                Err(self.failure(ErrorKind::Overloaded, "every engine of the pool is full"))
            }
            Err(NoWorker::NoneAccepting) => {
                Err(self.failure(ErrorKind::Unavailable, "no engine of the pool takes work"))
            }
        }
    }

    /// Sends the request to one engine, from the first token that has not been relayed.
    async fn open_stream(
        &self,
        worker: WorkerId,
        address: SocketAddr,
    ) -> Result<EngineStream, EngineError> {
        let in_flight = InFlight::new(&self.context, &worker);
        let request = GenerateRequest {
            request: self.request.id.clone(),
            model: self.request.model.clone(),
            prompt: self.request.prompt.clone(),
            max_tokens: self.request.max_tokens,
            priority: Priority::Online,
            resume_from: self.next_index,
            software: self.software.clone(),
        };
        self.record_decision(
            format!("send to worker {worker} from token {}", self.next_index),
            format!(
                "prefix affinity within the load bound of pool {}",
                self.request.pool
            ),
        );
        let engines = &self.context.engines;
        let permit = SendPermit::always();
        let stream = engines
            .generate(address, &request, permit, RESPONSE_HEAD_TIMEOUT)
            .await?;
        Ok(EngineStream {
            worker,
            address,
            stream,
            _in_flight: in_flight,
        })
    }

    /// Relays tokens until the answer is complete, and resumes on another engine when one fails.
    async fn relay(
        mut self,
        mut engine: EngineStream,
        sender: mpsc::Sender<Result<TokenEvent, Failure>>,
    ) {
        loop {
            self.may_have_started = true;
            let end = self.relay_engine(&mut engine, &sender).await;
            let reason = match end {
                RelayEnd::Done => return,
                RelayEnd::Expired => {
                    self.cancel(engine.address).await;
                    let failure = self.failure(ErrorKind::DeadlineExceeded, "the deadline passed");
                    drop(sender.send(Err(failure)).await);
                    return;
                }
                RelayEnd::Broken(reason) => reason,
            };
            self.record_decision(
                format!("resume elsewhere than on worker {}", engine.worker),
                reason,
            );
            self.excluded.push(engine.worker.clone());
            drop(engine);
            match self.resume().await {
                Ok(next) => engine = next,
                Err(failure) => {
                    drop(sender.send(Err(failure)).await);
                    return;
                }
            }
        }
    }

    /// Opens a stream on another engine after one failed. Takes a retry from the budget.
    async fn resume(&mut self) -> Result<EngineStream, Failure> {
        self.try_take_retry()?;
        self.context.metrics.resumed_streams.inc();
        self.open_with_retries().await
    }

    /// Relays the tokens of one engine until its stream ends or cannot be used further.
    async fn relay_engine(
        &mut self,
        engine: &mut EngineStream,
        sender: &mpsc::Sender<Result<TokenEvent, Failure>>,
    ) -> RelayEnd {
        loop {
            let received = tokio::select! {
                received = tokio::time::timeout(self.next_token_timeout(), engine.stream.next()) => received,
                () = sender.closed() => {
                    self.cancel(engine.address).await;
                    return RelayEnd::Done;
                }
            };
            let event = match received {
                Err(_) if self.is_expired() => return RelayEnd::Expired,
                Err(_) => return RelayEnd::Broken("no token in time".to_owned()),
                Ok(None) => return RelayEnd::Broken("the stream ended early".to_owned()),
                Ok(Some(Err(error))) => return RelayEnd::Broken(error.to_string()),
                Ok(Some(Ok(event))) => event,
            };
            if event.request != self.request.id {
                return RelayEnd::Broken("an event of another request".to_owned());
            }
            if event.index < self.next_index {
                continue;
            }
            if event.index > self.next_index {
                return RelayEnd::Broken("a token is missing".to_owned());
            }
            if event.finish == Some(FinishReason::Cancelled) {
                return RelayEnd::Broken("the engine cancelled it".to_owned());
            }
            if self.software.is_none() {
                self.software.clone_from(&event.software);
            }
            let finished = event.finish.is_some();
            self.count_token(finished);
            if sender.send(Ok(event)).await.is_err() || finished {
                return RelayEnd::Done;
            }
        }
    }

    fn count_token(&mut self, finished: bool) {
        if self.next_index == 0 {
            let elapsed = self.context.clock.now().saturating_sub(self.started_at);
            self.context
                .metrics
                .first_token
                .observe(elapsed.as_secs_f64());
        }
        if !finished {
            self.next_index += 1;
        }
    }

    /// Timeout for the next token: the configured one, but at most the time left until the request's
    /// deadline.
    fn next_token_timeout(&self) -> Duration {
        let scheduler = &self.context.settings.scheduler;
        let timeout = if self.next_index == 0 {
            scheduler.first_token_timeout
        } else {
            scheduler.token_timeout
        };
        let now = self.context.clock.now();
        let remaining = self
            .request
            .deadline
            .map(|deadline| deadline.saturating_sub(now));
        remaining.map_or(timeout, |remaining| timeout.min(remaining))
    }

    fn is_expired(&self) -> bool {
        let now = self.context.clock.now();
        self.request
            .deadline
            .is_some_and(|deadline| now >= deadline)
    }

    async fn cancel(&self, engine: SocketAddr) {
        let engines = &self.context.engines;
        drop(
            engines
                .cancel(engine, &self.request.id, CANCEL_TIMEOUT)
                .await,
        );
    }

    /// Takes one retry from the node's retry budget.
    fn try_take_retry(&self) -> Result<(), Failure> {
        if lock(&self.context.retries).try_take_retry() {
            return Ok(());
        }
        Err(self.failure(
            ErrorKind::Unavailable,
            "engines fail and the retry budget is spent",
        ))
    }

    /// A failure that says whether any engine may have started to run the request.
    fn failure(&self, kind: ErrorKind, message: &str) -> Failure {
        let failure = if self.may_have_started {
            Failure::unknown(kind, message)
        } else {
            Failure::not_run(kind, message)
        };
        failure.with_retry_after(RETRY_AFTER)
    }

    /// Adds a decision about this request to the decisions that operators can read.
    fn record_decision(&self, decision: String, reason: String) {
        let subject = format!("request {}", self.request.id);
        self.context.decisions.record(subject, decision, reason);
    }
}

/// Counts one online request as in progress on a worker until dropped.
struct InFlight {
    context: Arc<Context>,
    worker: WorkerId,
}

impl InFlight {
    fn new(context: &Arc<Context>, worker: &WorkerId) -> Self {
        if let Some(worker) = lock(&context.workers).get_mut(worker) {
            worker.own_online += 1;
        }
        context.batch.preempt_for_online(context);
        Self {
            context: Arc::clone(context),
            worker: worker.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(worker) = lock(&self.context.workers).get_mut(&self.worker) {
            worker.own_online = worker.own_online.saturating_sub(1);
        }
        self.context.batch.notify_changed();
    }
}
