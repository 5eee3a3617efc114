//! Which gateways a counter reaches: it must not count while it is cut off from most, since another one then
//! counts for them.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::members::Members;

/// Pause between two looks at a few gateways that were not heard of late.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// How many these are: what a look costs does not grow with the number of gateways.
const SAMPLE_SIZE: usize = 6;
/// Age from which a gateway counts as not heard of late, for a look at a few.
const QUIET_THRESHOLD: Duration = Duration::from_secs(1);
/// Pause between two looks at all gateways, while it must be known which are silent.
const FULL_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which signs of life are waited for: a few times the way to and fro within a region, and some
/// standstill of the others.
const POLL_TIMEOUT: Duration = Duration::from_millis(100);
/// Age up to which a sign of life from before counts, too.
const PRIOR_CONTACT_WINDOW: Duration = Duration::from_millis(200);
/// Age up to which what a look gave is believed.
const VIEW_TTL: Duration = Duration::from_millis(2_500);

/// What a look at all gateways gave.
#[derive(Clone, Debug, Default)]
pub(super) struct ReachabilityView {
    /// Those that gave no sign of life.
    pub(super) silent: Vec<SocketAddr>,
    /// Whether these are half of all at least: of two halves one may count at most.
    pub(super) is_cut_off: bool,
}

/// A look that waits for signs of life.
#[derive(Clone, Debug)]
struct Poll {
    at: Duration,
    /// The gateways that were asked; none where all were.
    sample: Option<Vec<SocketAddr>>,
}

/// What is known of the other gateways.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    under_way: Option<Poll>,
    sampled_at: Option<Duration>,
    /// Whether most of the last sample were silent.
    is_doubtful: bool,
    seen: Option<(ReachabilityView, Duration)>,
}

impl Reachability {
    /// Ends and begins looks; gives the gateways that are to be asked for a sign of life.
    pub(super) fn poll(
        &mut self,
        members: &Members,
        must_be_known: bool,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let wait = members.max_answer_timeout(POLL_TIMEOUT);
        if let Some(poll) = self.under_way.take_if(|poll| now >= poll.at + wait) {
            self.end(poll, members, now);
        }
        if self.under_way.is_some() {
            return Vec::new();
        }
        let is_old = self
            .seen
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
        self.under_way = Some(Poll { at: now, sample });
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
                let was_cut_off = self.seen.as_ref().is_some_and(|(view, _)| view.is_cut_off);
                if is_cut_off != was_cut_off {
                    log::info!(silent = silent.len(), gateways = members.count(), is_cut_off;
                        "which gateways are silent");
                }
                self.is_doubtful = is_cut_off;
                self.seen = Some((ReachabilityView { silent, is_cut_off }, now));
            }
        }
    }

    /// What is known; nothing known counts as nobody being silent, unless it must be known.
    pub(super) fn view(&self, must_be_known: bool, now: Duration) -> Option<ReachabilityView> {
        let seen = self.seen.as_ref();
        let fresh = seen.filter(|(_, at)| now < *at + VIEW_TTL);
        match fresh {
            Some((view, _)) => Some(view.clone()),
            None if must_be_known => None,
            None => Some(ReachabilityView::default()),
        }
    }
}
