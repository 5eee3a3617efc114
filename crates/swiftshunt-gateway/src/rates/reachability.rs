//! Tracks which gateways a counter reaches. A counter must not grant credits while it is cut off from at least half
//! of the gateways, since another one may then be the counter for them.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::members::Members;

/// Interval between two polls of a sample of the gateways that were not heard recently.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a sample, so that its cost does not grow with the number of gateways.
const SAMPLE_SIZE: usize = 6;
/// Time since its last message after which a gateway may be in a sample.
const QUIET_THRESHOLD: Duration = Duration::from_secs(1);
/// Interval between two polls of all gateways while the set of silent gateways must be known.
const FULL_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time to wait for the answers to a poll: a few round trips within a region, and an allowance for short stalls of
/// the other processes.
const POLL_TIMEOUT: Duration = Duration::from_millis(100);
/// Time before a poll within which a message from a gateway counts as its answer.
const PRIOR_CONTACT_WINDOW: Duration = Duration::from_millis(200);
/// Time for which the result of a poll of all gateways is valid.
const VIEW_TTL: Duration = Duration::from_millis(2_500);

/// The result of a poll of all gateways.
#[derive(Clone, Debug, Default)]
pub(super) struct ReachabilityView {
    /// The gateways that did not answer.
    pub(super) silent: Vec<SocketAddr>,
    /// Whether at least half of all gateways are silent. With that bound at most one side of a network partition
    /// grants credits, even if both sides are equally large.
    pub(super) is_cut_off: bool,
}

/// A poll that waits for answers.
#[derive(Clone, Debug)]
struct Poll {
    at: Duration,
    /// The sampled gateways; `None` for a poll of all gateways.
    sample: Option<Vec<SocketAddr>>,
}

/// The results of polls of the other gateways.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    pending_poll: Option<Poll>,
    sampled_at: Option<Duration>,
    /// Whether most of the last sample were silent, or the last poll of all gateways found this one cut off.
    is_doubtful: bool,
    last_view: Option<(ReachabilityView, Duration)>,
}

impl Reachability {
    /// Ends and begins polls as they are due. Returns the gateways to ping.
    pub(super) fn poll(
        &mut self,
        members: &Members,
        must_be_known: bool,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let wait = members.max_answer_timeout(POLL_TIMEOUT);
        if let Some(poll) = self.pending_poll.take_if(|poll| now >= poll.at + wait) {
            self.end(poll, members, now);
        }
        if self.pending_poll.is_some() {
            return Vec::new();
        }
        let is_old = self
            .last_view
            .as_ref()
            .is_none_or(|(_, at)| now >= *at + FULL_POLL_INTERVAL);
        if (must_be_known || self.is_doubtful) && is_old {
            self.begin(None, now);
            return members.silent_since(now.saturating_sub(PRIOR_CONTACT_WINDOW));
        }
        if self.sampled_at.is_none_or(|at| now >= at + SAMPLE_INTERVAL) {
            let mut quiet = members.silent_since(now.saturating_sub(QUIET_THRESHOLD));
            quiet.shuffle(&mut rand::rng());
            quiet.truncate(SAMPLE_SIZE);
            self.sampled_at = Some(now);
            self.begin(Some(quiet.clone()), now);
            return quiet;
        }
        Vec::new()
    }

    fn begin(&mut self, sample: Option<Vec<SocketAddr>>, now: Duration) {
        self.pending_poll = Some(Poll { at: now, sample });
    }

    fn end(&mut self, poll: Poll, members: &Members, now: Duration) {
        let silent = members.silent_since(poll.at.saturating_sub(PRIOR_CONTACT_WINDOW));
        match poll.sample {
            Some(sample) => {
                let quiet = sample.iter().filter(|gateway| silent.contains(gateway));
                self.is_doubtful = quiet.count() * 2 > sample.len();
            }
            None => {
                let is_cut_off = silent.len() * 2 >= members.count();
                let was_cut_off = self
                    .last_view
                    .as_ref()
                    .is_some_and(|(view, _)| view.is_cut_off);
                if is_cut_off != was_cut_off {
                    log::info!(silent = silent.len(), gateways = members.count(), is_cut_off;
                        "connectivity to the majority of gateways has changed");
                }
                self.is_doubtful = is_cut_off;
                self.last_view = Some((ReachabilityView { silent, is_cut_off }, now));
            }
        }
    }

    /// Returns the last valid result. Without one, returns `None` if `must_be_known` is set, and otherwise a view
    /// without silent gateways.
    pub(super) fn view(&self, must_be_known: bool, now: Duration) -> Option<ReachabilityView> {
        let last_view = self.last_view.as_ref();
        let fresh = last_view.filter(|(_, at)| now < *at + VIEW_TTL);
        match fresh {
            Some((view, _)) => Some(view.clone()),
            None if must_be_known => None,
            None => Some(ReachabilityView::default()),
        }
    }
}
