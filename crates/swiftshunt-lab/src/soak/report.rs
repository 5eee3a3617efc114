//! Report of a round: counts, violations with timelines, and a plot of the outcomes.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

use plotters::prelude::*;
use serde::Serialize;

use super::disturbances::Scope;
use super::history::{History, Outcome};
use super::plan::Plan;
use super::promises::Verdict;

/// Maximum number of violations printed for each promise.
const MAX_PRINTED_VIOLATIONS: usize = 3;
/// Maximum number of lines printed of a timeline.
const MAX_TIMELINE_LINES: usize = 30;

/// The report of a round, written to `report.json`.
#[derive(Debug, Serialize)]
pub(super) struct Report<'r> {
    pub(super) plan: &'r Plan,
    pub(super) verdicts: &'r [Verdict],
    /// Number of online requests for each status or other outcome.
    pub(super) outcomes: BTreeMap<String, usize>,
    /// Number of accepted jobs, and of jobs that were never accepted.
    pub(super) jobs: (usize, usize),
    /// Number of run events reported by workers.
    pub(super) runs: usize,
}

impl<'r> Report<'r> {
    pub(super) fn new(plan: &'r Plan, history: &History, verdicts: &'r [Verdict]) -> Self {
        let mut outcomes = BTreeMap::new();
        for call in &history.online {
            *outcomes.entry(outcome_label(call.outcome)).or_default() += 1;
        }
        let accepted = history.jobs.iter().filter(|job| job.accepted().is_some());
        let accepted = accepted.count();
        Self {
            plan,
            verdicts,
            outcomes,
            jobs: (accepted, history.jobs.len() - accepted),
            runs: history.runs.len(),
        }
    }

    /// Formats the summary for the terminal.
    pub(super) fn text(&self) -> String {
        let mut text = format!(
            "seed {}: {} gateways, {} workers per service, {} faults; jobs accepted: {}, not accepted: {}\n  online: {:?}\n",
            self.plan.seed,
            self.plan.gateways,
            self.plan.workers,
            self.plan.faults.len(),
            self.jobs.0,
            self.jobs.1,
            self.outcomes,
        );
        for verdict in self.verdicts {
            let broken = verdict.violations.len();
            text += &format!(
                "  {}: {} checked, {broken} broken\n",
                verdict.promise, verdict.checked
            );
            for violation in verdict.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
                text += &format!(
                    "    at {} ms, {}: {}\n",
                    violation.at, violation.subject, violation.seen
                );
            }
        }
        text
    }
}

fn outcome_label(outcome: Outcome) -> String {
    match outcome {
        Outcome::Answered { status, .. } => status.to_string(),
        Outcome::Broken => "broken".to_owned(),
        Outcome::Unanswered => "unanswered".to_owned(),
        Outcome::Left => "left".to_owned(),
    }
}

/// Runs `swiftshunt explain` for the subject of a violation and returns the first lines of its output.
pub(super) fn explain(program: &Path, subject: &str, logs: &[std::path::PathBuf]) -> String {
    let mut command = Command::new(program);
    command.arg("explain").arg(subject);
    for log in logs {
        command.arg("--logs").arg(log);
    }
    match command.output() {
        Ok(output) => {
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            let lines: Vec<&str> = text.lines().take(MAX_TIMELINE_LINES).collect();
            lines.join("\n")
        }
        Err(error) => format!("cannot run `swiftshunt explain`: {error}"),
    }
}

const PLOT_SIZE: (u32, u32) = (1_100, 420);
const SUCCESS_COLOUR: RGBColor = RGBColor(30, 130, 80);
const REFUSED_COLOUR: RGBColor = RGBColor(220, 150, 30);
const FAILED_COLOUR: RGBColor = RGBColor(200, 50, 40);
const FAULT_COLOUR: RGBColor = RGBColor(120, 120, 140);

/// Returns the colour of the point that stands for a request in the plot, and the height of the point on the y axis,
/// which has no unit.
fn colour_and_row(outcome: Outcome) -> (RGBColor, f64) {
    match outcome {
        Outcome::Answered { status: 200, .. } => (SUCCESS_COLOUR, 1.0),
        Outcome::Answered { .. } => (REFUSED_COLOUR, 2.0),
        Outcome::Left => (FAULT_COLOUR, 1.5),
        Outcome::Broken | Outcome::Unanswered => (FAILED_COLOUR, 3.0),
    }
}

/// Draws the outcomes of online requests over time, and above them the periods of faults.
pub(super) fn plot(history: &History, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let end = history
        .online
        .iter()
        .map(|call| call.ended)
        .max()
        .unwrap_or(1);
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(20)
        .build_cartesian_2d(0.0..end as f64 / 1e3, 0.0..8.0)?;
    chart
        .configure_mesh()
        .x_desc("time in seconds; above: faults; below: served, refused and failed requests")
        .disable_y_mesh()
        .disable_y_axis()
        .draw()?;
    let points = history.online.iter().map(|call| {
        let (colour, row) = colour_and_row(call.outcome);
        Circle::new((call.sent as f64 / 1e3, row), 2, colour.filled())
    });
    chart.draw_series(points)?;
    let bars = history.disturbances.iter().map(|it| {
        let height = match it.scope {
            Scope::Gateway(_) => 4.0,
            Scope::PlannedStop(_) => 5.0,
            Scope::Store => 6.0,
            Scope::Worker(_) => 7.0,
        };
        // Each bar is 50 ms longer than its fault, so that faults without a duration are visible.
        let (from, to) = (it.from as f64 / 1e3, it.to as f64 / 1e3 + 0.05);
        Rectangle::new(
            [(from, height), (to, height + 0.7)],
            FAULT_COLOUR.mix(0.4).filled(),
        )
    });
    chart.draw_series(bars)?;
    area.present()?;
    Ok(())
}
