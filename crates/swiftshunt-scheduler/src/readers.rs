//! Chooses the gateways that read the log for others. Gateways that know the same gateways make the
//! same choice without communication.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Fewest readers if any gateway reads for others: one of them may fail.
const MIN_READERS: usize = 2;

/// Returns the readers among all gateways: those with the highest hashes, so that a gateway that
/// joins or leaves changes at most one reader. Returns none for fewer than `gateways_per_reader`
/// gateways: each of them reads for itself.
pub fn select_readers(
    mut gateways: Vec<SocketAddr>,
    gateways_per_reader: usize,
) -> Vec<SocketAddr> {
    if gateways.len() < gateways_per_reader {
        return Vec::new();
    }
    let count = (gateways.len() / gateways_per_reader).max(MIN_READERS);
    gateways.sort_by_cached_key(|gateway| Reverse((stable_hash(gateway), *gateway)));
    gateways.truncate(count);
    gateways
}

/// Returns the first `count` gateways in an order that depends on `subject` (rendezvous hashing): a
/// gateway that joins or leaves does not change the order of the others.
pub fn top_ranked(
    subject: &impl Hash,
    gateways: impl IntoIterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let ranked = gateways
        .into_iter()
        .map(|gateway| (Reverse(stable_hash((subject, gateway))), gateway));
    let mut first: Vec<(Reverse<u64>, SocketAddr)> = Vec::with_capacity(count + 1);
    for gateway in ranked {
        let position = first.partition_point(|known| *known < gateway);
        first.insert(position, gateway);
        first.truncate(count);
    }
    first.into_iter().map(|(_, gateway)| gateway).collect()
}

/// A gateway that may read a subject for the gateways of a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionReader {
    /// The gateway itself.
    Own,
    /// Another gateway.
    Other(SocketAddr),
}

/// Returns the gateways that the gateway `own` asks to read a subject, in this order: at most
/// `count` of the gateways of its region that are not suspected to be dead, ranked by the subject.
/// The list ends with `own` if it is ranked: gateways behind it are not asked.
pub fn rank_region_readers(
    subject: &impl Hash,
    own: SocketAddr,
    region: impl IntoIterator<Item = SocketAddr>,
    is_suspected: impl Fn(SocketAddr) -> bool,
    count: usize,
) -> Vec<RegionReader> {
    let trusted = region
        .into_iter()
        .filter(|gateway| *gateway == own || !is_suspected(*gateway));
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

/// Returns a hash of a value that is the same in every process.
pub fn stable_hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
