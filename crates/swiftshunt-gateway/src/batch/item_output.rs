//! The output of a batch item so far, and where its next attempt may continue it.

use std::collections::BTreeSet;
use std::time::Duration;

use swiftshunt_jobs::{ItemSpec, Progress};
use swiftshunt_routing::Route;
use swiftshunt_scheduler::eligibility::OfferScope;
use swiftshunt_scheduler::selection::{ChosenWorker, Demand};
use swiftshunt_scheduler::slots::ItemTimes;
use swiftshunt_topology::Residency;
use swiftshunt_types::OutputOrigin;

use super::Batch;
use super::avoided_workers::AvoidedWorkers;
use crate::attempt::SendFailure;
use crate::running::ItemId;

/// Longest wait for a slot before the item's route and deadline are checked again.
const MAX_SLOT_WAIT: Duration = Duration::from_secs(1);
/// Pause before an item whose output is bound to a version asks for a slot again.
const BOUND_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Shortest wait for a slot at the version that began an item's output before the item begins anew.
const MIN_BOUND_WAIT: Duration = Duration::from_secs(1);

/// Most bytes of an item's text, four times what a listing may hold.
const MAX_TEXT_BYTES: usize = 4 << 20;
/// Most outputs of other versions that an item keeps: during a release two versions serve side by side.
const MAX_PARKED_OUTPUTS: usize = 2;

/// What one version has written of an item.
#[derive(Default)]
struct VersionOutput {
    text: String,
    last_event: Option<u64>,
    /// The service and software version that wrote `text`; `None` if there is none, or if an earlier build recorded it.
    origin: Option<OutputOrigin>,
}

/// The output of an item so far.
#[derive(Default)]
pub(crate) struct ItemOutput {
    /// The output that the next attempt continues.
    current: VersionOutput,
    /// Outputs of versions that had no slot, to be continued when one of their workers gets the item again.
    parked: Vec<VersionOutput>,
    /// Number of failed runs that an earlier runner recorded with its output.
    failures_before: u32,
    /// The failed runs at this gateway.
    failed_runs: BTreeSet<u64>,
    /// Total duration of the attempts at this gateway.
    pub(super) ran: Duration,
    /// Whether the item began at another gateway; its run time here is then incomplete.
    pub(super) is_taken_over: bool,
    /// Workers that have failed the item since its last event.
    pub(super) avoided: AvoidedWorkers,
    /// When the item began to wait for a slot at the version that began its output; `None` while it does not wait.
    bound_since: Option<Duration>,
}

/// Why an item's output is not continued.
#[derive(Clone, Copy, Debug)]
enum Restart {
    /// The version that wrote it is not known.
    VersionUnknown,
    /// No worker of the version that wrote it can be offered the item.
    VersionGone,
    /// The item has waited as long for a slot at that version as it had run, and another version could run it.
    NoSlot,
}

impl Batch {
    /// Returns the workers that an item's next attempt may be offered to. What one software version began only that
    /// version continues, so the output is dropped, and the item begins anew, where that is not possible or would take
    /// longer than the run that would be repeated.
    pub(super) fn next_scope(
        &self,
        id: &ItemId,
        item: &ItemSpec,
        route: &Route,
        residency: Residency,
        output: &mut ItemOutput,
    ) -> OfferScope {
        if output.last_event().is_none() {
            // Events without numbers cannot be continued.
            output.restart();
            return OfferScope::within(residency);
        }
        let scope = OfferScope {
            residency,
            origin: output.current.origin.clone(),
        };
        let Some(restart) = self.restart_reason(route, &scope, output) else {
            return scope;
        };
        log::info!(job = id.job.as_str(), item = item.id.as_str(), reason:? = restart,
            origin:? = output.current.origin, last_event:? = output.last_event(),
            ran_ms = output.ran.as_millis() as u64; "an item begins anew");
        self.dispatcher.metrics.items_begun_anew.inc();
        match restart {
            Restart::NoSlot => output.park(),
            Restart::VersionUnknown | Restart::VersionGone => output.restart(),
        }
        OfferScope::within(scope.residency)
    }

