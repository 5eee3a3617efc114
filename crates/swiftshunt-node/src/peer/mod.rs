//! The interface between nodes: CBOR over HTTP.

mod client;
mod protocol;
mod server;

pub(crate) use client::{PeerClient, PeerTraffic};
pub(crate) use protocol::{
    Gossip, LedgerAnswer, LedgerOperation, LedgerQuery, LedgerRefusal, LedgerRequest,
    PartitionView, ProbeAnswer, ProbeRequest, RaftBatch, StateVersions,
};
pub(crate) use server::router;
