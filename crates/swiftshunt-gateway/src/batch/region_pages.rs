//! Pages of listings of partitions, read once for all gateways of a region.
//!
//! A gateway that lists a partition asks the region's reader for each page. The reader reads a page once, however
//! many ask for it, and keeps it for a while; a reading goes on when those who asked for it have given up. How
//! many pages are read at a time follows from how long they take ([`BulkWindow`]).

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
use crate::beliefs::lock;
use crate::clock::Clock;
use crate::peer_http::{self, PeerClient, answer_with, encoded, read_call};

/// Where gateways take calls for pages from each other.
pub(crate) const PATH: &str = "/peer/page";
/// Time for which a page is kept: those who need it ask within the time that leases take to be dealt, and the
/// tail from its end on must still be there.
const KEPT_FOR: Duration = Duration::from_secs(8);
/// Time within which a reader answers, with the page or with word that it is being read.
const WORD_WITHIN: Duration = Duration::from_secs(1);
/// Time beyond that which an answer may take on its way.
const ON_THE_WAY: Duration = Duration::from_millis(1_500);
/// Times that a page that is too old is read anew: another may have begun to read it a moment before.
const MOST_READINGS: u32 = 3;
/// Connections that rest for one gateway.
const MOST_RESTING: usize = 2;
/// Largest call and answer.
const CALL_BYTES: usize = 4 << 10;
const PAGE_BYTES: usize = 8 << 20;

/// Asks for a page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PageCall {
    /// Of which partition.
    pub(crate) partition: u32,
    /// Behind which key.
    pub(crate) after: Option<Vec<u8>>,
    /// Read when the partition had this end, or later.
    pub(crate) not_before: u64,
}

/// A page that is being read, or was.
type Reading = Shared<BoxFuture<'static, Result<NewestPage, LogError>>>;
type PageKey = (u32, Option<Vec<u8>>);

/// What became of a call to a reader.
enum Asked {
    Page(NewestPage),
    /// It reads the page.
    UnderWay,
    Nothing,
}

/// The pages.
pub(crate) struct RegionPages {
    log: Arc<dyn Log>,
    readers: Arc<RegionReaders>,
    clock: Clock,
    client: PeerClient<Full<Bytes>>,
    kept: Mutex<HashMap<PageKey, Reading>>,
    window: Mutex<BulkWindow>,
    /// A page was read.
    freed: Notify,
}

impl RegionPages {
    pub(super) fn new(log: Arc<dyn Log>, readers: Arc<RegionReaders>, clock: Clock) -> Self {
        Self {
            log,
            readers,
            clock,
            client: peer_http::client(MOST_RESTING),
            kept: Mutex::default(),
            window: Mutex::default(),
            freed: Notify::new(),
        }
    }

    /// A page, by the region's reader, or from the log where none answers.
    pub(super) async fn page(self: &Arc<Self>, call: PageCall) -> Result<NewestPage, LogError> {
        if !self.readers.is_sharing_reads() {
            let log = &self.log;
            return log.newest(Topic::Jobs, call.partition, call.after).await;
        }
        let readers = self.readers.readers_of(call.partition);
        if readers.is_empty() {
            let reason = "it is not known yet which gateways there are".to_owned();
            return Err(LogError::Unanswered { reason });
        }
        for reader in readers {
            let reader = match reader {
                RegionReader::Own => break,
                RegionReader::Other(reader) => reader,
            };
            if let Some(page) = self.by(reader, &call).await {
                return Ok(page);
            }
            self.readers.mark_suspected(call.partition, reader);
        }
        self.read(&call).await
    }

