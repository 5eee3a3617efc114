//! Which gateways read the log for others: the same answer at every gateway that knows the same
//! gateways, without a word between them.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Readers at least, where any gateway reads for others: one may die.
const FEWEST_READERS: usize = 2;

/// The readers among all gateways: those that weigh most, so that one that comes or goes changes one
/// reader at most. None where there are fewer than `gateways_per_reader`: each reads for itself.
pub fn select_readers(
    mut gateways: Vec<SocketAddr>,
    gateways_per_reader: usize,
) -> Vec<SocketAddr> {
    if gateways.len() < gateways_per_reader {
        return Vec::new();
    }
    let count = (gateways.len() / gateways_per_reader).max(FEWEST_READERS);
    gateways.sort_by_cached_key(|gateway| Reverse((stable_hash(gateway), *gateway)));
    gateways.truncate(count);
    gateways
}

/// The first `count` gateways in the order that is a subject's own: one that comes or goes moves no others
/// past each other.
pub fn top_ranked(
    subject: &impl Hash,
    gateways: impl IntoIterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let weighed = gateways
        .into_iter()
        .map(|gateway| (Reverse(stable_hash((subject, gateway))), gateway));
    let mut first: Vec<(Reverse<u64>, SocketAddr)> = Vec::with_capacity(count + 1);
    for gateway in weighed {
        let place = first.partition_point(|known| *known < gateway);
        first.insert(place, gateway);
        first.truncate(count);
    }
    first.into_iter().map(|(_, gateway)| gateway).collect()
}

/// Who may read a subject for the gateways of a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionReader {
    /// The gateway that asks.
    Own,
    /// Another one.
    Other(SocketAddr),
}

/// Whom the gateway `own` has read a subject, in this order: at most `count` of the gateways of its region that
/// are not in doubt, in the subject's order. It never passes itself over: whoever ranks behind it is not asked.
pub fn rank_region_readers(
    subject: &impl Hash,
    own: SocketAddr,
    region: impl IntoIterator<Item = SocketAddr>,
    is_in_doubt: impl Fn(SocketAddr) -> bool,
    count: usize,
) -> Vec<RegionReader> {
    let trusted = region
        .into_iter()
        .filter(|gateway| *gateway == own || !is_in_doubt(*gateway));
    let mut readers = Vec::new();
    for gateway in top_ranked(subject, trusted, count) {
        if gateway == own {
            readers.push(RegionReader::Own);
            break;
        }
        readers.push(RegionReader::Other(gateway));
    }
    readers
}

/// A number that differs between values and is the same everywhere.
pub fn stable_hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
