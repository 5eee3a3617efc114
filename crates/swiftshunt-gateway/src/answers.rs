//! Answers that the gateway generates itself, and the headers of forwarded ones.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};

/// The error of a body that broke off.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// The body of an answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;
/// An answer to a caller.
pub(crate) type CallerAnswer = Response<AnswerBody>;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Returns a body with these bytes.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Returns an answer with a short plain text.
pub(crate) fn plain(status: StatusCode, text: &'static str) -> CallerAnswer {
    let mut answer = Response::new(full_body(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}

/// Returns the answer (503) to a request that did not and will not run; the caller may repeat it after `retry_after`.
pub(crate) fn not_run(text: &'static str, retry_after: Duration) -> CallerAnswer {
    answer_with_retry_after(StatusCode::SERVICE_UNAVAILABLE, text, retry_after)
}

/// Returns the answer (429) to a request that exceeds a limit and of which nothing was stored; the caller may repeat it
/// after `retry_after`.
pub(crate) fn too_many(text: &'static str, retry_after: Duration) -> CallerAnswer {
    answer_with_retry_after(StatusCode::TOO_MANY_REQUESTS, text, retry_after)
}

fn answer_with_retry_after(
    status: StatusCode,
    text: &'static str,
    retry_after: Duration,
) -> CallerAnswer {
    let mut answer = plain(status, text);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    match HeaderValue::from_str(&seconds) {
        Ok(seconds) => {
            answer.headers_mut().insert(RETRY_AFTER, seconds);
        }
        Err(error) => log::error!("cannot encode the retry-after header: {error}"),
    }
    answer
}

/// Returns the headers without the hop-by-hop ones, among them those that the `connection` header names.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(&name.as_str()) || named.contains(name);
        if !is_hop_by_hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
