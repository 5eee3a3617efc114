//! The command `swiftshunt-lab soak`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;

use super::history::History;
use super::plan::Plan;
use super::promises::{ALL, Promise, Verdict, judge};
use super::{SoakError, play, report};
use crate::harness::Binaries;

/// Length of a round, in minutes.
const ROUND_MINUTES: f64 = 0.75;

/// run real gateways under a random plan of faults and check the promises
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "soak",
    example = "{command_name} --minutes 10\n{command_name} --seed 42 --only not-run\n{command_name} --replay target/soak/42/shrunk.json"
)]
pub struct SoakArguments {
    /// seed of the first round, increased by one for each further round; random by default
    #[argh(option)]
    seed: Option<u64>,
    /// total time in minutes; a new round starts as long as time is left, and at least one is run
    #[argh(option, default = "1.0")]
    minutes: f64,
    /// promise to check; can be repeated; all promises by default
    #[argh(option)]
    only: Vec<Promise>,
    /// run the plan in this file instead of drawing one
    #[argh(option)]
    replay: Option<PathBuf>,
    /// use two regions with a narrow, slow link between them, workers that start cold, and zone evacuations
    #[argh(switch)]
    regions: bool,
    /// let batch items run for seconds under series of crashes, lapses of directory entries and signals that overlap
    #[argh(switch)]
    series: bool,
    /// let callers take streams up at other gateways, while workers number events wrongly
    #[argh(switch)]
    streams: bool,
    /// executable of an earlier build, which every second gateway runs until its first planned stop
    #[argh(option)]
    earlier: Option<PathBuf>,
    /// directory for plans, histories, logs and plots
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    output: PathBuf,
    /// maximum number of rounds played to reduce the faults of a failing plan; 0 disables this
    #[argh(option, default = "8")]
    shrink: usize,
}

/// Runs the soak test. The exit code reports a failure if a promise was broken in any round.
pub async fn run(arguments: SoakArguments) -> Result<ExitCode, SoakError> {
    let runner = Runner {
        binaries: Binaries {
            earlier_node: arguments.earlier,
            ..Binaries::beside_current_program()?
        },
        promises: if arguments.only.is_empty() {
            ALL.to_vec()
        } else {
            arguments.only
        },
        output: arguments.output,
        max_shrink_rounds: arguments.shrink,
    };
    if let Some(file) = arguments.replay {
        let text = std::fs::read_to_string(file)?;
        let plan = serde_json::from_str(&text).map_err(std::io::Error::other)?;
        let all_kept = runner.run_plan(plan).await?;
        return Ok(exit_code(usize::from(!all_kept), 1));
    }
    let deadline =
        std::time::Instant::now() + std::time::Duration::from_secs_f64(arguments.minutes * 60.0);
    let first = arguments
        .seed
        .unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let (mut broken, mut rounds_played) = (0, 0);
    while rounds_played == 0 || std::time::Instant::now() < deadline {
        let mut plan = Plan::draw(first + rounds_played as u64, ROUND_MINUTES);
        if arguments.regions {
            plan = plan.in_two_regions();
        }
        if arguments.series {
            plan = plan.with_series();
        }
        if arguments.streams {
            plan = plan.with_stream_faults();
        }
        broken += usize::from(!runner.run_plan(plan).await?);
        rounds_played += 1;
    }
    Ok(exit_code(broken, rounds_played))
}

