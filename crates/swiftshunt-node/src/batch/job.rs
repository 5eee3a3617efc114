//! Execution of a job by the leader of its partition: items run concurrently, and their results are
//! appended to the output before the items are recorded as done in the ledger.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{self, StreamExt};
use swiftshunt_ledger::state::{Command, Job};
use swiftshunt_types::{JobId, partition_of};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::files::{FileError, ItemResult, OutputWriter, read_lines, read_results};
use super::item::ItemRunner;
use crate::context::Context;
use crate::ledger::{self, LeaseClock};

/// Limit of the items of one job that run or wait for a slot at the same time.
const MAX_CONCURRENT_ITEMS: usize = 256;
/// Limit of the results that are appended and recorded together.
const MAX_RESULTS_PER_RECORD: usize = 256;
/// Delay before an operation on the log or the ledger is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of one attempt to record items in the ledger.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs one job until it has ended or `stopped` is cancelled.
pub(crate) async fn run_job(
    context: Arc<Context>,
    job: Job,
    lease: LeaseClock,
    stopped: CancellationToken,
) {
    let id = job.request.id.clone();
    log::info!(job = id.as_str(); "job of {} items starts on this node", job.request.items);
    let work = run_items(context, job, lease, stopped.clone());
    tokio::select! {
        () = work => {}
        () = stopped.cancelled() => log::info!(job = id.as_str(); "job stops on this node"),
    }
}

/// Runs the items without a stored result. All items with a result in the output are recorded as done
/// first, as a previous leader may have appended results without recording their items.
async fn run_items(context: Arc<Context>, job: Job, lease: LeaseClock, stopped: CancellationToken) {
    let lines = retry_until_success(|| read_lines(&*context.log, &job.request.input)).await;
    let recorded_results =
        retry_until_success(|| read_results(&*context.log, &job.request.output)).await;
    let recorded: Vec<u32> = recorded_results.keys().copied().collect();
    if !recorded.is_empty() {
        record(&context, &job.request.id, recorded.clone()).await;
    }
    let finished: BTreeSet<u32> = recorded.into_iter().collect();
    let pending: Vec<u32> = job
        .done
        .missing()
        .filter(|index| !finished.contains(index))
        .collect();
    let runner = ItemRunner {
        context: Arc::clone(&context),
        job: job.request.id.clone(),
        endpoint: job.request.endpoint.clone(),
        deadline: job.request.deadline,
        created: job.request.created,
        lease,
        stopped,
    };
    let (results, received) = mpsc::channel(MAX_RESULTS_PER_RECORD);
    let remaining = u32::try_from(pending.len()).unwrap_or(u32::MAX);
    let running = async {
        let items = stream::iter(pending).map(|index| {
            let line = lines.get(index as usize).map_or("", String::as_str);
            runner.run(index, line, remaining)
        });
        let mut items = items.buffer_unordered(MAX_CONCURRENT_ITEMS);
        while let Some(result) = items.next().await {
            let Some(result) = result else { break };
            if results.send(result).await.is_err() {
                break;
            }
        }
        drop(results);
    };
    let writer = OutputWriter::new(Arc::clone(&context.log), &job.request.output);
    let writing = write_results(&context, &job.request.id, writer, received);
    tokio::join!(running, writing);
}

/// Appends results to the output, then records their items.
async fn write_results(
    context: &Context,
    job: &JobId,
    writer: OutputWriter,
    mut received: mpsc::Receiver<ItemResult>,
) {
    let mut results = Vec::new();
    while received
        .recv_many(&mut results, MAX_RESULTS_PER_RECORD)
        .await
        > 0
    {
        retry_until_success(|| writer.append(&results)).await;
        let items = results.iter().map(|result| result.index).collect();
        record(context, job, items).await;
        context.metrics.batch_items.inc_by(results.len() as u64);
        results.clear();
    }
}

/// Records items as done. Retries until it succeeds or the job stops on this node: nothing else under
/// the same leader would record them, so the job would never complete.
async fn record(context: &Context, job: &JobId, items: Vec<u32>) {
    let partition = partition_of(job.as_str(), context.settings.ledger.partitions);
    loop {
        let command = Command::CompleteItems {
            job: job.clone(),
            items: items.clone(),
        };
        let deadline = context.clock.now() + RECORD_TIMEOUT;
        let Err(error) = ledger::propose(context, partition, command, deadline).await else {
            return;
        };
        log::warn!(job = job.as_str(), items = items.len(); "recording completed items failed, retrying: {error:?}");
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Repeats an operation on the log until it succeeds, so that a job survives outages of the log.
async fn retry_until_success<T, F>(mut attempt: impl FnMut() -> F) -> T
where
    F: Future<Output = Result<T, FileError>>,
{
    loop {
        match attempt().await {
            Ok(value) => return value,
            Err(error) => log::warn!("log operation of a job failed, retrying: {error}"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
