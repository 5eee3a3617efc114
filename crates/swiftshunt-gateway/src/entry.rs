//! Checks of a caller's request before it is placed: route, caller, body, and the tenant's rate limit.
//!
//! Their order matters. A request without a route is refused whoever sends it. A request without a known key
//! costs only the parsing of its head. The rate limit comes last, so that requests that cannot run do not count
//! against it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue, WWW_AUTHENTICATE};
use hyper::http::request;
use hyper::{Request, StatusCode};
use rand::RngCore;
use swiftshunt_http::{NumberRule, SendPermit};
use swiftshunt_routing::{Caller, Configuration, Rejected, Route, RouteKind, Tenant};
use swiftshunt_scheduler::admission::{
    retry_after_elsewhere, retry_after_startup, retry_after_tenant_limit,
};
use swiftshunt_scheduler::eligibility::OfferScope;
use swiftshunt_scheduler::selection::{Class, Demand};

use crate::abandon_guard::AbandonGuard;
use crate::answers::{CallerAnswer, end_to_end_headers, not_run, plain, too_many};
use crate::attempt::OutgoingRequest;
use crate::batch::Submission;
use crate::body_buffers::BodyRefusal;
use crate::metrics::Refusal;
use crate::online::OnlineHandler;
use crate::protocol::{Call, Identity, RequestFacts};
use crate::quarantine::{RequestContent, RequestOrigin};
use crate::rates::Refused;
use crate::request_context::RequestContext;

/// A request whose route and caller are known.
struct IdentifiedRequest {
    route: Arc<Route>,
    caller: Caller,
    head: request::Parts,
    facts: RequestFacts,
    arrived: Duration,
}

impl IdentifiedRequest {
    /// Returns the time at which the request is given up: its arrival plus the caller's timeout or the route's,
    /// whichever is shorter.
    fn deadline(&self) -> Duration {
        let timeout = self.route.timeout;
        self.arrived + self.facts.caller_timeout.unwrap_or(timeout).min(timeout)
    }
}

