//! A stand-in for the platform's log store, with keyed topics, groups and injected faults.
//!
//! The store serves any number of listeners. Faults are set for each listener separately, so that some
//! gateways can be refused while others are served.

mod control;
mod wire;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use swiftshunt_platform::documents::{
    AppendedDocument, JoinDocument, JoinedDocument, LeaveDocument, NewestDocument, OwnersDocument,
    RecordDocument,
};
use swiftshunt_platform::words::{paths, queries, topics};
use tokio::sync::watch;

pub use self::control::{CONTROL_DROP_HISTORY_PATH, CONTROL_FAULTS_PATH, CONTROL_REASSIGN_PATH};
use self::wire::{Query, decode, json_answer, status_answer, topic_partition};
use super::groups::Group;
use super::server::{Body, BrokenOff, ServerStop, any_port, full_body, serve};
use crate::stand_in::lock;

/// How a store that is down responds to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreOutage {
    /// It never responds.
    #[serde(rename = "silent")]
    Unresponsive,
    /// It responds with 503.
    Busy,
    /// It closes the connection without a response.
    Reset,
}

/// Faults of one listener. Control calls (see [`CONTROL_FAULTS_PATH`]) are not affected.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Set while the store is down for this listener. Reads that already wait end with a closed connection
    /// when the content of any partition changes or their wait is over, whatever the kind of outage.
    #[serde(rename = "down")]
    pub outage: Option<StoreOutage>,
    /// Delay before each call is processed.
    pub delay: Duration,
    /// Reads, also those that already wait, get no response; all other calls are served.
    #[serde(rename = "lost_reads")]
    pub hang_reads: bool,
    /// The same for reads of this topic only.
    pub hang_reads_of: Option<String>,
    /// Probability, from 0 to 1, that an append is performed and its response is lost.
    #[serde(rename = "lost_answers")]
    pub lost_answer_probability: f64,
    /// Whether the connection of an append whose response is lost stays open without a response. Otherwise
    /// it is closed.
    #[serde(rename = "lost_in_silence")]
    pub hold_open_on_lost_answer: bool,
    /// Delay before an append whose response is lost is performed.
    #[serde(rename = "done_late")]
    pub lost_append_delay: Duration,
    /// Whether every second call for the newest records of a topic is refused with 429.
    #[serde(rename = "half_of_listings")]
    pub refuse_every_second_newest: bool,
    /// Probability, from 0 to 1, that an append is acknowledged and not performed. No real store does that: used
    /// to verify that a test detects lost records. Applies to appends whose response is not lost.
    #[serde(rename = "forgotten")]
    pub false_acknowledgement_probability: f64,
}

impl StoreFaults {
    /// Whether a read gets no response.
    fn hang_read(&self, query: &Query) -> bool {
        let topic = self.hang_reads_of.as_deref();
        self.hang_reads || topic == Some(query.text(queries::TOPIC))
    }
}

/// A record in a partition.
#[derive(Clone, Debug)]
struct StoredRecord {
    offset: u64,
    key: Vec<u8>,
    value: Bytes,
}

#[derive(Default)]
struct Partition {
    records: Vec<StoredRecord>,
    /// Offset of the first record that can be read.
    first_offset: u64,
    /// Offset of the next record to be appended.
    end: u64,
    /// The newest record of each key, without deleted keys.
    newest: BTreeMap<Vec<u8>, StoredRecord>,
}

impl Partition {
    /// Appends records and returns the offset of the first one. An empty value deletes its key.
    fn append(&mut self, records: Vec<(Vec<u8>, Bytes)>) -> u64 {
        let first = self.end;
        for (key, value) in records {
            let stored = StoredRecord {
                offset: self.end,
                key: key.clone(),
                value,
            };
            self.end += 1;
            if stored.value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, stored.clone());
            }
            self.records.push(stored);
        }
        first
    }
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u32), Partition>,
    groups: HashMap<String, Group>,
    call_count: u64,
    /// Number of calls for the newest records received while [`StoreFaults::refuse_every_second_newest`] was set,
    /// by topic.
    newest_calls: HashMap<String, u64>,
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    partitions: u32,
    rng: Mutex<StdRng>,
}

