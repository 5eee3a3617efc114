//! The probe cycle, and the gossip that is piggybacked on probes.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_membership::{Change, MemberState, ProbePlan};
use swiftshunt_types::{Monotonic, NodeId};

use crate::context::{Context, HintSource};
use crate::lifecycle::Stage;
use crate::lock;
use crate::peer::{Gossip, StateVersions};

/// Interval at which the membership's timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which seeds that are not known members are contacted.
const SEED_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a node without reachable peers contacts its seeds.
const ISOLATED_SEED_INTERVAL: Duration = Duration::from_millis(50);

/// Probes members until the process ends.
pub(crate) async fn run_gossip(context: Arc<Context>) {
    let mut ticker = tokio::time::interval(TICK_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut seeds_due = context.clock.now();
    loop {
        ticker.tick().await;
        let now = context.clock.now();
        if now >= seeds_due {
            seeds_due = now + join_through_seeds(&context);
        }
        let (changes, plan) = lock(&context.membership).tick(now, &mut rand::rng());
        log_changes(&changes);
        if let Some(plan) = plan {
            tokio::spawn(probe(Arc::clone(&context), plan));
        }
    }
}

/// Sends a join message to the nodes of the machine list and the seeds that are not known members.
/// Returns the time until the next attempt.
fn join_through_seeds(context: &Arc<Context>) -> Duration {
    let listed = lock(&context.machine_list).clone();
    let nodes = listed.machines.iter();
    let nodes = nodes.filter(|machine| machine.kind == swiftshunt_types::MachineKind::Node);
    let mut addresses: Vec<SocketAddr> = nodes.map(|machine| machine.address).collect();
    addresses.extend(&context.settings.seeds);
    let is_alone = {
        let membership = lock(&context.membership);
        addresses
            .retain(|address| *address != context.own.peer && !membership.knows_address(*address));
        membership.reachable().count() == 1
    };
    for address in addresses {
        tokio::spawn(join_seed(Arc::clone(context), address));
    }
    if is_alone {
        ISOLATED_SEED_INTERVAL
    } else {
        SEED_INTERVAL
    }
}

async fn join_seed(context: Arc<Context>, address: SocketAddr) {
    let message = own_gossip(&context, true);
    let timeout = context.settings.membership.probe_timeout;
    if let Ok(answer) = context.peers.gossip(address, &message, timeout).await {
        merge_gossip(&context, answer, address);
    }
}

/// Probes a member directly, and through helpers one after another if it does not answer.
async fn probe(context: Arc<Context>, plan: ProbePlan) {
    let target = plan.target;
    let mut message = own_gossip(&context, may_lack_updates(&context, target.id));
    // This node's record of the target is always included, so that the target can refute a suspicion.
    let target_record = lock(&context.membership).record(target.id).cloned();
    message.members.extend(target_record);
    let timeout = context.settings.membership.probe_timeout;
    let answer = context.peers.gossip(target.peer, &message, timeout).await;
    let now = context.clock.now();
    if let Ok(answer) = answer {
        let answered_by = answer.from.id;
        merge_gossip(&context, answer, target.peer);
        let changes = lock(&context.membership).probe_answered(target.id, answered_by, now);
        log_changes(&changes);
        return;
    }
    for helper in &plan.helpers {
        // The helper's own probe of the target may take one timeout.
        let timeout = timeout * 2;
        let answer = context.peers.probe(helper.peer, target.peer, timeout).await;
        if let Some(answered_by) = answer.ok().and_then(|answer| answer.answered_by) {
            let changes = lock(&context.membership).probe_answered(target.id, answered_by, now);
            log_changes(&changes);
            return;
        }
    }
    let now = context.clock.now();
    let changes = lock(&context.membership).probe_failed(target.id, now);
    log_changes(&changes);
}

/// Builds this node's gossip message: all records and leader hints if `complete`, else the next
/// updates to disseminate.
pub(crate) fn own_gossip(context: &Context, complete: bool) -> Gossip {
    let digest = digest(context);
    let members = {
        let mut membership = lock(&context.membership);
        if complete {
            membership.all_records()
        } else {
            membership.next_updates()
        }
    };
    let routes = {
        let mut routes = lock(&context.routes);
        let limit = context.settings.membership.changes_per_message;
        if complete {
            routes.table.hints().copied().collect()
        } else {
            let chosen = routes.updates.next(limit);
            let hints = chosen
                .iter()
                .filter_map(|partition| routes.table.hint(*partition));
            hints.copied().collect()
        }
    };
    let leaving = lock(&context.workers)
        .self_declared_leaving()
        .cloned()
        .collect();
    Gossip {
        from: context.own.clone(),
        partitions: context.settings.ledger.partitions,
        versions: versions(context),
        members,
        routes,
        leaving_workers: leaving,
        digest,
        complete,
    }
}

/// Merges a message and builds the answer. The answer is complete if the sender joins or returns, or if
/// the digests differ although this node's view has not changed for [`STABLE_DELAY`]: before that,
/// updates still being disseminated may explain the difference.
pub(crate) fn answer_gossip(context: &Arc<Context>, received: Gossip) -> Gossip {
    let sender = received.from.peer;
    let sender_needs_all = received.complete || may_lack_updates(context, received.from.id);
    let digests_differ = received.digest != digest(context);
    let is_stable = context.gossip_stability.is_stable(context);
    merge_gossip(context, received, sender);
    own_gossip(context, sender_needs_all || (digests_differ && is_stable))
}

/// Whether a member did not answer probes: updates that were disseminated meanwhile may not have reached
/// it, and are not sent again.
fn may_lack_updates(context: &Context, id: NodeId) -> bool {
    let membership = lock(&context.membership);
    let record = membership.record(id);
    record.is_some_and(|record| matches!(record.state, MemberState::Suspect | MemberState::Dead))
}

/// Tracks when this node's view of members and leaders last changed.
#[derive(Default)]
pub(crate) struct GossipStability {
    /// The version of the view, and when it was first observed.
    last_change: Mutex<(u64, Monotonic)>,
}

/// Time without a change after which the view is stable; updates have reached every node by then.
const STABLE_DELAY: Duration = Duration::from_secs(5);

impl GossipStability {
    fn is_stable(&self, context: &Context) -> bool {
        let version = lock(&context.membership).version() + lock(&context.routes).version;
        let now = context.clock.now();
        let mut last_change = lock(&self.last_change);
        if last_change.0 != version {
            *last_change = (version, now);
        }
        now >= last_change.1 + STABLE_DELAY
    }
}

/// Merges a peer's message. `sender_address` is the peer address of the sender.
fn merge_gossip(context: &Arc<Context>, received: Gossip, sender_address: SocketAddr) {
    if received.partitions != context.settings.ledger.partitions {
        log::error!(peer = received.from.id.to_string().as_str();
            "peer is configured with {} ledger partitions and this node with {}; ignoring its messages",
            received.partitions, context.settings.ledger.partitions);
        return;
    }
    let now = context.clock.now();
    let changes = lock(&context.membership).merge(received.members, now);
    log_changes(&changes);
    merge_routes(context, received.routes);
    merge_leaving_workers(context, received.leaving_workers);
    fetch_newer_state(context, received.versions, sender_address);
    if context.lifecycle.stage() == Stage::Starting {
        start_serving_if_current(context, received.versions);
    }
}

/// Merges leader hints, and disseminates those that change the table.
fn merge_routes(context: &Context, hints: Vec<swiftshunt_ledger::routes::LeaderHint>) {
    let fleet_size = lock(&context.membership).records().count();
    let mut routes = lock(&context.routes);
    for hint in hints {
        routes.merge(hint, HintSource::Gossip, fleet_size);
    }
}

fn merge_leaving_workers(
    context: &Context,
    leaving: Vec<(swiftshunt_types::WorkerId, SocketAddr)>,
) {
    let mut workers = lock(&context.workers);
    for (worker, address) in leaving {
        workers.mark_leaving(worker, address);
    }
}

/// Fetches the configuration and the machine list from a peer, each if the peer's version is newer.
fn fetch_newer_state(context: &Arc<Context>, peer_versions: StateVersions, peer: SocketAddr) {
    let own_versions = versions(context);
    if peer_versions.configuration > own_versions.configuration {
        tokio::spawn(super::configuration::fetch(Arc::clone(context), peer));
    }
    if peer_versions.machines > own_versions.machines {
        tokio::spawn(super::machines::fetch(Arc::clone(context), peer));
    }
}

/// Starts serving if this node's configuration is at least as new as that of the peer.
fn start_serving_if_current(context: &Context, peer_versions: StateVersions) {
    let own_version = versions(context).configuration;
    if own_version > 0 && own_version >= peer_versions.configuration {
        context.lifecycle.start_serving();
    }
}

fn versions(context: &Context) -> StateVersions {
    StateVersions {
        configuration: context.configuration.borrow().version,
        machines: lock(&context.workers).version(),
    }
}

/// Hash of the known members and leaders; equal on nodes with the same view. Suspected, dead and left
/// members are not included.
fn digest(context: &Context) -> u64 {
    let mut hasher = DefaultHasher::new();
    for record in lock(&context.membership).records() {
        let is_confirmed = matches!(record.state, MemberState::Alive | MemberState::Leaving);
        if is_confirmed {
            (record.member.id, record.incarnation, record.state).hash(&mut hasher);
        }
    }
    for hint in lock(&context.routes).table.hints() {
        (hint.partition, hint.generation, hint.term, hint.sequence).hash(&mut hasher);
    }
    hasher.finish()
}

/// Tells some peers that this node has left, so that its departure needs no failure detection.
pub(crate) async fn announce_left(context: &Arc<Context>) {
    lock(&context.membership).announce_left(context.clock.now());
    let message = own_gossip(context, true);
    let others: Vec<SocketAddr> = {
        let membership = lock(&context.membership);
        let others = membership
            .reachable()
            .filter(|member| member.id != context.own.id);
        others
            .take(MAX_LEAVE_NOTICES)
            .map(|member| member.peer)
            .collect()
    };
    let timeout = context.settings.membership.probe_timeout;
    for other in others {
        drop(context.peers.gossip(other, &message, timeout).await);
    }
}

/// Number of peers that are told directly that this node has left; gossip disseminates it further.
const MAX_LEAVE_NOTICES: usize = 6;

fn log_changes(changes: &[Change]) {
    for change in changes {
        let member = change.member.id.to_string();
        log::info!(member = member.as_str(), zone = change.member.zone.as_str(); "member is {}", change.state);
    }
}
