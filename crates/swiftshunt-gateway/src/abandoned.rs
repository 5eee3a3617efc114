//! Callers that leave before their answer.

use crate::attempt::Dispatcher;
use crate::journey::Journey;
use crate::metrics::RequestEnd;

/// Counts a caller that left before its answer.
pub(crate) struct Abandoned<'d> {
    dispatcher: &'d Dispatcher,
    route: String,
    id: String,
    answered: bool,
}

impl<'d> Abandoned<'d> {
    /// Counts from now on.
    pub(crate) fn new(dispatcher: &'d Dispatcher, journey: &Journey) -> Self {
        Self {
            dispatcher,
            route: journey.route.name.clone(),
            id: journey.id().to_owned(),
            answered: false,
        }
    }

    /// The caller has its answer.
    pub(crate) fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for Abandoned<'_> {
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