/// An address at which the store is served, with faults of its own. Clones share the faults.
#[derive(Clone)]
pub struct StoreListener {
    /// The bound address.
    pub address: SocketAddr,
    faults: Arc<Mutex<StoreFaults>>,
    /// Number of read calls received, by topic.
    read_calls: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl StoreListener {
    /// Replaces the faults of this listener.
    pub fn set_faults(&self, faults: StoreFaults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the number of calls received that read records of a topic by offset.
    pub fn read_calls(&self, topic: &str) -> u64 {
        lock(&self.read_calls)
            .get(topic)
            .copied()
            .unwrap_or_default()
    }
}

/// The store stand-in. Dropping it stops all its listeners.
pub struct Store {
    shared: Arc<Shared>,
    stop: ServerStop,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Store {
    /// Creates an empty store whose groups share `partitions` partitions; `seed` determines the random faults.
    pub fn new(partitions: u32, seed: u64) -> Self {
        let shared = Shared {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            partitions,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        };
        Self {
            shared: Arc::new(shared),
            stop: ServerStop::default(),
        }
    }

    /// Starts to serve the store at one more address, without faults.
    pub async fn open_listener(&self) -> std::io::Result<StoreListener> {
        let faults = Arc::new(Mutex::new(StoreFaults::default()));
        let listener_faults = Arc::clone(&faults);
        let read_calls = Arc::new(Mutex::new(BTreeMap::new()));
        let counted_reads = Arc::clone(&read_calls);
        let shared = Arc::clone(&self.shared);
        let address = serve(
            any_port(),
            self.stop.clone(),
            move |request: Request<Incoming>| {
                let shared = Arc::clone(&shared);
                let faults = Arc::clone(&listener_faults);
                if request.uri().path() == paths::READ {
                    let topic = Query::of(&request).text(queries::TOPIC).to_owned();
                    *lock(&counted_reads).entry(topic).or_default() += 1;
                }
                async move { handle_call(shared, faults, request).await }
            },
        )
        .await?;
        Ok(StoreListener {
            address,
            faults,
            read_calls,
        })
    }

    /// Writes a record to partition 0 of a topic; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: impl Into<Bytes>) {
        let records = vec![(key.as_bytes().to_vec(), value.into())];
        self.shared.append(topic, 0, records);
    }

    /// Deletes the history of every partition, so that only the newest record of each key can be read.
    pub fn drop_history(&self) {
        self.shared.drop_history();
    }

    /// Reassigns each partition of all groups to the member that follows its owner in the order of names.
    pub fn reassign_partitions(&self) {
        self.shared.reassign_partitions();
    }

    /// Returns the number of calls received by all listeners, without those that control the store.
    pub fn call_count(&self) -> u64 {
        lock(&self.shared.state).call_count
    }

    /// Whether a key has a value in partition 0 of a topic.
    pub fn has_key(&self, topic: &str, key: &str) -> bool {
        let state = lock(&self.shared.state);
        let partition = state.partitions.get(&(topic.to_owned(), 0));
        partition.is_some_and(|partition| partition.newest.contains_key(key.as_bytes()))
    }

    /// Returns the number of keys with a value in all partitions of a topic.
    pub fn key_count(&self, topic: &str) -> usize {
        let state = lock(&self.shared.state);
        let partitions = state.partitions.iter();
        let of_topic = partitions.filter(|((name, _), _)| name == topic);
        of_topic.map(|(_, partition)| partition.newest.len()).sum()
    }

    /// Returns the total size in bytes of the keys with a value and of their values, in all partitions of a
    /// topic.
    pub fn byte_count(&self, topic: &str) -> usize {
        let state = lock(&self.shared.state);
        let partitions = state.partitions.iter();
        let of_topic = partitions.filter(|((name, _), _)| name == topic);
        let records = of_topic.flat_map(|(_, partition)| partition.newest.values());
        records
            .map(|record| record.key.len() + record.value.len())
            .sum()
    }
}

impl Shared {
    fn drop_history(&self) {
        for partition in lock(&self.state).partitions.values_mut() {
            partition.records.clear();
            partition.first_offset = partition.end;
        }
        self.changed.send_modify(|version| *version += 1);
    }

    fn reassign_partitions(&self) {
        for group in lock(&self.state).groups.values_mut() {
            group.rotate_owners();
        }
    }

    fn end(&self, topic: &str, partition: u32) -> u64 {
        let state = lock(&self.state);
        let partition = state.partitions.get(&(topic.to_owned(), partition));
        partition.map_or(0, |partition| partition.end)
    }

    fn append(&self, topic: &str, partition: u32, records: Vec<(Vec<u8>, Bytes)>) -> (u64, u64) {
        let appended = {
            let mut state = lock(&self.state);
            let key = (topic.to_owned(), partition);
            let partition = state.partitions.entry(key).or_default();
            let first = partition.append(records);
            (first, partition.end)
        };
        self.changed.send_modify(|version| *version += 1);
        appended
    }
}

async fn handle_call(
    shared: Arc<Shared>,
    faults: Arc<Mutex<StoreFaults>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, BrokenOff> {
    if request
        .uri()
        .path()
        .starts_with(control::CONTROL_PATH_PREFIX)
    {
        return control::handle_control_call(&shared, &faults, request).await;
    }
    lock(&shared.state).call_count += 1;
    let active_faults = lock(&faults).clone();
    tokio::time::sleep(active_faults.delay).await;
    match active_faults.outage {
        Some(StoreOutage::Unresponsive) => return std::future::pending().await,
        Some(StoreOutage::Busy) => return Ok(status_answer(StatusCode::SERVICE_UNAVAILABLE)),
        Some(StoreOutage::Reset) => return Err(BrokenOff),
        None => {}
    }
    let query = Query::of(&request);
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body = body.map_err(|_| BrokenOff)?.to_bytes();
    match path.as_str() {
        paths::APPEND => append(&shared, &active_faults, &query, body).await,
        paths::READ if active_faults.hang_read(&query) => std::future::pending().await,
        paths::READ => read(&shared, &faults, &query).await,
        paths::NEWEST
            if active_faults.refuse_every_second_newest && is_second_call(&shared, &query) =>
        {
            Ok(status_answer(StatusCode::TOO_MANY_REQUESTS))
        }
        paths::NEWEST => Ok(newest(&shared, &query)),
        paths::JOIN => Ok(join(&shared, &body)),
        paths::OWNERS => Ok(owners(&shared, &query)),
        paths::LEAVE => Ok(leave(&shared, &body)),
        _ => Ok(status_answer(StatusCode::NOT_FOUND)),
    }
}

async fn append(
    shared: &Arc<Shared>,
    faults: &StoreFaults,
    query: &Query,
    body: Bytes,
) -> Result<Response<Body>, BrokenOff> {
    let topic = query.text(queries::TOPIC).to_owned();
    let partition = query.number(queries::PARTITION) as u32;
    let Some(records) = decode(body) else {
        return Ok(status_answer(StatusCode::BAD_REQUEST));
    };
    let is_lost = lock(&shared.rng).random_bool(faults.lost_answer_probability);
    if is_lost {
        let shared = Arc::clone(shared);
        let append_delay = faults.lost_append_delay;
        tokio::spawn(async move {
            tokio::time::sleep(append_delay).await;
            shared.append(&topic, partition, records);
        });
        if faults.hold_open_on_lost_answer {
            return std::future::pending().await;
        }
        return Err(BrokenOff);
    }
    if lock(&shared.rng).random_bool(faults.false_acknowledgement_probability) {
        let end = shared.end(&topic, partition);
        return Ok(json_answer(&AppendedDocument { offset: end, end }));
    }
    let (offset, end) = shared.append(&topic, partition, records);
    Ok(json_answer(&AppendedDocument { offset, end }))
}

async fn read(
    shared: &Shared,
    faults: &Mutex<StoreFaults>,
    query: &Query,
) -> Result<Response<Body>, BrokenOff> {
    let wait = Duration::from_millis(query.number(queries::WAIT));
    let deadline = tokio::time::Instant::now() + wait;
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        if let Some(answer) = read_available(shared, query) {
            return Ok(answer);
        }
        let has_timed_out = tokio::time::timeout_at(deadline, changed.changed())
            .await
            .is_err();
        if lock(faults).outage.is_some() {
            return Err(BrokenOff);
        }
        if lock(faults).hang_read(query) {
            return std::future::pending().await;
        }
        if has_timed_out {
            return Ok(records_answer(shared, query, &[]));
        }
    }
}

/// Returns the response to a read that need not wait: the records from the requested offset, or 410 if they
/// are deleted. `None` if there are no such records yet and the caller is willing to wait, or if nothing was ever
/// appended to the partition.
fn read_available(shared: &Shared, query: &Query) -> Option<Response<Body>> {
    let from = query.number(queries::FROM);
    let records = {
        let state = lock(&shared.state);
        let partition = state.partitions.get(&topic_partition(query))?;
        if from < partition.first_offset {
            return Some(status_answer(StatusCode::GONE));
        }
        let records = partition.records.iter();
        let wanted = records.filter(|record| record.offset >= from);
        wanted.cloned().collect::<Vec<_>>()
    };
    if records.is_empty() && query.number(queries::WAIT) > 0 {
        return None;
    }
    Some(records_answer(shared, query, &records))
}

fn records_answer(shared: &Shared, query: &Query, records: &[StoredRecord]) -> Response<Body> {
    let (end, first) = {
        let state = lock(&shared.state);
        let partition = state.partitions.get(&topic_partition(query));
        partition.map_or((0, 0), |partition| (partition.end, partition.first_offset))
    };
    let mut body = BytesMut::new();
    body.put_u64(end);
    body.put_u64(first);
    for record in records {
        body.put_u32((1 + record.key.len() + record.value.len()) as u32);
        body.put_u8(record.key.len() as u8);
        body.put_slice(&record.key);
        body.put_slice(&record.value);
    }
    Response::new(full_body(body.freeze()))
}

/// Counts a call for the newest records of a topic. Returns true for every second one.
fn is_second_call(shared: &Shared, query: &Query) -> bool {
    let mut state = lock(&shared.state);
    let topic = query.text(queries::TOPIC).to_owned();
    let calls = state.newest_calls.entry(topic).or_default();
    *calls += 1;
    calls.is_multiple_of(2)
}

/// Maximum number of records in a page of newest records, and size from which on a page takes no further record.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

fn newest(shared: &Shared, query: &Query) -> Response<Body> {
    let after = query.text(queries::AFTER).as_bytes().to_vec();
    let state = lock(&shared.state);
    let Some(partition) = state.partitions.get(&topic_partition(query)) else {
        return json_answer(&NewestDocument {
            requests: Vec::new(),
            more: false,
            end: 0,
        });
    };
    let mut after_key = partition
        .newest
        .values()
        .filter(|record| after.is_empty() || record.key > after)
        .peekable();
    let mut bytes = 0;
    let page = std::iter::from_fn(|| {
        let next = after_key.next_if(|_| bytes < PAGE_BYTES)?;
        bytes += next.value.len();
        Some(next)
    });
    let page: Vec<&StoredRecord> = page.take(PAGE_RECORDS).collect();
    let more = after_key.peek().is_some();
    let requests = page.into_iter().map(|record| RecordDocument {
        key: String::from_utf8_lossy(&record.key).into_owned(),
        value: STANDARD.encode(&record.value),
        offset: record.offset,
    });
    json_answer(&NewestDocument {
        requests: requests.collect(),
        more,
        end: partition.end,
    })
}

fn join(shared: &Shared, body: &[u8]) -> Response<Body> {
    let Ok(document) = serde_json::from_slice::<JoinDocument>(body) else {
        return status_answer(StatusCode::BAD_REQUEST);
    };
    let mut state = lock(&shared.state);
    let group = state.groups.entry(document.group).or_default();
    let ttl = Duration::from_millis(document.ttl_ms);
    group.join(&document.member, ttl, shared.partitions);
    let owned = group
        .owners
        .iter()
        .filter(|(_, owner)| **owner == document.member);
    let parts = owned.map(|(partition, _)| (topics::JOBS.to_owned(), *partition, 0));
    json_answer(&JoinedDocument {
        generation: group.generation,
        parts: parts.collect(),
    })
}

fn owners(shared: &Shared, query: &Query) -> Response<Body> {
    let state = lock(&shared.state);
    let group = state.groups.get(query.text(queries::GROUP));
    let owners = group.into_iter().flat_map(|group| &group.owners);
    let parts =
        owners.map(|(partition, member)| (topics::JOBS.to_owned(), *partition, member.clone(), 0));
    json_answer(&OwnersDocument {
        parts: parts.collect(),
    })
}

fn leave(shared: &Shared, body: &[u8]) -> Response<Body> {
    let Ok(document) = serde_json::from_slice::<LeaveDocument>(body) else {
        return status_answer(StatusCode::BAD_REQUEST);
    };
    let mut state = lock(&shared.state);
    if let Some(group) = state.groups.get_mut(&document.group) {
        group.leave(&document.member, shared.partitions);
    }
    status_answer(StatusCode::OK)
}