fn exit_code(broken: usize, rounds_played: usize) -> ExitCode {
    println!("played {rounds_played} rounds, {broken} of them with a broken promise");
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

struct Runner {
    binaries: Binaries,
    promises: Vec<Promise>,
    output: PathBuf,
    max_shrink_rounds: usize,
}

impl Runner {
    /// Plays a plan and prints the report. Returns whether all checked promises were kept; otherwise also prints
    /// timelines and writes a plan with fewer faults.
    async fn run_plan(&self, plan: Plan) -> Result<bool, SoakError> {
        let folder = self.output.join(plan.seed.to_string());
        let verdicts = self.play_into(&plan, &folder).await?;
        let broken: Vec<Promise> = verdicts
            .iter()
            .filter(|verdict| !verdict.violations.is_empty())
            .map(|verdict| verdict.promise)
            .collect();
        if broken.is_empty() {
            return Ok(true);
        }
        self.print_timelines(&verdicts, &folder);
        let shrunk = self.shrink(plan, &broken, &folder).await?;
        write_json(&folder.join("shrunk.json"), &shrunk)?;
        println!(
            "  reduced to {} faults: {}",
            shrunk.faults.len(),
            folder.join("shrunk.json").display()
        );
        Ok(false)
    }

    /// Plays a plan and checks the promises. Writes the plan, the history, the report, a plot and all logs to `folder`,
    /// whose earlier contents are deleted.
    async fn play_into(&self, plan: &Plan, folder: &Path) -> Result<Vec<Verdict>, SoakError> {
        if folder.exists() {
            std::fs::remove_dir_all(folder)?;
        }
        std::fs::create_dir_all(folder)?;
        write_json(&folder.join("plan.json"), plan)?;
        let history = play(plan.clone(), self.binaries.clone(), folder.join("logs")).await?;
        write_json(&folder.join("history.json"), &history)?;
        let verdicts = self.judge_all(&history);
        let report = report::Report::new(plan, &history, &verdicts);
        print!("{}", report.text());
        write_json(&folder.join("report.json"), &report)?;
        if let Err(error) = report::plot(&history, &folder.join("outcomes.svg")) {
            eprintln!("cannot draw the plot of outcomes: {error}");
        }
        Ok(verdicts)
    }

    fn judge_all(&self, history: &History) -> Vec<Verdict> {
        let promises = self.promises.iter();
        promises.map(|promise| judge(*promise, history)).collect()
    }

    /// Prints the timeline of the first violation of each promise.
    fn print_timelines(&self, verdicts: &[Verdict], folder: &Path) {
        let files = std::fs::read_dir(folder.join("logs")).into_iter().flatten();
        let paths = files.filter_map(|file| Some(file.ok()?.path()));
        let is_log = |path: &PathBuf| {
            path.to_string_lossy().contains("gateway-")
                && path.extension().is_some_and(|it| it == "log")
        };
        let logs: Vec<PathBuf> = paths.filter(is_log).collect();
        for violation in verdicts
            .iter()
            .filter_map(|verdict| verdict.violations.first())
        {
            let subject = violation.subject.split(' ').next().unwrap_or_default();
            let timeline = report::explain(&self.binaries.node, subject, &logs);
            println!("  {} {}:\n{timeline}", violation.promise, violation.subject);
        }
    }

    /// Removes faults one by one; a fault stays out if one of the broken promises is broken without it too.
    async fn shrink(
        &self,
        mut plan: Plan,
        broken: &[Promise],
        folder: &Path,
    ) -> Result<Plan, SoakError> {
        let mut rounds_played = 0;
        let mut index = 0;
        while index < plan.faults.len() && rounds_played < self.max_shrink_rounds {
            let mut candidate = plan.clone();
            candidate.faults.remove(index);
            let verdicts = self.play_into(&candidate, &folder.join("shrink")).await?;
            rounds_played += 1;
            let is_still_broken = verdicts
                .iter()
                .any(|it| broken.contains(&it.promise) && !it.violations.is_empty());
            if is_still_broken {
                plan = candidate;
            } else {
                index += 1;
            }
        }
        Ok(plan)
    }
}

fn write_json(file: &Path, value: &impl serde::Serialize) -> Result<(), SoakError> {
    let text = serde_json::to_vec_pretty(value).map_err(std::io::Error::other)?;
    Ok(std::fs::write(file, text)?)
}