impl OnlineHandler {
    /// Answers one request of a caller.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> CallerAnswer {
        let arrived = self.dispatcher.clock.now();
        let Some(configuration) = self.dispatcher.fleet_state.configuration() else {
            return self.refuse_unconfigured(arrived);
        };
        let (head, body) = request.into_parts();
        let protocol = &self.dispatcher.protocol;
        match protocol.classify_request(&head.method, &head.uri, &head.headers) {
            Call::Routed => {}
            Call::Malformed => return plain(StatusCode::BAD_REQUEST, "malformed call"),
            call => {
                return self
                    .answer_job_call_before_end(&configuration, call, &head)
                    .await;
            }
        }
        let identified = match self.identify(&configuration, head, arrived) {
            Ok(identified) => identified,
            Err(answer) => return *answer,
        };
        let limit = configuration.limits.body_bytes;
        let body = tokio::select! {
            biased;
            // A request whose body ends in the closing stage might not end within the grace period.
            () = self.stop.closing.cancelled() => return self.refuse_late(),
            body = self.read_body(&identified, body, limit) => body,
        };
        let body = match body {
            Ok(body) => body,
            Err(refusal) => return refusal,
        };
        if identified.route.kind == RouteKind::Batch {
            return tokio::select! {
                biased;
                answer = self.submit(&identified, body) => answer,
                () = self.stop.ending.cancelled() => {
                    plain(StatusCode::GATEWAY_TIMEOUT, "this gateway stops")
                }
            };
        }
        if let Some(tenant) = identified.caller.tenant()
            && let Err(refused) = self.rates.admit(tenant, configuration.version).await
        {
            return self.refuse_by_limit(&identified, tenant, refused);
        }
        let tenant = identified.caller.tenant().cloned();
        let context = self.context(identified, body, configuration.version);
        self.dispatcher.metrics.in_flight.inc();
        let guard = AbandonGuard::new(&self.dispatcher, &context);
        let (answer, ran) = self.serve(context).await;
        guard.mark_answered();
        if let Some(tenant) = tenant.filter(|_| !ran) {
            self.rates.refund_credit(&tenant);
        }
        answer
    }

    /// Returns the answer that refuses a request in the last stage of a stop: the request might not end within the
    /// grace period.
    pub(crate) fn refuse_late(&self) -> CallerAnswer {
        let retry_after = retry_after_elsewhere(rand::random());
        let metrics = &self.dispatcher.metrics;
        metrics.record_refusal(Refusal::Stopping, retry_after, Duration::ZERO);
        log::info!(come_back_ms = retry_after.as_millis() as u64; "request refused, since this gateway stops");
        not_run("this gateway stops", retry_after)
    }

    fn refuse_unconfigured(&self, arrived: Duration) -> CallerAnswer {
        let retry_after = retry_after_startup(arrived, rand::random());
        let metrics = &self.dispatcher.metrics;
        metrics.record_refusal(Refusal::NoConfiguration, retry_after, Duration::ZERO);
        log::info!(come_back_ms = retry_after.as_millis() as u64;
            "request refused, since no configuration is known yet");
        not_run("no configuration is known yet", retry_after)
    }

    /// Answers a call about a batch job; in the last stage of a stop, by a refusal, since it may wait for the log, another
    /// gateway or a result.
    async fn answer_job_call_before_end(
        &self,
        configuration: &Configuration,
        call: Call,
        head: &request::Parts,
    ) -> CallerAnswer {
        let may_take_effect = matches!(call, Call::JobEnd { .. });
        tokio::select! {
            biased;
            answer = self.answer_job_call(configuration, call, head) => answer,
            () = self.stop.ending.cancelled() => {
                if may_take_effect {
                    plain(StatusCode::GATEWAY_TIMEOUT, "this gateway stops")
                } else {
                    self.refuse_late()
                }
            }
        }
    }

    /// Answers a call about a batch job. The route is not looked up, since a job may outlive its route: only
    /// the journal shows whether the job exists.
    async fn answer_job_call(
        &self,
        configuration: &Configuration,
        call: Call,
        head: &request::Parts,
    ) -> CallerAnswer {
        let credentials = self.dispatcher.protocol.read_credentials(&head.headers);
        let caller = match configuration.job_caller(&credentials) {
            Ok(caller) => caller,
            Err(rejected) => return self.reject(rejected, head, configuration.version),
        };
        if let Some(refusal) = self.refuse_unconfirmed(&caller) {
            return refusal;
        }
        self.batch.answer(call, head, caller.tenant_name()).await
    }

    /// Finds the route and the caller of a request. The error is the answer that refuses the request.
    fn identify(
        &self,
        configuration: &Configuration,
        head: request::Parts,
        arrived: Duration,
    ) -> Result<IdentifiedRequest, Box<CallerAnswer>> {
        let host = host_of(&head);
        let path = head.uri.path();
        let Some(route) = configuration.route(&host, path).cloned() else {
            log::info!(host = host.as_str(), path, version = configuration.version; "request refused, since no route matches it");
            return Err(Box::new(plain(StatusCode::NOT_FOUND, "no such route")));
        };
        let protocol = &self.dispatcher.protocol;
        let credentials = protocol.read_credentials(&head.headers);
        let caller = configuration
            .caller(&route, &credentials)
            .map_err(|rejected| Box::new(self.reject(rejected, &head, configuration.version)))?;
        if let Some(refusal) = self.refuse_unconfirmed(&caller) {
            return Err(Box::new(refusal));
        }
        Ok(IdentifiedRequest {
            facts: protocol.request_facts(&head.headers),
            route,
            caller,
            head,
            arrived,
        })
    }

    /// Returns the answer to a caller whose request carries no known key.
    fn reject(&self, rejected: Rejected, head: &request::Parts, version: u64) -> CallerAnswer {
        self.dispatcher.metrics.record_rejected_key(rejected);
        let facts = self.dispatcher.protocol.request_facts(&head.headers);
        let request = facts.id.as_deref().unwrap_or("");
        let confirmed_at = self.dispatcher.fleet_state.confirmed_at();
        let age = self.dispatcher.clock.now().saturating_sub(confirmed_at);
        log::info!(request, path = head.uri.path(), reason:% = rejected, version,
            confirmed_ms_ago = age.as_millis() as u64; "a caller's key is not taken");
        let mut answer = plain(StatusCode::UNAUTHORIZED, "a key that is known is needed");
        let scheme = HeaderValue::from_static(self.dispatcher.protocol.key_scheme());
        answer.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        answer
    }

    /// Returns the answer that refuses a tenant's request if the configuration was not confirmed within
    /// `max_config_age`; `None` if the request may be served.
    fn refuse_unconfirmed(&self, caller: &Caller) -> Option<CallerAnswer> {
        let max_age = self.max_config_age?;
        let tenant = caller.tenant()?;
        let now = self.dispatcher.clock.now();
        let age = now.saturating_sub(self.dispatcher.fleet_state.confirmed_at());
        if age <= max_age {
            return None;
        }
        let retry_after = retry_after_elsewhere(rand::random());
        let metrics = &self.dispatcher.metrics;
        metrics.record_refusal(Refusal::Unconfirmed, retry_after, Duration::ZERO);
        log::info!(tenant = tenant.name.as_str(), age_ms = age.as_millis() as u64,
            come_back_ms = retry_after.as_millis() as u64;
            "request of a tenant refused, since the configuration was not confirmed recently");
        Some(not_run("keys cannot be confirmed here", retry_after))
    }

    fn refuse_by_limit(
        &self,
        identified: &IdentifiedRequest,
        tenant: &Tenant,
        refused: Refused,
    ) -> CallerAnswer {
        let now = self.dispatcher.clock.now();
        let time_left = identified.deadline().saturating_sub(now);
        let (refusal, retry_after) = match refused {
            Refused::Limit(again_after) => {
                let retry_after = retry_after_tenant_limit(again_after, time_left, rand::random());
                (Refusal::RateLimit, retry_after)
            }
            Refused::Unsure => (Refusal::RateUnsure, retry_after_elsewhere(rand::random())),
        };
        let refusal_context = self.rates.refusal_context(&tenant.name);
        let counter = refusal_context.counter.map(|counter| counter.to_string());
        let limit = tenant.rate;
        log::info!(request = identified.facts.id.as_deref().unwrap_or(""),
            tenant = tenant.name.as_str(), refused:? = refused, limit:? = limit,
            recent_here = refusal_context.figures.here, recent_by_all:? = refusal_context.figures.by_all,
            age_ms:? = refusal_context.figures.age.map(|age| age.as_millis() as u64),
            counter:? = counter, come_back_ms = retry_after.as_millis() as u64;
            "request refused by the rate limit of its tenant");
        let metrics = &self.dispatcher.metrics;
        metrics.record_refusal(refusal, retry_after, now.saturating_sub(identified.arrived));
        match refused {
            Refused::Limit(_) => {
                metrics.record_rate_refusal(tenant.name.as_str());
                too_many("too many requests of this tenant", retry_after)
            }
            Refused::Unsure => not_run("the limit of this tenant is not known here", retry_after),
        }
    }

    /// Reads the body of a request, which has as much time as the request. The error is the answer that refuses it.
    async fn read_body(
        &self,
        identified: &IdentifiedRequest,
        body: Incoming,
        limit: usize,
    ) -> Result<Bytes, CallerAnswer> {
        let time_left = self.time_left(identified);
        let read = tokio::time::timeout(time_left, self.bodies.read(body, limit));
        match read.await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(BodyRefusal::TooLong)) => {
                let status = StatusCode::PAYLOAD_TOO_LARGE;
                Err(plain(status, "the body is too long"))
            }
            Ok(Err(BodyRefusal::BrokenOff)) => {
                Err(plain(StatusCode::BAD_REQUEST, "the body broke off"))
            }
            Ok(Err(BodyRefusal::NoMemory)) => Err(self.refuse_body(identified, Refusal::NoMemory)),
            Err(_) => Err(self.refuse_body(identified, Refusal::IncompleteBody)),
        }
    }

    /// Returns the answer that refuses a request whose body is not read to its end.
    fn refuse_body(&self, identified: &IdentifiedRequest, refusal: Refusal) -> CallerAnswer {
        let retry_after = retry_after_elsewhere(rand::random());
        let now = self.dispatcher.clock.now();
        let waited = now.saturating_sub(identified.arrived);
        self.dispatcher
            .metrics
            .record_refusal(refusal, retry_after, waited);
        log::info!(request = identified.facts.id.as_deref().unwrap_or(""), refusal:? = refusal,
            route = identified.route.name.as_str(), waited_ms = waited.as_millis() as u64,
            come_back_ms = retry_after.as_millis() as u64; "request refused before its body was complete");
        match refusal {
            Refusal::IncompleteBody => plain(
                StatusCode::REQUEST_TIMEOUT,
                "the body was not complete in time",
            ),
            _ => not_run("too many bodies at once", retry_after),
        }
    }

    fn time_left(&self, identified: &IdentifiedRequest) -> Duration {
        let now = self.dispatcher.clock.now();
        identified.deadline().saturating_sub(now)
    }

    async fn submit(&self, identified: &IdentifiedRequest, body: Bytes) -> CallerAnswer {
        let Some(id) = identified.facts.id.as_deref() else {
            return plain(StatusCode::BAD_REQUEST, "the job has no identifier");
        };
        let tenant = identified.caller.tenant_name();
        let mut decoding = None;
        // A job that was accepted before is not decoded again.
        if !self.batch.is_known(tenant, id) {
            let admitted = self.job_decoding.admit(body.len());
            let admitted = tokio::time::timeout(self.time_left(identified), admitted).await;
            let Ok(Some(admitted)) = admitted else {
                return self.refuse_body(identified, Refusal::NoMemory);
            };
            decoding = Some(admitted);
        }
        let submission = Submission {
            id,
            tenant,
            route: &identified.route,
            path: identified.head.uri.path(),
            body,
            deadline: identified.deadline(),
        };
        let answer = self.batch.submit(submission).await;
        drop(decoding);
        answer
    }

    fn context(
        &self,
        identified: IdentifiedRequest,
        body: Bytes,
        residency_version: u64,
    ) -> RequestContext {
        let deadline = identified.deadline();
        let IdentifiedRequest {
            route,
            caller,
            head,
            facts,
            arrived,
        } = identified;
        let residency = Configuration::residency(&route, &caller);
        let scope = OfferScope::within(residency);
        let service = self.dispatcher.fleet_state.next_service(&route, &scope);
        let mut headers = end_to_end_headers(&head.headers);
        headers.remove(CONTENT_LENGTH);
        headers.remove("expect");
        let demand = Demand {
            class: Class::Online,
            prompt: facts.prompt.clone(),
            prompt_tokens: facts.prompt_tokens,
            scope,
            salt: rand::rng().next_u64(),
        };
        let identity = Identity::from(&caller);
        let target = origin_form(&head.uri);
        let outgoing = OutgoingRequest {
            id: facts.id.clone(),
            headers,
            demand,
            request_content: RequestContent::new(
                RequestOrigin::Online,
                identity,
                &route.host,
                head.method,
                target,
                body,
                &facts.prompt,
            ),
            number_rule: if route.resumable {
                NumberRule::Consecutive
            } else {
                NumberRule::Ascending
            },
            permit: SendPermit::always(),
        };
        RequestContext {
            route,
            service,
            residency_version,
            outgoing,
            facts,
            arrived,
            deadline,
            tried: Vec::new(),
            last_send: None,
            runs: 0,
            was_declined: false,
        }
    }
}

/// Returns the host that a request names, in lower case and without a port.
fn host_of(head: &request::Parts) -> String {
    let host_header = head.headers.get("host").and_then(|host| host.to_str().ok());
    let host = host_header.or(head.uri.host()).unwrap_or("");
    let without_port = host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|byte| byte.is_ascii_digit()) {
            name
        } else {
            host
        }
    });
    without_port.to_ascii_lowercase()
}

/// Returns the path and query of a URI.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let Some(path) = uri.path_and_query() else {
        return uri.clone();
    };
    hyper::Uri::from(path.clone())
}
