//! Which gateways a counter reaches: it must not count while it is cut off from most, since another one then
//! counts for them.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::members::Members;

/// Pause between two looks at a few gateways that were not heard of late.
const SAMPLE_EVERY: Duration = Duration::from_secs(1);
/// How many these are: what a look costs does not grow with the number of gateways.
const SAMPLE: usize = 6;
/// Age from which a gateway counts as not heard of late, for a look at a few.
const QUIET_AFTER: Duration = Duration::from_secs(1);
/// Pause between two looks at all gateways, while it must be known which are silent.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Time for which signs of life are waited for: a few times the way to and fro within a region, and some
/// standstill of the others.
const WAIT: Duration = Duration::from_millis(100);
/// Age up to which a sign of life from before counts, too.
const HEARD_BEFORE: Duration = Duration::from_millis(200);
/// Age up to which what a look gave is believed.
const VIEW_AGE: Duration = Duration::from_millis(2_500);

/// What a look at all gateways gave.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    /// Those that gave no sign of life.
    pub(super) silent: Vec<SocketAddr>,
    /// Whether these are half of all at least: of two halves one may count at most.
    pub(super) is_cut_off: bool,
}

/// A look that waits for signs of life.
#[derive(Clone, Debug)]
struct Look {
    at: Duration,
    /// The gateways that were asked; none where all were.
    sample: Option<Vec<SocketAddr>>,
}

/// What is known of the other gateways.
#[derive(Debug, Default)]
pub(super) struct Surroundings {
    under_way: Option<Look>,
    sampled_at: Option<Duration>,
    /// Whether most of the last sample were silent.
    is_doubtful: bool,
    seen: Option<(View, Duration)>,
}

impl Surroundings {
    /// Ends and begins looks; gives the gateways that are to be asked for a sign of life.
    pub(super) fn look(
        &mut self,
        members: &Members,
        must_be_known: bool,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let wait = members.patience_with_all(WAIT);
        if let Some(look) = self.under_way.take_if(|look| now >= look.at + wait) {
            self.end(look, members, now);
        }
        if self.under_way.is_some() {
            return Vec::new();
        }
        let is_old = self
            .seen
            .as_ref()
            .is_none_or(|(_, at)| now >= *at + LOOK_EVERY);
        if (must_be_known || self.is_doubtful) && is_old {
            self.begin(None, now);
            return members.silent_since(now.saturating_sub(HEARD_BEFORE));
        }
        if self.sampled_at.is_none_or(|at| now >= at + SAMPLE_EVERY) {
            let mut quiet = members.silent_since(now.saturating_sub(QUIET_AFTER));
            quiet.shuffle(&mut rand::rng());
            quiet.truncate(SAMPLE);
            self.sampled_at = Some(now);
            self.begin(Some(quiet.clone()), now);
            return quiet;
        }
        Vec::new()
    }

    fn begin(&mut self, sample: Option<Vec<SocketAddr>>, now: Duration) {
        self.under_way = Some(Look { at: now, sample });
    }

    fn end(&mut self, look: Look, members: &Members, now: Duration) {
        let silent = members.silent_since(look.at.saturating_sub(HEARD_BEFORE));
        match look.sample {
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
                self.seen = Some((View { silent, is_cut_off }, now));
            }
        }
    }

    /// What is known; nothing known counts as nobody being silent, unless it must be known.
    pub(super) fn view(&self, must_be_known: bool, now: Duration) -> Option<View> {
        let seen = self.seen.as_ref();
        let fresh = seen.filter(|(_, at)| now < *at + VIEW_AGE);
        match fresh {
            Some((view, _)) => Some(view.clone()),
            None if must_be_known => None,
            None => Some(View::default()),
        }
    }
}
