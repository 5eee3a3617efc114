//! Reading jobs: results from a position on, and bodies of items.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::{ASSUMED_CALLER_TIMEOUT, Batch};
use crate::answers::{CallerAnswer, full_body, plain};
use crate::running::ItemId;

/// Largest size of the results in one answer, in bytes.
const PAGE_BYTES: usize = 1_000_000;

/// Outcome of reading a job's results from a position on.
enum ResultsPage {
    /// The job is not known.
    UnknownJob,
    /// There are results, or the position is the end of a completed job.
    Page(CallerAnswer),
    /// There is no result at the position yet.
    Empty(CallerAnswer),
}

/// Longest wait of a call for a result.
const MAX_RESULT_WAIT: Duration = Duration::from_secs(30);

impl Batch {
    /// Lists results from a position on. If there is none, waits up to `wait` for the first one.
    pub(crate) async fn list_results(&self, id: &str, from: usize, wait: Duration) -> CallerAnswer {
        let partition = self.replay.partition_of(id);
        if let Err(answer) = self.ensure_job_known(partition, id).await {
            return answer;
        }
        self.replay.follow_for_call(partition);
        let deadline = Instant::now() + wait.min(MAX_RESULT_WAIT);
        let mut changes = self.replay.subscribe_changes(partition);
        loop {
            changes.mark_unchanged();
            match self.results_page(partition, id, from) {
                ResultsPage::UnknownJob => return plain(StatusCode::NOT_FOUND, "no such job"),
                ResultsPage::Page(answer) => return answer,
                ResultsPage::Empty(answer) if Instant::now() >= deadline => {
                    return self.confirm_empty(partition, id, from, answer).await;
                }
                ResultsPage::Empty(_) => {}
            }
            // The next iteration checks the deadline, so a time-out needs no handling here.
            drop(tokio::time::timeout_at(deadline, changes.changed()).await);
        }
    }

    /// Answers that there is no result at a position, after reading the partition up to its current end: another
    /// gateway may have returned more results already.
    async fn confirm_empty(
        &self,
        partition: u32,
        id: &str,
        from: usize,
        empty: CallerAnswer,
    ) -> CallerAnswer {
        if self.replay.catch_up(partition).await.is_err() {
            return self.refuse_journal_unavailable(id, ASSUMED_CALLER_TIMEOUT);
        }
        match self.results_page(partition, id, from) {
            ResultsPage::Page(answer) => answer,
            ResultsPage::Empty(_) | ResultsPage::UnknownJob => empty,
        }
    }

    /// Returns the page from a position on, from the records read so far.
    fn results_page(&self, partition: u32, id: &str, from: usize) -> ResultsPage {
        let state = self.replay.state(partition);
        let Some(job) = state.fold.job(id) else {
            return ResultsPage::UnknownJob;
        };
        let page = job.page(from, PAGE_BYTES);
        let is_empty = page.results.is_empty();
        let is_whole = from == job.results.len() && job.results.len() == job.spec.items.len();
        let encoded = self
            .dispatcher
            .protocol
            .encode_job_page(&job.spec, &page, from);
        let mut answer = Response::new(full_body(encoded.body));
        let content_type = HeaderValue::from_static(encoded.content_type);
        answer.headers_mut().insert(CONTENT_TYPE, content_type);
        if is_empty && !is_whole {
            ResultsPage::Empty(answer)
        } else {
            ResultsPage::Page(answer)
        }
    }

    /// Answers with the body of an item.
    pub(crate) async fn item_body(&self, id: &str, item: &str) -> CallerAnswer {
        let partition = self.replay.partition_of(id);
        if let Err(answer) = self.ensure_job_known(partition, id).await {
            return answer;
        }
        let found = {
            let state = self.replay.state(partition);
            let spec = state.fold.job(id).map(|job| &job.spec);
            spec.and_then(|spec| spec.items.iter().position(|known| known.id == item))
        };
        let Some(index) = found else {
            return plain(StatusCode::NOT_FOUND, "no such item");
        };
        let item = ItemId {
            partition,
            job: id.to_owned(),
            index: index as u32,
        };
        let body = match self.body_of_item(&item).await {
            Ok(body) => body,
            Err(error) => {
                log::info!(job = id, partition, index; "the body of an item cannot be read: {error}");
                return self.refuse_journal_unavailable(id, ASSUMED_CALLER_TIMEOUT);
            }
        };
        let mut answer = Response::new(full_body(body));
        let content_type = HeaderValue::from_static("application/octet-stream");
        answer.headers_mut().insert(CONTENT_TYPE, content_type);
        answer
    }

    /// Ensures that a job is known here, reading the log up to its current end if it is not. Returns the answer 404 if
    /// there is no such job, and a refusal if the log cannot be read.
    pub(crate) async fn ensure_job_known(
        &self,
        partition: u32,
        id: &str,
    ) -> Result<(), CallerAnswer> {
        if self.replay.state(partition).fold.job(id).is_some() {
            return Ok(());
        }
        if self.replay.catch_up(partition).await.is_err() {
            return Err(self.refuse_journal_unavailable(id, ASSUMED_CALLER_TIMEOUT));
        }
        if self.replay.state(partition).fold.job(id).is_some() {
            return Ok(());
        }
        log::info!(job = id, partition; "no such job");
        Err(plain(StatusCode::NOT_FOUND, "no such job"))
    }
}
