//! Answers of the gateway's own, and heads that are passed on.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};

/// Why a body broke off.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// The body of an answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;
/// An answer to a caller.
pub(crate) type CallerAnswer = Response<AnswerBody>;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Seconds after which a caller whose request did not run comes back.
const COME_BACK_SECONDS: &str = "0.2";
/// Seconds after which a caller comes back when the journal is away.
const COME_BACK_FOR_JOURNAL_SECONDS: &str = "1";
/// Seconds after which a caller comes back where a limit is reached: some items have ended by then.
const COME_BACK_FOR_ROOM_SECONDS: &str = "1";
/// Seconds after which a caller of a gateway that stops comes back: by then it is sent elsewhere.
const COME_BACK_FROM_STOP_SECONDS: &str = "1";

/// Seconds after which a caller comes back to a gateway that knows no configuration yet: a process
/// that has just started while the log is away, or a few moments before it was read.
const COME_BACK_FOR_CONFIGURATION_SECONDS: &str = "1.5";

/// A whole body.
pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// An answer with a short text.
pub(crate) fn plain(status: StatusCode, text: &'static str) -> CallerAnswer {
    let mut answer = Response::new(whole(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}

/// The request did not run and will not; the caller may come back.
pub(crate) fn not_run(text: &'static str) -> CallerAnswer {
    come_back(text, COME_BACK_SECONDS)
}

/// Nothing is known yet; the request did not run.
pub(crate) fn not_configured() -> CallerAnswer {
    come_back(
        "no configuration is known yet",
        COME_BACK_FOR_CONFIGURATION_SECONDS,
    )
}

/// This gateway stops; the request did not run.
pub(crate) fn stopping() -> CallerAnswer {
    come_back("this gateway stops", COME_BACK_FROM_STOP_SECONDS)
}

/// Nothing was recorded, since the journal is away.
pub(crate) fn journal_away() -> CallerAnswer {
    come_back("the journal is away", COME_BACK_FOR_JOURNAL_SECONDS)
}

/// A limit is reached; nothing was recorded.
pub(crate) fn too_many(text: &'static str) -> CallerAnswer {
    let status = StatusCode::TOO_MANY_REQUESTS;
    come_back_with(status, text, COME_BACK_FOR_ROOM_SECONDS)
}

fn come_back(text: &'static str, seconds: &'static str) -> CallerAnswer {
    come_back_with(StatusCode::SERVICE_UNAVAILABLE, text, seconds)
}

fn come_back_with(status: StatusCode, text: &'static str, seconds: &'static str) -> CallerAnswer {
    let mut answer = plain(status, text);
    let seconds = HeaderValue::from_static(seconds);
    answer.headers_mut().insert(RETRY_AFTER, seconds);
    answer
}

/// Copies what is meant for the other end.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let of_connection = CONNECTION_HEADERS.contains(&name.as_str()) || named.contains(name);
        if !of_connection {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
