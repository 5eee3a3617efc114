//! Wrappers of the HTTP libraries: a client that reports whether a failed request may have been written,
//! and handlers written as functions from an owned request to a response.

mod acceptor;
mod cbor;
mod client;
mod endpoint;
mod event_numbers;
mod event_stream;
mod final_status;
mod send_permit;
mod serve;

pub use cbor::{decode_cbor, encode_cbor};
pub use client::{CBOR, HttpAnswer, HttpClient, HttpError, HttpRequest, JSON, retry_after};
pub use endpoint::{Call, Endpoint, ObserveFailure, Reply, endpoint};
pub use event_numbers::{EventNumbers, NumberBreak, NumberRule, StreamPoint};
pub use event_stream::{
    BodyChunk, EventPosition, EventStreamBody, Framing, MAX_EVENT_BYTES, StreamBreak, StreamEnd,
    StreamReadError, is_only_line_ends,
};
pub use final_status::is_final_status;
pub use salvo::Router;
pub use send_permit::{PermitOver, PermittedBody, SendPermit};
pub use serve::{BindError, ServeHandle, bind, serve};
