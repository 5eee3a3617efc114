//! How a limit is divided, as a record of which the newest version counts.

use serde::{Deserialize, Serialize};

/// The part of a limit up to which a counter admits as long as no more is needed: half. The rest is there for
/// gateways that take over.
const DEFAULT_DIVISOR: u64 = 2;
/// The part of what is free that a gateway takes as its share when it begins to count: a quarter, so that
/// several can take over in a row.
const TAKEOVER_SHARE_DIVISOR: u64 = 4;
/// The part of a limit below which what waits has to fall before room is given back: an eighth.
const GIVE_BACK_DIVISOR: u64 = 8;

/// The term of the gateway that was the first to count.
pub const FIRST_TERM: u64 = 1;

/// Who counts for a limit, and in whose hands its room is, in tokens. `counted`, `share` and `earlier_shares`
/// together never pass the limit by which they were set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// Rises by one with each change.
    pub version: u64,
    /// Rises by one with each gateway that takes over.
    pub term: u64,
    /// The life of the gateway that counts.
    pub counter: String,
    /// The life of the gateway that last knew what stands: it alone changes `counted`. None before that.
    pub known_to: Option<String>,
    /// Tokens up to which a counter that knows what stands lets jobs stand.
    pub counted: u64,
    /// Tokens that the gateway that counts may admit before it knows what stands.
    pub share: u64,
    /// Shares of gateways that counted before, of which it is not known what became.
    pub earlier_shares: u64,
    /// Whether the gateway that counts has stopped by plan: it admits nothing more, and what it admitted is
    /// recorded. Another one is to take over.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_stopped: bool,
    /// Whether it took over from one that had stopped by plan, and nothing was in the hands of others.
    #[serde(default, skip_serializing_if = "is_false")]
    pub follows_stopped: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl Register {
    /// The first register of a limit.
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

    /// Tokens that nobody may admit.
    pub fn free(&self, limit: u64) -> u64 {
        let taken = self.counted.saturating_add(self.shares());
        limit.saturating_sub(taken)
    }

    /// Tokens of all shares.
    pub fn shares(&self) -> u64 {
        self.share.saturating_add(self.earlier_shares)
    }

    /// The register after `counter` has taken over that does not know what stands: it takes a share.
    pub fn taken_over(&self, counter: &str, limit: u64) -> Self {
        self.with_counter(counter, self.free(limit) / TAKEOVER_SHARE_DIVISOR)
    }

    /// The register after the gateway to which is known what stands counts again: it needs no share.
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

    /// The register after the gateway that counts has stopped by plan.
    pub fn stopped(&self) -> Self {
        Self {
            version: self.version + 1,
            is_stopped: true,
            ..self.clone()
        }
    }

    /// The register after the gateway that counts has learned what stands, with all that was admitted from shares;
    /// it needs room for `needed` tokens.
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

    /// The register after the gateway that counts has taken all that is free.
    pub fn raised(&self, limit: u64) -> Self {
        Self {
            version: self.version + 1,
            counted: self.counted.max(limit.saturating_sub(self.shares())),
            ..self.clone()
        }
    }

    /// The register after the gateway that counts has given back what it does not need; none if it has nothing
    /// to give back.
    pub fn lowered(&self, waiting: u64, limit: u64) -> Option<Self> {
        let usual = limit / DEFAULT_DIVISOR;
        if self.counted <= usual || waiting > limit / GIVE_BACK_DIVISOR {
            return None;
        }
        Some(Self {
            version: self.version + 1,
            counted: usual,
            ..self.clone()
        })
    }
}
