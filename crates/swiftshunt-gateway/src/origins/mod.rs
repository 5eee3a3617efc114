//! The origins of streams, shared by all gateways ([`swiftshunt_scheduler::origins`]).
//!
//! A caller whose stream broke off may take it up at any gateway, also after the one that began it is gone. While
//! several software versions serve, the gateway that begins a stream therefore tells a few others of its region before
//! the caller gets the first event; the gateway that is asked to go on with it asks these. While one version alone
//! serves, nothing is sent, and a gateway that begins to see a second version tells the origins of all streams that it
//! remembers.

mod evidence;
mod sole_version;
mod version_marks;
mod view_check;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_journal::Log;
use swiftshunt_routing::Route;
use swiftshunt_scheduler::origins::key::AttemptKey;
use swiftshunt_scheduler::origins::resolution::{
    Evidence, Finding, OriginKnowledge, UnknownOrigin, resolve,
};
use swiftshunt_scheduler::origins::table::{OriginTable, Recorded, StreamOrigin};
use swiftshunt_scheduler::selection::ChosenWorker;
use swiftshunt_types::OutputOrigin;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::fleet_state::{FleetState, lock};
use crate::members::Members;
use crate::messages::Notice;
use crate::messages::origins::{BegunStream, OriginMessage};
use crate::metrics::{Metrics, OriginSource};
use crate::protocol::Identity;
use crate::quarantine::RequestContent;
use sole_version::RouteAgreements;
pub(crate) use version_marks::VersionMarks;
pub(crate) use view_check::ViewCheck;

/// Number of gateways that remember a stream's origin besides the one that began it: a zone and a further gateway may
/// be lost together with that one.
const HOLDERS: usize = 3;
/// Longest time between the end of a caller's attempt and the attempt that takes its stream up. Added to the longest
/// time-out of a stream, it bounds the time for which an origin matters.
const TAKE_UP_GAP: Duration = Duration::from_secs(10);
/// Upper bound of the number of remembered origins: some 10 MB.
const TABLE_CAPACITY: usize = 32_768;
/// Number of origins in one datagram, which must fit into its maximum size.
const STREAMS_PER_MESSAGE: usize = 8;
/// Time-out for the answers of holders in the same region. Most answer within a few milliseconds; one whose processor
/// share is used up answers after a tenth of a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// Interval at which a question is sent again to holders that have not answered: a datagram may be lost.
const ASK_AGAIN_INTERVAL: Duration = Duration::from_millis(30);
/// Longest wait after the start of the process until the other gateways are known, so that they can be asked.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which the wait for the other gateways is checked.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a gateway learns that a worker has restarted: the entry of its earlier life goes after three missed
/// heartbeats at the latest, of which gateways learn within seconds.
const RESTART_NOTICE_TIME: Duration = Duration::from_secs(6);

/// A stream that a caller takes up.
pub(crate) struct TakenUpStream<'r> {
    /// Content of the request, which names the caller and the host.
    pub(crate) request_content: &'r RequestContent,
    /// Identifier of the attempt that brought the first event.
    pub(crate) first_attempt: &'r str,
    /// The route of the request.
    pub(crate) route: &'r Route,
}

/// A route, as gateways name it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RouteName {
    host: String,
    path_prefix: String,
}

/// What [`StreamOrigins`] uses of the gateway.
pub(crate) struct OriginContext {
    pub(crate) log: Arc<dyn Log>,
    pub(crate) members: Arc<Members>,
    pub(crate) datagrams: Arc<Datagrams>,
    pub(crate) fleet_state: Arc<FleetState>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) version_marks: Arc<VersionMarks>,
    pub(crate) view_check: ViewCheck,
    pub(crate) clock: Clock,
}

/// Remembers the origins of streams, and finds those of streams that callers take up.
pub(crate) struct StreamOrigins {
    context: OriginContext,
    table: Mutex<OriginTable>,
    /// Services of which this gateway sees several versions, whose remembered origins were told to others.
    several_versions: Mutex<BTreeSet<String>>,
    agreements: RouteAgreements,
    pending_asks: Mutex<HashMap<u64, mpsc::UnboundedSender<(SocketAddr, OriginKnowledge)>>>,
    last_ask: AtomicU64,
}

/// An open question. Dropping this removes it, also when the task that asked was cancelled.
struct PendingAsk<'o> {
    origins: &'o StreamOrigins,
    ask: u64,
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        lock(&self.origins.pending_asks).remove(&self.ask);
    }
}

impl StreamOrigins {
    pub(crate) fn new(context: OriginContext) -> Self {
        Self {
            context,
            table: Mutex::new(OriginTable::new(TABLE_CAPACITY)),
            several_versions: Mutex::default(),
            agreements: RouteAgreements::default(),
            pending_asks: Mutex::default(),
            last_ask: AtomicU64::new(0),
        }
    }

