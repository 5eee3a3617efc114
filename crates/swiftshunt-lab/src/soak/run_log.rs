//! Reads the runs that worker processes print.

use std::path::Path;

use super::history::RunRecord;
use crate::platform::process::RunLine;

/// Reads the runs from a worker's output and skips all other lines. Times are converted from the time of day to
/// milliseconds since the start of the round.
pub(super) fn read(file: &Path, round_start_ms: u64) -> std::io::Result<Vec<RunRecord>> {
    let text = std::fs::read_to_string(file)?;
    let lines = text.lines().filter_map(|line| {
        let line: RunLine = serde_json::from_str(line).ok()?;
        Some(RunRecord {
            event: line.run,
            incarnation: line.incarnation,
            id: line.id,
            path: line.path,
            at: line.at.saturating_sub(round_start_ms),
        })
    });
    Ok(lines.collect())
}