    /// Answers a gateway that asks for a page.
    pub(super) async fn answer_peer(self: &Arc<Self>, request: Request<Incoming>) -> CallerAnswer {
        let call: PageCall = match read_call(request, CALL_BYTES).await {
            Ok(call) => call,
            Err(refusal) => return refusal,
        };
        match tokio::time::timeout(WORD_WITHIN, self.read(&call)).await {
            Ok(Ok(page)) => answer_with(&page),
            Ok(Err(error)) => {
                log::info!(partition = call.partition; "a page is not read: {error}");
                plain(StatusCode::SERVICE_UNAVAILABLE, "the page is not read")
            }
            Err(_) => plain(StatusCode::ACCEPTED, "the page is being read"),
        }
    }

    /// A page by another gateway, for as long as that one says that it reads it.
    async fn by(&self, reader: SocketAddr, call: &PageCall) -> Option<NewestPage> {
        loop {
            let asked = tokio::time::timeout(WORD_WITHIN + ON_THE_WAY, self.ask(reader, call));
            match asked.await.unwrap_or(Asked::Nothing) {
                Asked::Page(page) => return Some(page).filter(|page| page.end >= call.not_before),
                Asked::UnderWay => {}
                Asked::Nothing => return None,
            }
        }
    }

    async fn ask(&self, reader: SocketAddr, call: &PageCall) -> Asked {
        let uri = peer_http::uri(reader, PathAndQuery::from_static(PATH));
        let (Some(uri), Some(body)) = (uri, encoded(call)) else {
            return Asked::Nothing;
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = uri;
        let Ok(answer) = self.client.request(request).await else {
            return Asked::Nothing;
        };
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::ACCEPTED => return Asked::UnderWay,
            _ => return Asked::Nothing,
        }
        let body = Limited::new(answer.into_body(), PAGE_BYTES).collect();
        let Ok(body) = body.await else {
            return Asked::Nothing;
        };
        let page = ciborium::from_reader(body.to_bytes().as_ref());
        page.map_or(Asked::Nothing, Asked::Page)
    }

    /// A page as it is kept here, or from the log.
    async fn read(self: &Arc<Self>, call: &PageCall) -> Result<NewestPage, LogError> {
        for _ in 0..MOST_READINGS {
            let page = self.reading(call).await?;
            if page.end >= call.not_before {
                return Ok(page);
            }
        }
        let reason = "the pages of the log are too old".to_owned();
        Err(LogError::Unanswered { reason })
    }

    /// The reading of a page that is under way, is kept, or begins now.
    fn reading(self: &Arc<Self>, call: &PageCall) -> Reading {
        let key = (call.partition, call.after.clone());
        let mut kept = lock(&self.kept);
        let known = kept.get(&key).filter(|reading| {
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
        kept.insert(key.clone(), reading.clone());
        drop(kept);
        tokio::spawn(Arc::clone(self).keep(key, reading.clone()));
        reading
    }

    /// Sees a reading to its end and drops it after a while.
    async fn keep(self: Arc<Self>, key: PageKey, reading: Reading) {
        if reading.clone().await.is_ok() {
            tokio::time::sleep(KEPT_FOR).await;
        }
        let mut kept = lock(&self.kept);
        if kept.get(&key).is_some_and(|kept| kept.ptr_eq(&reading)) {
            kept.remove(&key);
        }
    }

    async fn read_log(
        &self,
        partition: u32,
        after: Option<Vec<u8>>,
    ) -> Result<NewestPage, LogError> {
        self.turn().await;
        let began = self.clock.now();
        let page = self.log.newest(Topic::Jobs, partition, after).await;
        let took = self.clock.now().saturating_sub(began);
        lock(&self.window).ended(page.is_ok().then_some(took));
        self.freed.notify_waiters();
        let records = page.as_ref().map_or(0, |page| page.records.len());
        log::info!(partition, records, took_ms = took.as_millis() as u64;
            "a page of a partition was read for the region");
        page
    }

    /// Waits until another page may be read.
    async fn turn(&self) {
        loop {
            let freed = self.freed.notified();
            if lock(&self.window).begin() {
                return;
            }
            freed.await;
        }
    }
}