    /// Records what began a stream, here and, unless one version alone has served, at other gateways. Called before the
    /// first event is forwarded.
    pub(crate) fn record(
        &self,
        request_content: &RequestContent,
        first_attempt: &str,
        route: &Route,
        chosen: &ChosenWorker,
    ) {
        let key = attempt_key(request_content, first_attempt);
        let origin = StreamOrigin {
            output: chosen.origin(),
            worker: chosen.incarnation.clone(),
        };
        let ttl = self.ttl();
        let now = self.context.clock.now();
        lock(&self.table).record(key, origin.clone(), ttl, now);
        let evidence = self.evidence(&RouteName {
            host: request_content.host().to_owned(),
            path_prefix: route.path_prefix.clone(),
        });
        if !matches!(evidence, Evidence::Sole(_)) {
            self.tell_holders(vec![begun_stream(key, &origin, ttl)]);
        }
    }

    /// Finds what a stream that a caller takes up is bound to.
    pub(crate) async fn find(
        &self,
        stream: &TakenUpStream<'_>,
    ) -> Result<OutputOrigin, UnknownOrigin> {
        let found = self.find_with_source(stream).await;
        let source = match &found {
            Ok((_, source)) => *source,
            Err(unknown) => (*unknown).into(),
        };
        self.context.metrics.record_take_up(source);
        found.map(|(origin, _)| origin)
    }

    async fn find_with_source(
        &self,
        stream: &TakenUpStream<'_>,
    ) -> Result<(OutputOrigin, OriginSource), UnknownOrigin> {
        let key = attempt_key(stream.request_content, stream.first_attempt);
        let route = RouteName {
            host: stream.request_content.host().to_owned(),
            path_prefix: stream.route.path_prefix.clone(),
        };
        let own = self.knowledge(&key, &route);
        match resolve(&[own]) {
            Ok(Finding::Recorded(origin)) => return Ok((origin, OriginSource::OwnRecord)),
            Err(UnknownOrigin::Conflicting) => return Err(UnknownOrigin::Conflicting),
            // Another gateway may have a record.
            Ok(Finding::Sole(_)) | Err(UnknownOrigin::Several | UnknownOrigin::Unsure) => {}
        }
        let mut knowledge = self.ask_holders(key, &route).await;
        // This gateway may have learned more while it waited.
        knowledge.push(self.knowledge(&key, &route));
        match resolve(&knowledge) {
            Ok(Finding::Recorded(origin)) => Ok((origin, OriginSource::PeerRecord)),
            Ok(Finding::Sole(_)) => self.confirm_sole_version(&route, &knowledge).await,
            Err(UnknownOrigin::Unsure) => self.find_by_marks(&route).await,
            Err(unknown) => Err(unknown),
        }
    }

    /// Returns the time for which the origin of a stream that begins now is remembered.
    fn ttl(&self) -> Duration {
        let configuration = self.context.fleet_state.configuration();
        let longest = configuration.map(|configuration| configuration.longest_stream());
        longest.unwrap_or_default() + TAKE_UP_GAP
    }

    /// Returns what this gateway knows of a stream.
    fn knowledge(&self, key: &AttemptKey, route: &RouteName) -> OriginKnowledge {
        let now = self.context.clock.now();
        let table = lock(&self.table);
        match table.find(key, now) {
            Some(Recorded::Origin(origin, recorded_at)) => {
                let selector = self.context.fleet_state.selector();
                let is_doubtful = selector.may_have_been_replaced(
                    &origin.worker,
                    recorded_at,
                    RESTART_NOTICE_TIME,
                );
                if is_doubtful {
                    OriginKnowledge::Conflicting
                } else {
                    OriginKnowledge::Recorded(origin.output.clone())
                }
            }
            Some(Recorded::Conflicting) => OriginKnowledge::Conflicting,
            None => {
                drop(table);
                OriginKnowledge::Unrecorded(self.evidence(route))
            }
        }
    }

    /// Returns the gateways that remember the origin of a stream, without this one.
    fn holders(&self, key: &AttemptKey) -> Vec<SocketAddr> {
        let mut holders = self.context.members.ranked_in_own_region(key, HOLDERS);
        holders.retain(|gateway| *gateway != self.context.members.own_address());
        holders
    }

    /// Tells the holders of each stream its origin.
    fn tell_holders(&self, streams: Vec<BegunStream>) {
        let mut by_holder: HashMap<SocketAddr, Vec<BegunStream>> = HashMap::new();
        for stream in streams {
            for holder in self.holders(&stream.key) {
                by_holder.entry(holder).or_default().push(stream.clone());
            }
        }
        for (holder, streams) in by_holder {
            for streams in streams.chunks(STREAMS_PER_MESSAGE) {
                let streams = streams.to_vec();
                self.send(OriginMessage::Began { streams }, holder);
            }
        }
    }

