//! Server of the peer interface.

use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use swiftshunt_http::{CBOR, Call, Reply, Router, decode_cbor, encode_cbor, endpoint};
use swiftshunt_types::{ErrorKind, Failure};

use super::{Gossip, LedgerRequest, ProbeAnswer, ProbeRequest, RaftBatch};
use crate::batch::GrantRequest;
use crate::context::Context;
use crate::fleet;

/// Size limit of a request body, in bytes. The largest messages carry a snapshot of a partition.
const MESSAGE_LIMIT: usize = 512 << 20;

/// Routes of the peer interface.
pub(crate) fn router(context: &Arc<Context>) -> Router {
    Router::with_path("peer")
        .push(Router::with_path("gossip").post(endpoint(context, gossip)))
        .push(Router::with_path("probe").post(endpoint(context, probe)))
        .push(Router::with_path("raft").post(endpoint(context, raft)))
        .push(Router::with_path("ledger").post(endpoint(context, ledger)))
        .push(Router::with_path("configuration").post(endpoint(context, configuration)))
        .push(Router::with_path("machines").post(endpoint(context, machines)))
        .push(Router::with_path("decisions").post(endpoint(context, decisions)))
        .push(Router::with_path("grants").post(endpoint(context, grants)))
        .push(Router::with_path("drain").post(endpoint(context, drain)))
}

async fn read<T: DeserializeOwned>(call: &mut Call) -> Result<T, Failure> {
    let body = call.body(MESSAGE_LIMIT).await?;
    decode_cbor(&body).map_err(|reason| Failure::not_run(ErrorKind::InvalidRequest, reason))
}

fn answer(value: &impl Serialize) -> Result<Reply, Failure> {
    let body =
        encode_cbor(value).map_err(|reason| Failure::unknown(ErrorKind::InvalidRequest, reason))?;
    Ok(Reply::bytes(CBOR, body))
}

async fn gossip(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    let received: Gossip = read(&mut call).await?;
    answer(&fleet::answer_gossip(&context, received))
}

async fn probe(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    let request: ProbeRequest = read(&mut call).await?;
    let message = fleet::own_gossip(&context, false);
    let timeout = context.settings.membership.probe_timeout;
    let probed = context
        .peers
        .gossip(request.target, &message, timeout)
        .await;
    answer(&ProbeAnswer {
        answered_by: probed.ok().map(|gossip| gossip.from.id),
    })
}

async fn raft(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    let batches: Vec<RaftBatch> = read(&mut call).await?;
    for batch in batches {
        context.ledger.receive(&context, batch);
    }
    answer(&())
}

async fn ledger(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    let request: LedgerRequest = read(&mut call).await?;
    let outcome = context
        .ledger
        .execute_local(request.partition, request.operation)
        .await;
    answer(&outcome)
}

async fn configuration(context: Arc<Context>, _call: Call) -> Result<Reply, Failure> {
    answer(&*context.configuration.borrow())
}

async fn machines(context: Arc<Context>, _call: Call) -> Result<Reply, Failure> {
    let list = crate::lock(&context.machine_list).clone();
    answer(&list)
}

async fn decisions(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    let subject: String = read(&mut call).await?;
    answer(&context.decisions.about(&subject))
}

async fn grants(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    let request: GrantRequest = read(&mut call).await?;
    answer(&context.granter.grant(&context, &request))
}

async fn drain(context: Arc<Context>, _call: Call) -> Result<Reply, Failure> {
    context.lifecycle.start_draining();
    answer(&())
}
