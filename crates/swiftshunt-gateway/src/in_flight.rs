//! A request while a worker has it, as the view of the workers counts it.

use std::sync::Arc;
use std::time::Duration;

use swiftshunt_scheduler::selection::{Chosen, Class, Ending};
use swiftshunt_topology::Distance;

use crate::attempt::{Dispatcher, Outgoing};
use crate::beliefs::Beliefs;
use crate::clock::Clock;
use crate::quarantine::{Quarantine, RequestContent};
use crate::slots::Slots;
use crate::traffic::{Content, Traffic};

/// A request at a worker. Dropping it tells the view of the workers.
pub(crate) struct InFlight {
    beliefs: Arc<Beliefs>,
    slots: Arc<Slots>,
    quarantine: Arc<Quarantine>,
    pub(crate) request_content: RequestContent,
    clock: Clock,
    pub(crate) chosen: Chosen,
    distance: Distance,
    traffic: Traffic,
    class: Class,
    sent_at: Duration,
    had_first_event: bool,
    ending: Ending,
}

impl InFlight {
    pub(crate) fn new(dispatcher: &Dispatcher, chosen: &Chosen, outgoing: &Outgoing) -> Self {
        let now = dispatcher.clock.now();
        let demand = &outgoing.demand;
        let distance = {
            let mut selector = dispatcher.beliefs.selector();
            selector.sent(chosen, demand, now);
            selector.distance_to(&chosen.zone)
        };
        let traffic = dispatcher.metrics.traffic.clone();
        let body = outgoing.request_content.body().len();
        traffic.carried(Content::Requests, distance, body);
        dispatcher.beliefs.load_changed.notify_one();
        Self {
            beliefs: Arc::clone(&dispatcher.beliefs),
            slots: Arc::clone(&dispatcher.slots),
            quarantine: Arc::clone(&dispatcher.quarantine),
            request_content: outgoing.request_content.clone(),
            clock: dispatcher.clock,
            chosen: chosen.clone(),
            distance,
            traffic,
            class: demand.class,
            sent_at: now,
            had_first_event: false,
            ending: Ending::Withdrawn,
        }
    }

    /// Bytes of the answer came.
    pub(crate) fn heard(&mut self) {
        let now = self.clock.now();
        let mut selector = self.beliefs.selector();
        if self.had_first_event {
            selector.heard(&self.chosen.incarnation, now);
            return;
        }
        self.had_first_event = true;
        selector.first_event(&self.chosen, now - self.sent_at, now);
    }

    /// So many bytes of the answer came.
    pub(crate) fn received(&self, bytes: usize) {
        self.traffic.carried(Content::Answers, self.distance, bytes);
    }

    /// How the request leaves the worker, unless it is dropped before this.
    pub(crate) fn ends(&mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.clock.now();
        let held = now.saturating_sub(self.sent_at);
        self.beliefs.selector().left(
            &self.chosen,
            self.class,
            self.ending,
            self.had_first_event,
            held,
            now,
        );
        self.beliefs.load_changed.notify_one();
        if let Ending::Unreachable | Ending::Broken | Ending::Silent = self.ending {
            self.slots.report_send_failure(&self.chosen);
        }
        if self.ending == Ending::Broken {
            self.quarantine
                .check_after_break(&self.request_content, &self.chosen, held);
        }
    }
}
