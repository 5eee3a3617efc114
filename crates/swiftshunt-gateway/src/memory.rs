//! How much memory the process may use.

use crate::settings::MemorySettings;

/// Bytes in a MiB.
const MIB: usize = 1 << 20;
/// Memory that is assumed where neither the settings nor the operating system tell it, and the most that is used of it.
const DEFAULT_LIMIT_BYTES: usize = 1 << 30;

/// Part of the memory that the bodies of callers' requests may take.
const BODIES_DIVISOR: usize = 4;
/// Part of the memory that jobs may take while they are decoded and recorded.
const DECODING_DIVISOR: usize = 4;
/// Part of the memory that the bodies of accepted jobs may take.
const ITEM_BODIES_DIVISOR: usize = 8;
/// Part of the memory from which on partitions of the journal are listed one at a time.
const LISTINGS_DIVISOR: usize = 8;
/// Part of the memory that the calls of other gateways may take, and likewise answers of workers.
const CALLS_DIVISOR: usize = 8;
const ANSWERS_DIVISOR: usize = 8;
/// Most bytes of workers' answers, however large the machine is.
const MAX_ANSWERS_BYTES: usize = 24 << 20;

/// How the memory of the process is divided, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryShares {
    /// Bodies of callers' requests that are being read or served.
    pub(crate) bodies: usize,
    /// Jobs that are being decoded and recorded.
    pub(crate) decoding: usize,
    /// Bodies of the items of accepted jobs, those of running items apart.
    pub(crate) item_bodies: usize,
    /// Pages of partitions that are listed side by side.
    pub(crate) listings: usize,
    /// Calls of other gateways that are being read.
    pub(crate) calls: usize,
    /// Answers of workers that are read whole.
    pub(crate) answers: usize,
}

impl MemoryShares {
    /// Divides the memory that the process may use.
    pub(crate) fn of(limit_bytes: usize) -> Self {
        Self {
            bodies: limit_bytes / BODIES_DIVISOR,
            decoding: limit_bytes / DECODING_DIVISOR,
            item_bodies: limit_bytes / ITEM_BODIES_DIVISOR,
            listings: limit_bytes / LISTINGS_DIVISOR,
            calls: limit_bytes / CALLS_DIVISOR,
            answers: (limit_bytes / ANSWERS_DIVISOR).min(MAX_ANSWERS_BYTES),
        }
    }
}

/// Returns the number of bytes that the process may use: what the settings state, or the memory of the machine up to
/// 1 GiB.
pub(crate) fn limit_bytes(settings: MemorySettings) -> usize {
    if let Some(limit) = settings.limit_mb {
        return usize::try_from(limit).map_or(usize::MAX, |limit| limit.saturating_mul(MIB));
    }
    let machine = machine_bytes().unwrap_or_else(|| {
        log::warn!(assumed_mb = DEFAULT_LIMIT_BYTES / MIB; "the memory of this machine is not known; assuming a limit");
        DEFAULT_LIMIT_BYTES
    });
    machine.min(DEFAULT_LIMIT_BYTES)
}

/// Returns the memory of the machine; `None` if the operating system does not tell it.
fn machine_bytes() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
