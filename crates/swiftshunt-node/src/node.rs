//! Start, planned stop and abort of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use swiftshunt_config::Settings;
use swiftshunt_http::{BindError, ServeHandle, bind, serve};
use swiftshunt_membership::Member;
use swiftshunt_types::NodeId;
use tokio::task::JoinHandle;

use crate::batch::{BatchState, renew_grants};
use crate::clock::Clock;
use crate::context::{Context, random_u64};
use crate::lifecycle::Stage;
use crate::{api, fleet, ledger, lock, peer};

/// The node cannot listen on a configured address.
#[derive(Debug, Display, Error)]
#[display("{field}: {source}")]
pub struct StartError {
    /// Key of the setting that holds the address.
    pub field: &'static str,
    /// Why the address cannot be bound.
    pub source: BindError,
}

/// Handle of a running node.
pub struct RunningNode {
    context: Arc<Context>,
    api: SocketAddr,
    peer: SocketAddr,
    api_server: ServeHandle,
    peer_server: ServeHandle,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts a node. It accepts connections once this returns, and serves requests once it has a
/// configuration.
pub async fn start(mut settings: Settings) -> Result<RunningNode, StartError> {
    let failed = |field| move |source| StartError { field, source };
    let api = bind(settings.listen.api).await;
    let (api, api_address) = api.map_err(failed("listen.api"))?;
    let peer = bind(settings.listen.peer).await;
    let (peer, peer_address) = peer.map_err(failed("listen.peer"))?;
    settings.listen.api = api_address;
    settings.listen.peer = peer_address;
    let own = Member {
        id: NodeId(random_u64()),
        zone: settings.zone.clone(),
        api: settings.listen.advertise_api.unwrap_or(api_address),
        peer: settings.listen.advertise_peer.unwrap_or(peer_address),
    };
    let context = Arc::new(Context::new(settings, own, Clock::start()));
    let api_router = api::router(&context);
    let peer_router = peer::router(&context);
    let api_server = serve(api, api_router);
    let peer_server = serve(peer, peer_router);
    let tasks = spawn_tasks(&context);
    let id = context.own.id.to_string();
    log::info!(node = id.as_str(), api = api_address.to_string().as_str(),
        peer = peer_address.to_string().as_str(); "node is listening");
    Ok(RunningNode {
        context,
        api: api_address,
        peer: peer_address,
        api_server,
        peer_server,
        tasks,
    })
}

fn spawn_tasks(context: &Arc<Context>) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(fleet::run_gossip(Arc::clone(context))),
        tokio::spawn(fleet::follow_configuration(Arc::clone(context))),
        tokio::spawn(fleet::poll_machines(Arc::clone(context))),
        tokio::spawn(fleet::poll_loads(Arc::clone(context))),
        tokio::spawn(ledger::supervise(Arc::clone(context))),
        tokio::spawn(BatchState::run(Arc::clone(context))),
        tokio::spawn(renew_grants(Arc::clone(context))),
        tokio::spawn(fleet::follow_events(Arc::clone(context))),
    ]
}

/// Interval at which a stop checks whether the node still leads partitions.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for the servers to close their connections once no request is in progress.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for other nodes to take over the partitions that this node leads.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

impl RunningNode {
    /// Returns the identity of this process; it is new at each start.
    pub fn id(&self) -> NodeId {
        self.context.own.id
    }

    /// Returns the address that serves callers and operators.
    pub fn api_address(&self) -> SocketAddr {
        self.api
    }

    /// Returns the address that serves other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer
    }

    /// Waits until the node starts draining, as an operator requests it by a statement.
    pub async fn wait_until_draining(&self) {
        self.context.lifecycle.wait_for(Stage::Draining).await;
    }

    /// Stops the node in order: refuses new requests, finishes those in progress, hands over the
    /// partitions that it leads, announces its departure and ends its tasks. The waits for requests, for
    /// the hand-over and for connections to close have timeouts.
    pub async fn stop(mut self) {
        let context = &Arc::clone(&self.context);
        context.lifecycle.start_draining();
        self.api_server.drain();
        lock(&context.membership).announce_leaving(context.clock.now());
        log::info!("node is draining");
        let limit = context.settings.limits.drain_timeout;
        if tokio::time::timeout(limit, context.lifecycle.wait_until_idle())
            .await
            .is_err()
        {
            let left = context.lifecycle.in_progress();
            log::warn!("{left} requests did not end within the drain timeout, continuing the stop");
        }
        drop(tokio::time::timeout(HAND_OVER_TIMEOUT, self.wait_for_hand_over()).await);
        self.api_server.stop(CLOSE_TIMEOUT).await;
        fleet::announce_left(context).await;
        self.peer_server.stop(CLOSE_TIMEOUT).await;
        self.api_server.ended().await;
        log::info!("node stopped");
        self.abort();
    }

    /// Ends all tasks immediately, as a crash would, without finishing requests.
    pub fn abort(self) {
        self.context.aborted.cancel();
        self.api_server.abort();
        self.peer_server.abort();
        for task in &self.tasks {
            task.abort();
        }
    }

    async fn wait_for_hand_over(&self) {
        while self.context.ledger.leads_any().await {
            tokio::time::sleep(HAND_OVER_POLL_INTERVAL).await;
        }
    }
}