    fn send(&self, message: OriginMessage, to: SocketAddr) {
        self.context.datagrams.send(&Notice::Origin(message), [to]);
    }

    /// Asks the holders of a stream what they know. Returns the answers that arrived in time; once one has a record,
    /// no further ones are awaited.
    async fn ask_holders(&self, key: AttemptKey, route: &RouteName) -> Vec<OriginKnowledge> {
        self.wait_until_members_known().await;
        self.ask(self.holders(&key), key, route).await
    }

    /// Asks gateways what they know of a stream. Returns the answers that arrived in time; once one has a record, no
    /// further ones are awaited.
    async fn ask(
        &self,
        mut unanswered: Vec<SocketAddr>,
        key: AttemptKey,
        route: &RouteName,
    ) -> Vec<OriginKnowledge> {
        let ask = self.last_ask.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, mut answers) = mpsc::unbounded_channel();
        lock(&self.pending_asks).insert(ask, sender);
        let _pending = PendingAsk { origins: self, ask };
        let question = OriginMessage::Ask {
            ask,
            key,
            host: route.host.clone(),
            path_prefix: route.path_prefix.clone(),
        };
        let deadline = tokio::time::Instant::now() + ANSWER_TIMEOUT;
        let mut knowledge = Vec::new();
        while !unanswered.is_empty() && tokio::time::Instant::now() < deadline {
            for holder in &unanswered {
                self.send(question.clone(), *holder);
            }
            let ask_again_at = tokio::time::Instant::now() + ASK_AGAIN_INTERVAL;
            let until = ask_again_at.min(deadline);
            while !unanswered.is_empty()
                && let Ok(Some((from, known))) =
                    tokio::time::timeout_at(until, answers.recv()).await
            {
                let Some(position) = unanswered.iter().position(|asked| *asked == from) else {
                    // It was asked again before its first answer arrived.
                    continue;
                };
                unanswered.swap_remove(position);
                let is_recorded = !matches!(known, OriginKnowledge::Unrecorded(_));
                knowledge.push(known);
                if is_recorded {
                    return knowledge;
                }
            }
            if unanswered
                .iter()
                .all(|holder| self.context.members.is_suspected(*holder))
            {
                return knowledge;
            }
        }
        for holder in unanswered {
            self.context.members.record_timeout(holder);
        }
        knowledge
    }

    /// Waits until the other gateways are known, for [`MEMBERS_TIMEOUT`] after the start at most.
    async fn wait_until_members_known(&self) {
        while !self.context.members.is_list_loaded() && self.context.clock.now() < MEMBERS_TIMEOUT {
            tokio::time::sleep(MEMBERS_POLL_INTERVAL).await;
        }
    }

    /// Handles a message of another gateway.
    pub(crate) fn handle_message(&self, message: OriginMessage, from: SocketAddr) {
        match message {
            OriginMessage::Began { streams } => {
                let now = self.context.clock.now();
                let mut table = lock(&self.table);
                for stream in streams {
                    let ttl = Duration::from_millis(stream.ttl_ms);
                    table.record(stream.key, stream.origin, ttl, now);
                }
            }
            OriginMessage::Ask {
                ask,
                key,
                host,
                path_prefix,
            } => {
                let knowledge = self.knowledge(&key, &RouteName { host, path_prefix });
                self.send(OriginMessage::Knows { ask, knowledge }, from);
            }
            OriginMessage::Knows { ask, knowledge } => {
                let pending = lock(&self.pending_asks);
                let receiver_is_gone = pending
                    .get(&ask)
                    .is_some_and(|pending| pending.send((from, knowledge)).is_err());
                if receiver_is_gone {
                    log::debug!(ask; "an answer about a stream's origin arrived after its request had ended");
                }
            }
        }
    }
}

/// Returns the key of one of a caller's attempts.
fn attempt_key(request_content: &RequestContent, attempt: &str) -> AttemptKey {
    let caller = match request_content.identity() {
        Identity::Tenant(name) => name.as_str(),
        // Callers without a checked key cannot be told apart.
        Identity::Unchecked | Identity::Anyone => "",
    };
    AttemptKey::of(caller, request_content.host(), attempt)
}

fn begun_stream(key: AttemptKey, origin: &StreamOrigin, ttl: Duration) -> BegunStream {
    BegunStream {
        key,
        origin: origin.clone(),
        ttl_ms: ttl.as_millis() as u64,
    }
}
