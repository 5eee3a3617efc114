//! Selection of the records for each message. A record is sent a number of times that grows with the logarithm of
//! the fleet size.

use std::collections::BTreeMap;

/// Number of sends of one record per doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 3;

/// Keys of the records that are still to be sent, with the number of sends left for each.
#[derive(Clone, Debug)]
pub struct Dissemination<K> {
    sends_left: BTreeMap<K, u32>,
}

impl<K> Default for Dissemination<K> {
    fn default() -> Self {
        Self {
            sends_left: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Copy> Dissemination<K> {
    /// Schedules the record of `key` for sending, with a full number of sends for a fleet of `fleet_size` members.
    pub fn announce(&mut self, key: K, fleet_size: usize) {
        let doublings = usize::BITS - fleet_size.leading_zeros() + 1;
        self.sends_left.insert(key, SENDS_PER_DOUBLING * doublings);
    }

    /// Returns the keys of at most `limit` records for the next message, those with the most sends left first, and
    /// counts one send of each.
    pub fn next(&mut self, limit: usize) -> Vec<K> {
        let mut candidates: Vec<(u32, K)> = self
            .sends_left
            .iter()
            .map(|(key, left)| (*left, *key))
            .collect();
        candidates.sort_unstable_by(|one, other| other.cmp(one));
        candidates.truncate(limit);
        let chosen: Vec<K> = candidates.into_iter().map(|(_, key)| key).collect();
        for key in &chosen {
            self.count_send(*key);
        }
        chosen
    }

    fn count_send(&mut self, key: K) {
        if let Some(left) = self.sends_left.get_mut(&key) {
            *left -= 1;
            if *left == 0 {
                self.sends_left.remove(&key);
            }
        }
    }
}
