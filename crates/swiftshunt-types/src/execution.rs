//! Failures of requests, and the error responses that report them to callers.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Whether a failed request may have had an effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No byte of the request reached a worker, or the worker confirmed that the request never started.
    #[display("not_run")]
    NotRun,
    /// The request may have run completely or partly, or may still be running.
    #[display("unknown")]
    Unknown,
}

/// The kind of failure, which determines the HTTP status and the `type` and `code` of the error envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    InvalidRequest,
    /// The bearer token is missing or unknown.
    Unauthenticated,
    /// The bearer token does not permit the operation.
    Forbidden,
    /// The requested resource does not exist.
    NotFound,
    /// No pool serves the requested model.
    ModelNotFound,
    /// The request body exceeds the size limit.
    TooLarge,
    /// The idempotency key was used before with a different body.
    KeyReused,
    /// The current state of the resource does not allow the command.
    Conflict,
    /// The tenant exceeds its request rate.
    RateLimited,
    /// There is no free capacity at present.
    Overloaded,
    /// A required component cannot be reached.
    Unavailable,
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// The worker failed to process the request.
    WorkerFailed,
}

impl ErrorKind {
    /// Returns the HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NotFound | Self::ModelNotFound => 404,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::RateLimited => 429,
            Self::WorkerFailed => 502,
            Self::Overloaded | Self::Unavailable => 503,
            Self::DeadlineExceeded => 504,
        }
    }

    /// Returns the `type` of the error envelope, one of the values that OpenAI clients know.
    pub fn type_name(self) -> &'static str {
        match self {
            Self::Unauthenticated => "authentication_error",
            Self::Forbidden => "permission_error",
            Self::RateLimited => "rate_limit_error",
            kind if kind.status() >= 500 => "server_error",
            _ => "invalid_request_error",
        }
    }

    /// Returns the `code` of the error envelope.
    pub fn code(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::Unauthenticated => "invalid_token",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::ModelNotFound => "model_not_found",
            Self::TooLarge => "body_too_large",
            Self::KeyReused => "idempotency_key_reused",
            Self::Conflict => "conflict",
            Self::RateLimited => "rate_limited",
            Self::Overloaded => "overloaded",
            Self::Unavailable => "unavailable",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::WorkerFailed => "worker_failed",
        }
    }
}

/// A failed request, as reported to callers and sent between nodes.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{} ({execution}): {message}", kind.code())]
pub struct Failure {
    /// The kind of failure.
    pub kind: ErrorKind,
    /// Whether the request may have had an effect.
    pub execution: Execution,
    /// Human-readable description.
    pub message: String,
    /// Name of the invalid field or header, if there is one.
    pub param: Option<String>,
    /// Time after which the caller may retry; `None` if no time is known or a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure of a request that had no effect.
    pub fn not_run(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::new(kind, Execution::NotRun, message)
    }

    /// Creates a failure of a request whose effect is unknown.
    pub fn unknown(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::new(kind, Execution::Unknown, message)
    }

    fn new(kind: ErrorKind, execution: Execution, message: impl Into<String>) -> Self {
        Self {
            kind,
            execution,
            message: message.into(),
            param: None,
            retry_after: None,
        }
    }

    /// Sets that the request had no effect.
    pub fn with_no_execution(mut self) -> Self {
        self.execution = Execution::NotRun;
        self
    }

    /// Sets that the effect of the request is unknown.
    pub fn with_unknown_execution(mut self) -> Self {
        self.execution = Execution::Unknown;
        self
    }

    /// Sets the name of the invalid field or header.
    pub fn with_param(mut self, param: impl Into<String>) -> Self {
        self.param = Some(param.into());
        self
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the error envelope for the response to a caller.
    pub fn envelope(&self) -> ErrorEnvelope {
        ErrorEnvelope {
            error: ErrorBody {
                message: self.message.clone(),
                kind: self.kind.type_name().to_owned(),
                param: self.param.clone(),
                code: self.kind.code().to_owned(),
                execution: self.execution,
            },
        }
    }
}

/// The error envelope of the OpenAI API, extended by `execution`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorEnvelope {
    /// Content of the envelope.
    pub error: ErrorBody,
}

/// Content of an error envelope.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Human-readable description.
    pub message: String,
    /// Class of the error; see [`ErrorKind::type_name`].
    #[serde(rename = "type")]
    pub kind: String,
    /// Name of the invalid field or header, if there is one.
    pub param: Option<String>,
    /// Code of the error; see [`ErrorKind::code`].
    pub code: String,
    /// Whether the request may have had an effect.
    pub execution: Execution,
}
