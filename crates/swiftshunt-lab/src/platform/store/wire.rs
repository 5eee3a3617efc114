//! Encoding of the calls and responses of the store stand-in.

use std::collections::HashMap;

use bytes::{Buf, Bytes};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use swiftshunt_platform::words::queries;

use crate::platform::server::{Body, full_body};

/// Parameters of a URL's query.
pub(super) struct Query(HashMap<String, String>);

impl Query {
    pub(super) fn of(request: &Request<Incoming>) -> Self {
        let query = request.uri().query().unwrap_or("");
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Self(
            pairs
                .map(|(key, value)| {
                    let value = percent_decode_str(value).decode_utf8_lossy();
                    (key.to_owned(), value.into_owned())
                })
                .collect(),
        )
    }

    /// Returns a parameter, or an empty string if it is absent.
    pub(super) fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    /// Returns a parameter as a number, or 0 if it is absent or not a number.
    pub(super) fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}

/// Returns a response without a body.
pub(super) fn status_answer(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(full_body(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Returns a response whose body is `document` in JSON.
pub(super) fn json_answer(document: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(document).unwrap_or_default();
    Response::new(full_body(body))
}

/// Decodes the body of an append into keys and values. Each record is its length (`u32`, big-endian), the length of
/// its key (`u8`), the key and the value; the record's length counts all that follows it. `None` if the body is
/// malformed.
pub(super) fn decode(mut body: Bytes) -> Option<Vec<(Vec<u8>, Bytes)>> {
    let mut records = Vec::new();
    while body.has_remaining() {
        let length = body.try_get_u32().ok()? as usize;
        if body.remaining() < length || length == 0 {
            return None;
        }
        let mut record = body.split_to(length);
        let key_length = record.get_u8() as usize;
        if record.len() < key_length {
            return None;
        }
        let key = record.split_to(key_length).to_vec();
        records.push((key, record));
    }
    Some(records)
}

/// Returns the topic and partition that the query names.
pub(super) fn topic_partition(query: &Query) -> (String, u32) {
    (
        query.text(queries::TOPIC).to_owned(),
        query.number(queries::PARTITION) as u32,
    )
}
