//! Plays one round: starts the processes, runs load and faults, and collects the history.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use tokio::task::JoinSet;

use super::history::History;
use super::load::Load;
use super::plan::{Plan, ScheduledFault};
use super::testbed::Testbed;
use crate::harness::{Binaries, HarnessError};

/// Time that a fault waits for its trigger; after that it is injected without the trigger.
const TRIGGER_TIMEOUT: Duration = Duration::from_secs(8);

/// Errors that prevent a round from being played, or make its history unusable.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// A process could not be started.
    #[display("{_0}")]
    Harness(HarnessError),
    /// A file or socket operation failed.
    #[display("{_0}")]
    System(std::io::Error),
    /// A process or a stand-in did not carry out a step of the plan, so the history does not show what was planned.
    #[display("could not carry out the plan: {}", failures.join("; "))]
    #[from(ignore)]
    NotPlayed {
        /// Description of each failed step.
        #[error(not(source))]
        failures: Vec<String>,
    },
    /// A process did not print an address on which it listens, or printed one that cannot be parsed.
    #[display("a process did not print a valid listen address")]
    #[from(ignore)]
    MissingAddress,
}

/// Plays a round. Logs, settings and the output of workers remain in the directory `scratch`.
pub async fn play(plan: Plan, binaries: Binaries, scratch: PathBuf) -> Result<History, SoakError> {
    let testbed = Arc::new(Testbed::start(plan, binaries, scratch).await?);
    let load = Load::new(Arc::clone(&testbed));
    let mut readiness_polls = JoinSet::new();
    for gateway in 0..testbed.gateway_count() {
        let testbed = Arc::clone(&testbed);
        readiness_polls.spawn(async move { testbed.poll_readiness(gateway).await });
    }
    let mut faults = JoinSet::new();
    for fault in testbed.plan.faults.clone() {
        let testbed = Arc::clone(&testbed);
        faults.spawn(async move { inject_fault(&testbed, &fault).await });
    }
    load.send().await;
    while faults.join_next().await.is_some() {}
    load.finish().await;
    readiness_polls.shutdown().await;
    let failures = testbed.failures();
    if !failures.is_empty() {
        return Err(SoakError::NotPlayed { failures });
    }
    let mut history = testbed.history()?;
    load.move_records(&mut history);
    Ok(history)
}

/// Waits for the time and the trigger of a fault, then injects it.
async fn inject_fault(testbed: &Testbed, fault: &ScheduledFault) {
    tokio::time::sleep(Duration::from_millis(fault.at_ms)).await;
    if let Some((trigger, delay)) = fault.after {
        let mut triggers = testbed.subscribe_triggers();
        let wait = async {
            while let Ok(fired) = triggers.recv().await {
                if fired == trigger {
                    return;
                }
            }
        };
        if tokio::time::timeout(TRIGGER_TIMEOUT, wait).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }
    testbed.apply(fault).await;
}
