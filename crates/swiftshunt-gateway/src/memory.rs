//! How much memory the process may use.

use crate::settings::MemorySettings;

/// Bytes in a MiB.
const MIB: usize = 1 << 20;
/// Memory that is assumed where neither the settings nor the operating system tell it, and the most that is used of it.
const DEFAULT_LIMIT_BYTES: usize = 1 << 30;

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
