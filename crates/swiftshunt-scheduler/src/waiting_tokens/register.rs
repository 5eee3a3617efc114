//! Division of a limit among gateways, as a versioned record; the newest version is valid.

use serde::{Deserialize, Serialize};

/// Divisor of the limit that gives the tokens that a counter may use unless it needs more: half of
/// the limit. The rest is left for gateways that take over; half of that is the first counter's
/// share.
const DEFAULT_DIVISOR: u64 = 2;
/// Divisor of the free tokens that gives the share of a gateway that takes over: a quarter, so that
/// several can take over in a row.
const TAKEOVER_SHARE_DIVISOR: u64 = 4;
/// Divisor of the limit that gives the outstanding tokens above which a counter gives nothing back:
/// an eighth.
const GIVE_BACK_DIVISOR: u64 = 8;

/// Term of the first counter.
pub const FIRST_TERM: u64 = 1;

/// Which gateway counts for a limit, and how its tokens are divided. `counted`, `share` and
/// `earlier_shares` together never exceed the limit by which they were set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// Rises by one with each change.
    pub version: u64,
    /// Rises by one each time that a gateway takes over.
    pub term: u64,
    /// Process identifier of the gateway that is the counter.
    pub counter: String,
    /// Process identifier of the last counter that knew all outstanding tokens: only this counter
    /// changes `counted`. `None` if there was none.
    pub known_to: Option<String>,
    /// Number of outstanding tokens up to which a counter that knows them admits jobs.
    pub counted: u64,
    /// Tokens that the counter may admit before it knows the outstanding tokens.
    pub share: u64,
    /// Shares of previous counters, for which the admitted tokens are not known yet.
    pub earlier_shares: u64,
    /// Whether the counter was stopped as planned: it admits nothing more, and all that it admitted
    /// is recorded. Another gateway is to take over.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_stopped: bool,
    /// Whether the previous counter was stopped as planned, and no shares were set aside at that
    /// time.
    #[serde(default, skip_serializing_if = "is_false")]
    pub follows_stopped: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl Register {
    /// Returns the first register of a limit.
    pub fn first(counter: &str, limit: u64) -> Self {
        let counted = limit / DEFAULT_DIVISOR;
        Self {
            version: 1,
            term: FIRST_TERM,
            counter: counter.to_owned(),
            known_to: None,
            counted,
            share: (limit - counted) / DEFAULT_DIVISOR,
            earlier_shares: 0,
            is_stopped: false,
            follows_stopped: false,
        }
    }

    /// Returns the tokens of the limit that are assigned to no counter.
    pub fn free(&self, limit: u64) -> u64 {
        let assigned = self.counted.saturating_add(self.shares());
        limit.saturating_sub(assigned)
    }

    /// Returns the tokens of all shares.
    pub fn shares(&self) -> u64 {
        self.share.saturating_add(self.earlier_shares)
    }

    /// Returns the register after a takeover by `counter`, which does not know the outstanding
    /// tokens: it gets a share of the free tokens.
    pub fn taken_over(&self, counter: &str, limit: u64) -> Self {
        self.with_counter(counter, self.free(limit) / TAKEOVER_SHARE_DIVISOR)
    }

    /// Returns the register after the gateway that last knew the outstanding tokens becomes the
    /// counter again: it needs no share.
    pub fn taken_back(&self, counter: &str) -> Self {
        self.with_counter(counter, 0)
    }

    fn with_counter(&self, counter: &str, share: u64) -> Self {
        Self {
            version: self.version + 1,
            term: self.term + 1,
            counter: counter.to_owned(),
            share,
            earlier_shares: self.shares(),
            is_stopped: false,
            follows_stopped: self.is_stopped && self.shares() == 0,
            ..self.clone()
        }
    }

    /// Returns the register after the counter was stopped as planned.
    pub fn stopped(&self) -> Self {
        Self {
            version: self.version + 1,
            is_stopped: true,
            ..self.clone()
        }
    }

    /// Returns the register after the counter has learned all outstanding tokens, those admitted
    /// from shares included. It needs room for `needed` tokens.
    pub fn settled(&self, needed: u64, limit: u64) -> Self {
        let usual = limit / DEFAULT_DIVISOR;
        Self {
            version: self.version + 1,
            known_to: Some(self.counter.clone()),
            counted: if needed <= usual { usual } else { limit },
            share: 0,
            earlier_shares: 0,
            follows_stopped: false,
            ..self.clone()
        }
    }

    /// Returns the register after all free tokens are assigned to the counter.
    pub fn raised(&self, limit: u64) -> Self {
        Self {
            version: self.version + 1,
            counted: self.counted.max(limit.saturating_sub(self.shares())),
            ..self.clone()
        }
    }

    /// Returns the register after the counter has given back the tokens beyond half of the limit;
    /// `None` if it has none beyond that, or needs more than an eighth of the limit.
    pub fn lowered(&self, needed: u64, limit: u64) -> Option<Self> {
        let usual = limit / DEFAULT_DIVISOR;
        if self.counted <= usual || needed > limit / GIVE_BACK_DIVISOR {
            return None;
        }
        Some(Self {
            version: self.version + 1,
            counted: usual,
            ..self.clone()
        })
    }
}
