//! Pages of partition listings, read once for all gateways of a region.
//!
//! A gateway that lists a partition requests each page from the region's reader. The reader reads a page once for
//! all requests and caches it for a while. A read continues when the gateways that requested it have given up. The
//! number of concurrent page reads follows from how long they take ([`BulkWindow`]).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, Shared};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use swiftshunt_journal::{BulkWindow, Log, LogError, NewestPage, Topic};
use swiftshunt_scheduler::readers::RegionReader;
use tokio::sync::Notify;

use super::region_readers::RegionReaders;
use crate::answers::{CallerAnswer, plain};
use crate::body_buffers::BodyBuffers;
use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::peer_http::{self, PeerClient, encode_answer, encode_message, read_call};

/// Path at which gateways serve pages to each other.
pub(crate) const PATH: &str = "/peer/page";
/// Time for which a page is cached. It covers the time in which leases are assigned, since the gateways that need the
/// page request it then. It must be short, since the log must still have the records from the page's end on when a
/// cached page is used.
const PAGE_TTL: Duration = Duration::from_secs(8);
/// Time within which a reader answers, with the page or with 202 while the read is in progress.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Additional time for transferring an answer.
const TRANSFER_MARGIN: Duration = Duration::from_millis(1_500);
/// Largest number of reads of one page until the page is recent enough: a read that is joined may have begun before
/// the request.
const MAX_READ_ATTEMPTS: u32 = 3;
/// Idle connections kept open to one gateway.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Largest call and largest answer, in bytes.
const CALL_BYTES: usize = 4 << 10;
const PAGE_BYTES: usize = 8 << 20;

/// A request for a page of a partition listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PageCall {
    /// Partition that is listed.
    pub(crate) partition: u32,
    /// Key after which the page begins; `None` for the first page.
    pub(crate) after: Option<Vec<u8>>,
    /// Smallest end offset that the partition must have had when the page was read.
    pub(crate) not_before: u64,
}

/// A page read that is in progress or done.
type PageRead = Shared<BoxFuture<'static, Result<NewestPage, LogError>>>;
type PageKey = (u32, Option<Vec<u8>>);

/// Outcome of a request to a reader.
enum Reply {
    Page(NewestPage),
    /// The reader is still reading the page.
    InProgress,
    Unavailable,
}

/// Pages that this gateway serves to its region and requests from other readers.
pub(crate) struct RegionPages {
    log: Arc<dyn Log>,
    readers: Arc<RegionReaders>,
    clock: Clock,
    client: PeerClient<Full<Bytes>>,
    cached: Mutex<HashMap<PageKey, PageRead>>,
    window: Mutex<BulkWindow>,
    /// Notified when a read has ended and another may begin.
    slot_freed: Notify,
}

impl RegionPages {
    pub(super) fn new(log: Arc<dyn Log>, readers: Arc<RegionReaders>, clock: Clock) -> Self {
        Self {
            log,
            readers,
            clock,
            client: peer_http::new_client(MAX_IDLE_CONNECTIONS),
            cached: Mutex::default(),
            window: Mutex::default(),
            slot_freed: Notify::new(),
        }
    }

    /// Returns a page from the region's reader, or from the log if no reader answers.
    pub(super) async fn page(self: &Arc<Self>, call: PageCall) -> Result<NewestPage, LogError> {
        if !self.readers.is_sharing_reads() {
            let log = &self.log;
            return log.newest(Topic::Jobs, call.partition, call.after).await;
        }
        let readers = self.readers.readers_of(call.partition);
        if readers.is_empty() {
            let reason = "the list of gateways has not been read yet".to_owned();
            return Err(LogError::Unanswered { reason });
        }
        for reader in readers {
            let reader = match reader {
                RegionReader::Own => break,
                RegionReader::Other(reader) => reader,
            };
            if let Some(page) = self.fetch_from(reader, &call).await {
                return Ok(page);
            }
            self.readers.mark_suspected(call.partition, reader);
        }
        self.read_page(&call).await
    }

    /// Answers another gateway's request for a page.
    pub(super) async fn answer_peer(
        self: &Arc<Self>,
        request: Request<Incoming>,
        calls: &BodyBuffers,
    ) -> CallerAnswer {
        let call: PageCall = match read_call(request, CALL_BYTES, calls).await {
            Ok(call) => call,
            Err(refusal) => return refusal,
        };
        match tokio::time::timeout(REPLY_TIMEOUT, self.read_page(&call)).await {
            Ok(Ok(page)) => encode_answer(&page),
            Ok(Err(error)) => {
                log::info!(partition = call.partition;
                    "a page of a partition could not be read for another gateway: {error}");
                plain(StatusCode::SERVICE_UNAVAILABLE, "the page is not read")
            }
            Err(_) => plain(StatusCode::ACCEPTED, "the page is being read"),
        }
    }

