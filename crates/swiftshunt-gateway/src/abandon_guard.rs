//! Accounting for callers that disconnect before their answer.

use crate::attempt::Dispatcher;
use crate::metrics::RequestEnd;
use crate::request_context::RequestContext;

/// A guard of a request that its creator has counted as in flight. Dropping the guard ends that count, and counts the
/// request as abandoned unless it was marked as answered.
pub(crate) struct AbandonGuard<'d> {
    dispatcher: &'d Dispatcher,
    route: String,
    id: String,
    answered: bool,
}

impl<'d> AbandonGuard<'d> {
    pub(crate) fn new(dispatcher: &'d Dispatcher, context: &RequestContext) -> Self {
        Self {
            dispatcher,
            route: context.route.name.clone(),
            id: context.id().to_owned(),
            answered: false,
        }
    }

    /// Drops the guard of a request that has its answer.
    pub(crate) fn mark_answered(mut self) {
        self.answered = true;
    }
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        let metrics = &self.dispatcher.metrics;
        metrics.in_flight.dec();
        if !self.answered {
            metrics.record_request_end(&self.route, RequestEnd::Abandoned);
            log::info!(request = self.id.as_str(), route = self.route.as_str();
                "the caller left before the answer");
        }
    }
}