    fn restart_reason(
        &self,
        route: &Route,
        scope: &OfferScope,
        output: &ItemOutput,
    ) -> Option<Restart> {
        let Some(origin) = &scope.origin else {
            return Some(Restart::VersionUnknown);
        };
        let mut shares = route.shares.iter();
        let is_served = shares.any(|share| share.service == origin.service);
        let selector = self.dispatcher.fleet_state.selector();
        if !is_served || !selector.has_eligible_worker(&origin.service, scope) {
            return Some(Restart::VersionGone);
        }
        let now = self.dispatcher.clock.now();
        if !selector.has_sound_worker_of_other_origin(&origin.service, scope, now) {
            return None;
        }
        let longest_wait = output.ran.max(MIN_BOUND_WAIT);
        let has_waited = output
            .bound_since
            .is_some_and(|since| now >= since + longest_wait);
        has_waited.then_some(Restart::NoSlot)
    }

    /// Waits for a slot for the next attempt of an item that has made no progress since `waits_since`, in the queue if any
    /// worker of the service may run it. Returns `None` if there was none within a short time.
    pub(super) async fn acquire_slot(
        &self,
        service: &str,
        times: ItemTimes,
        demand: &Demand,
        waits_since: Duration,
        output: &mut ItemOutput,
    ) -> Option<ChosenWorker> {
        let slots = &self.dispatcher.slots;
        let fleet_state = &self.dispatcher.fleet_state;
        let needs_certain_workers = fleet_state
            .selector()
            .has_worker_of_other_origin(service, &demand.scope);
        if !needs_certain_workers {
            output.bound_since = None;
            if let Some(chosen) = self.place_elsewhere(service, demand, output).await {
                return Some(chosen);
            }
            let slot = slots.wait_for_slot(service, times, &demand.scope, waits_since);
            return tokio::time::timeout(MAX_SLOT_WAIT, slot).await.ok();
        }
        let placed = match self.place_elsewhere(service, demand, output).await {
            None => slots.place_item(service, demand, &[]).await,
            placed => placed,
        };
        if placed.is_some() {
            output.bound_since = None;
        } else {
            output
                .bound_since
                .get_or_insert(self.dispatcher.clock.now());
            tokio::time::sleep(BOUND_RETRY_DELAY).await;
        }
        placed
    }

    /// Returns a worker with a free slot that has not failed the item, if others have.
    async fn place_elsewhere(
        &self,
        service: &str,
        demand: &Demand,
        output: &ItemOutput,
    ) -> Option<ChosenWorker> {
        let avoided = output.avoided.incarnations();
        if avoided.is_empty() {
            return None;
        }
        let slots = &self.dispatcher.slots;
        slots.place_item(service, demand, avoided).await
    }
}

impl ItemOutput {
    /// Returns the output that an earlier runner recorded.
    pub(super) fn taken_over(progress: &Progress) -> Self {
        Self {
            current: VersionOutput {
                text: progress.text.clone(),
                last_event: Some(progress.last_event),
                origin: progress.origin.clone(),
            },
            failures_before: progress.failures,
            is_taken_over: true,
            ..Self::default()
        }
    }

