//! One round: the processes are started, load and faults run, and what was seen is gathered.

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

/// How long a fault waits for the moment that it is to follow; then it comes all the same.
const TRIGGER_TIMEOUT: Duration = Duration::from_secs(8);

/// Why a round was not played.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// A process did not start.
    #[display("{_0}")]
    Harness(HarnessError),
    /// The system refused.
    #[display("{_0}")]
    System(std::io::Error),
    /// A process or a stand-in did not do what the plan says.
    #[display("the plan was not played: {}", failures.join("; "))]
    #[from(ignore)]
    NotPlayed {
        /// What did not work.
        #[error(not(source))]
        failures: Vec<String>,
    },
    /// A stand-in did not say where it listens.
    #[display("a process did not tell its address")]
    #[from(ignore)]
    MissingAddress,
}

/// Plays a round; logs, settings and workers' outputs stay in `scratch`.
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
    (history.online, history.jobs) = load.records();
    Ok(history)
}

/// Applies a fault at its time.
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