    /// Requests a page from another gateway until it answers with the page or is unavailable. Returns `None` if it is
    /// unavailable or its page is older than the call requires.
    async fn fetch_from(&self, reader: SocketAddr, call: &PageCall) -> Option<NewestPage> {
        loop {
            let reply = tokio::time::timeout(
                REPLY_TIMEOUT + TRANSFER_MARGIN,
                self.request_page(reader, call),
            );
            match reply.await.unwrap_or(Reply::Unavailable) {
                Reply::Page(page) => return Some(page).filter(|page| page.end >= call.not_before),
                Reply::InProgress => {}
                Reply::Unavailable => return None,
            }
        }
    }

    async fn request_page(&self, reader: SocketAddr, call: &PageCall) -> Reply {
        let uri = peer_http::peer_uri(reader, PathAndQuery::from_static(PATH));
        let (Some(uri), Some(body)) = (uri, encode_message(call)) else {
            return Reply::Unavailable;
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = uri;
        let Ok(answer) = self.client.request(request).await else {
            return Reply::Unavailable;
        };
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::ACCEPTED => return Reply::InProgress,
            _ => return Reply::Unavailable,
        }
        let body = Limited::new(answer.into_body(), PAGE_BYTES).collect();
        let Ok(body) = body.await else {
            return Reply::Unavailable;
        };
        let page = ciborium::from_reader(body.to_bytes().as_ref());
        page.map_or(Reply::Unavailable, Reply::Page)
    }

    /// Returns a page from the cache or from the log.
    async fn read_page(self: &Arc<Self>, call: &PageCall) -> Result<NewestPage, LogError> {
        for _ in 0..MAX_READ_ATTEMPTS {
            let page = self.join_or_start_read(call).await?;
            if page.end >= call.not_before {
                return Ok(page);
            }
        }
        let reason = "the pages of the log are too old".to_owned();
        Err(LogError::Unanswered { reason })
    }

    /// Returns the cached or running read of a page, or starts one.
    fn join_or_start_read(self: &Arc<Self>, call: &PageCall) -> PageRead {
        let key = (call.partition, call.after.clone());
        let mut cached = lock(&self.cached);
        let known = cached.get(&key).filter(|reading| {
            let read = reading.peek();
            read.is_none_or(|read| read.as_ref().is_ok_and(|page| page.end >= call.not_before))
        });
        if let Some(known) = known {
            return known.clone();
        }
        let pages = Arc::clone(self);
        let (partition, after) = key.clone();
        let reading = async move { pages.read_log(partition, after).await };
        let reading = reading.boxed().shared();
        cached.insert(key.clone(), reading.clone());
        drop(cached);
        tokio::spawn(Arc::clone(self).retain_until_expired(key, reading.clone()));
        reading
    }

    /// Drives a read to its end and removes it from the cache: at once if it failed, else after [`PAGE_TTL`].
    async fn retain_until_expired(self: Arc<Self>, key: PageKey, reading: PageRead) {
        if reading.clone().await.is_ok() {
            tokio::time::sleep(PAGE_TTL).await;
        }
        let mut cached = lock(&self.cached);
        if cached
            .get(&key)
            .is_some_and(|cached| cached.ptr_eq(&reading))
        {
            cached.remove(&key);
        }
    }

    async fn read_log(
        &self,
        partition: u32,
        after: Option<Vec<u8>>,
    ) -> Result<NewestPage, LogError> {
        self.acquire_read_slot().await;
        let began = self.clock.now();
        let page = self.log.newest(Topic::Jobs, partition, after).await;
        let took = self.clock.now().saturating_sub(began);
        lock(&self.window).record_end(page.is_ok().then_some(took));
        self.slot_freed.notify_waiters();
        let records = page.as_ref().map_or(0, |page| page.records.len());
        log::info!(partition, records, took_ms = took.as_millis() as u64;
            "a page of a partition was read for the region");
        page
    }

    /// Waits until another read may begin.
    async fn acquire_read_slot(&self) {
        loop {
            let slot_freed = self.slot_freed.notified();
            if lock(&self.window).try_begin() {
                return;
            }
            slot_freed.await;
        }
    }
}