    /// Returns the number of the last event that the next attempt continues behind; `None` if it begins anew.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.current.last_event
    }

    /// Removes and returns the text.
    pub(super) fn take_text(&mut self) -> String {
        std::mem::take(&mut self.current.text)
    }

    /// Records which version writes the output, unless that is known.
    pub(super) fn record_origin(&mut self, origin: impl FnOnce() -> OutputOrigin) {
        self.current.origin.get_or_insert_with(origin);
    }

    /// Returns the record of the longest output for the item's next runner; `None` if there is none.
    pub(super) fn into_progress(self, item: u32) -> Option<Progress> {
        let failures = self.failure_count(std::iter::empty());
        let outputs = self.parked.into_iter().chain([self.current]);
        let longest = outputs.max_by_key(|output| output.last_event)?;
        Some(Progress {
            item,
            last_event: longest.last_event?,
            failures,
            text: longest.text,
            origin: longest.origin,
        })
    }

    /// Records a run that its worker has failed, and returns its identifier.
    pub(super) fn record_failed_run(&mut self) -> u64 {
        let run = rand::random();
        self.failed_runs.insert(run);
        run
    }

    /// Returns the number of failed runs, with those that any runner has recorded.
    pub(super) fn failure_count(&self, recorded: impl Iterator<Item = u64>) -> u32 {
        let of_others = recorded.filter(|run| !self.failed_runs.contains(run));
        let known = self.failed_runs.len() + of_others.count();
        let with_output = self.failures_before as usize + self.failed_runs.len();
        u32::try_from(known.max(with_output)).unwrap_or(u32::MAX)
    }

    /// Drops what was written, so that the item begins anew. Failed attempts still count.
    fn restart(&mut self) {
        self.current = VersionOutput::default();
        self.bound_since = None;
    }

    /// Sets what was written aside, so that the item begins anew, or continues what another version has written.
    fn park(&mut self) {
        let parked = std::mem::take(&mut self.current);
        self.bound_since = None;
        self.parked.push(parked);
        if self.parked.len() > MAX_PARKED_OUTPUTS {
            self.parked.sort_by_key(|output| output.last_event);
            self.parked.remove(0);
        }
    }

    /// Continues the output that was set aside of this origin, if the item would begin anew.
    pub(super) fn resume_parked(&mut self, origin: &OutputOrigin) {
        if self.last_event().is_some() {
            return;
        }
        let is_of_origin = |output: &VersionOutput| output.origin.as_ref() == Some(origin);
        if let Some(position) = self.parked.iter().position(is_of_origin) {
            self.current = self.parked.swap_remove(position);
        }
    }

    /// Appends an event. Returns an error if its number does not follow the last one's, and drops the output if it gets too
    /// long for one of a sound worker.
    pub(super) fn append_event(
        &mut self,
        event: &eventsource_stream::Event,
    ) -> Result<(), SendFailure> {
        let id: Option<u64> = event.id.parse().ok();
        let out_of_order = match (self.last_event(), id) {
            (Some(last), Some(id)) => last.checked_add(1) != Some(id),
            _ => false,
        };
        if out_of_order {
            return Err(SendFailure::Broken {
                reason: format!("event {id:?} came after {:?}", self.last_event()),
            });
        }
        if self.current.text.len() + event.data.len() > MAX_TEXT_BYTES {
            self.restart();
            return Err(SendFailure::Broken {
                reason: format!("the text has more than {MAX_TEXT_BYTES} bytes"),
            });
        }
        let current = &mut self.current;
        if current.last_event.is_some() {
            current.text.push('\n');
        }
        current.text.push_str(&event.data);
        current.last_event = id.or(current.last_event);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use swiftshunt_types::SoftwareVersion;

    use super::*;

    /// A worker may number its events in order and never end.
    #[test]
    fn an_endless_text_is_dropped() {
        let mut output = ItemOutput::default();
        let event = |id: usize| eventsource_stream::Event {
            id: id.to_string(),
            data: "x".repeat(1 << 20),
            ..eventsource_stream::Event::default()
        };
        for id in 0..3 {
            assert!(output.append_event(&event(id)).is_ok());
        }
        assert!(output.append_event(&event(3)).is_err());
        assert_eq!((output.take_text().len(), output.last_event()), (0, None));
    }

    fn origin(software: &str) -> OutputOrigin {
        OutputOrigin {
            service: "engine".to_owned(),
            software: SoftwareVersion(software.to_owned()),
        }
    }

    /// Appends `count` events that a worker of a version writes.
    fn write(output: &mut ItemOutput, software: &str, count: u64) {
        output.resume_parked(&origin(software));
        for _ in 0..count {
            let id = output.last_event().map_or(0, |last| last + 1);
            let event = eventsource_stream::Event {
                id: id.to_string(),
                data: format!("{software}-{id}"),
                ..eventsource_stream::Event::default()
            };
            assert!(output.append_event(&event).is_ok());
            output.record_origin(|| origin(software));
        }
    }

    #[test]
    fn an_output_that_was_set_aside_is_continued_by_its_own_version_only() {
        let mut output = ItemOutput::default();
        write(&mut output, "v1", 2);
        output.park();
        write(&mut output, "v2", 1);
        output.park();
        write(&mut output, "v1", 1);
        assert_eq!(output.take_text(), "v1-0\nv1-1\nv1-2");
    }

    #[test]
    fn the_longest_output_is_handed_over() {
        let mut output = ItemOutput::default();
        write(&mut output, "v1", 3);
        output.park();
        write(&mut output, "v2", 1);
        let progress = output.into_progress(0).expect("there is an output");
        assert_eq!(
            (progress.last_event, progress.origin),
            (2, Some(origin("v1")))
        );
    }

    #[test]
    fn few_outputs_are_set_aside() {
        let mut output = ItemOutput::default();
        for (number, software) in ["v1", "v2", "v3", "v4"].into_iter().enumerate() {
            write(&mut output, software, number as u64 + 1);
            output.park();
        }
        assert_eq!(output.parked.len(), MAX_PARKED_OUTPUTS);
        output.resume_parked(&origin("v4"));
        assert_eq!(output.last_event(), Some(3));
    }
}
