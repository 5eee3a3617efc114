//! A stand-in for the platform's store: a log with keyed topics and groups, and its faults.
//!
//! Each door is an address with faults of its own, so that some gateways can be refused while
//! others are served.

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
use tokio_util::sync::CancellationToken;

pub use self::control::{CONTROL_DEAL_ANEW, CONTROL_DROP_HISTORY, CONTROL_FAULTS};
use self::wire::{Query, decode, json, place, status};
use super::groups::Group;
use super::server::{Body, BrokenOff, any_port, serve, whole};
use crate::stand_in::lock;

/// How a store that is down behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// It does not answer.
    Silent,
    /// It refuses.
    Busy,
    /// It closes connections.
    Reset,
}

/// Faults of one door.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// The store is down.
    pub down: Option<Down>,
    /// Each answer takes this much longer.
    pub delay: Duration,
    /// Reads that come or wait are never answered; everything else is.
    pub lost_reads: bool,
    /// Share of appends that are done and not answered.
    pub lost_answers: f64,
    /// A connection that loses an answer stays open and says nothing more.
    pub lost_in_silence: bool,
    /// Appends whose answers are lost are done this much later.
    pub done_late: Duration,
    /// Every second call for the newest records of a topic is refused.
    pub half_of_listings: bool,
    /// Share of appends that are acknowledged and not done: no store does that. Shows that a test
    /// would notice.
    pub forgotten: f64,
}

/// A record as it lies in the log.
#[derive(Clone, Debug)]
struct Stored {
    offset: u64,
    key: Vec<u8>,
    value: Bytes,
}

#[derive(Default)]
struct Partition {
    records: Vec<Stored>,
    first_kept: u64,
    end: u64,
    newest: BTreeMap<Vec<u8>, Stored>,
}

impl Partition {
    fn append(&mut self, records: Vec<(Vec<u8>, Bytes)>) -> u64 {
        let first = self.end;
        for (key, value) in records {
            let stored = Stored {
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
    calls: u64,
    /// Calls for the newest records, by topic.
    listings: HashMap<String, u64>,
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    partitions: u32,
    random: Mutex<StdRng>,
}

/// A door of a store.
#[derive(Clone)]
pub struct Door {
    /// Where it listens.
    pub address: SocketAddr,
    faults: Arc<Mutex<StoreFaults>>,
    /// Reads that came, by topic.
    reads: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Door {
    /// Sets the faults.
    pub fn set(&self, faults: StoreFaults) {
        *lock(&self.faults) = faults;
    }

    /// Reads of a topic's tail that came so far.
    pub fn reads(&self, topic: &str) -> u64 {
        lock(&self.reads).get(topic).copied().unwrap_or_default()
    }
}

/// The stand-in.
pub struct Store {
    shared: Arc<Shared>,
    stop: CancellationToken,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Store {
    /// A store whose topics have `partitions` partitions; `seed` decides which answers are lost.
    pub fn new(partitions: u32, seed: u64) -> Self {
        let shared = Shared {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            partitions,
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        };
        Self {
            shared: Arc::new(shared),
            stop: CancellationToken::new(),
        }
    }

    /// Opens a door.
    pub async fn open_door(&self) -> std::io::Result<Door> {
        let faults = Arc::new(Mutex::new(StoreFaults::default()));
        let of_door = Arc::clone(&faults);
        let reads = Arc::new(Mutex::new(BTreeMap::new()));
        let counted = Arc::clone(&reads);
        let shared = Arc::clone(&self.shared);
        let address = serve(
            any_port(),
            self.stop.clone(),
            move |request: Request<Incoming>| {
                let shared = Arc::clone(&shared);
                let faults = Arc::clone(&of_door);
                if request.uri().path() == paths::READ {
                    let topic = Query::of(&request).text(queries::TOPIC).to_owned();
                    *lock(&counted).entry(topic).or_default() += 1;
                }
                async move { answer(shared, faults, request).await }
            },
        )
        .await?;
        Ok(Door {
            address,
            faults,
            reads,
        })
    }

    /// Writes a record under a key of a single-partition topic; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: impl Into<Bytes>) {
        let records = vec![(key.as_bytes().to_vec(), value.into())];
        self.shared.append(topic, 0, records);
    }

    /// Drops the history of every partition: only the newest record of each key is left.
    pub fn drop_history(&self) {
        self.shared.drop_history();
    }

    /// Deals all partitions of all groups anew, each to the member behind its present one.
    pub fn deal_anew(&self) {
        self.shared.deal_anew();
    }

    /// Calls that came so far.
    pub fn calls(&self) -> u64 {
        lock(&self.shared.state).calls
    }

    /// Keys that are there, of all partitions of a topic.
    pub fn keys(&self, topic: &str) -> usize {
        let state = lock(&self.shared.state);
        let partitions = state.partitions.iter();
        let of_topic = partitions.filter(|((name, _), _)| name == topic);
        of_topic.map(|(_, partition)| partition.newest.len()).sum()
    }

    /// Bytes of the keys that are there and of their values, of all partitions of a topic.
    pub fn bytes(&self, topic: &str) -> usize {
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
            partition.first_kept = partition.end;
        }
        self.changed.send_modify(|version| *version += 1);
    }

    fn deal_anew(&self) {
        for group in lock(&self.state).groups.values_mut() {
            group.deal_anew();
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

async fn answer(
    shared: Arc<Shared>,
    faults: Arc<Mutex<StoreFaults>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, BrokenOff> {
    if request.uri().path().starts_with(control::BEGINNING) {
        return control::obey(&shared, &faults, request).await;
    }
    lock(&shared.state).calls += 1;
    let now = lock(&faults).clone();
    tokio::time::sleep(now.delay).await;
    match now.down {
        Some(Down::Silent) => return std::future::pending().await,
        Some(Down::Busy) => return Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
        Some(Down::Reset) => return Err(BrokenOff),
        None => {}
    }
    let query = Query::of(&request);
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body = body.map_err(|_| BrokenOff)?.to_bytes();
    match path.as_str() {
        paths::APPEND => append(&shared, &now, &query, body).await,
        paths::READ if now.lost_reads => std::future::pending().await,
        paths::READ => read(&shared, &faults, &query).await,
        paths::NEWEST if now.half_of_listings && is_second(&shared, &query) => {
            Ok(status(StatusCode::TOO_MANY_REQUESTS))
        }
        paths::NEWEST => Ok(newest(&shared, &query)),
        paths::JOIN => Ok(join(&shared, &body)),
        paths::OWNERS => Ok(owners(&shared, &query)),
        paths::LEAVE => Ok(leave(&shared, &body)),
        _ => Ok(status(StatusCode::NOT_FOUND)),
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
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let is_lost = lock(&shared.random).random_bool(faults.lost_answers);
    if is_lost {
        let shared = Arc::clone(shared);
        let later = faults.done_late;
        tokio::spawn(async move {
            tokio::time::sleep(later).await;
            shared.append(&topic, partition, records);
        });
        if faults.lost_in_silence {
            return std::future::pending().await;
        }
        return Err(BrokenOff);
    }
    if lock(&shared.random).random_bool(faults.forgotten) {
        let end = shared.end(&topic, partition);
        return Ok(json(&AppendedDocument { offset: end, end }));
    }
    let (offset, end) = shared.append(&topic, partition, records);
    Ok(json(&AppendedDocument { offset, end }))
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
        if let Some(answer) = read_now(shared, query) {
            return Ok(answer);
        }
        let is_over = tokio::time::timeout_at(deadline, changed.changed())
            .await
            .is_err();
        if lock(faults).down.is_some() {
            return Err(BrokenOff);
        }
        if lock(faults).lost_reads {
            return std::future::pending().await;
        }
        if is_over {
            return Ok(raw(shared, query, &[]));
        }
    }
}

/// An answer if there is one now: records, or that they are gone.
fn read_now(shared: &Shared, query: &Query) -> Option<Response<Body>> {
    let from = query.number(queries::FROM);
    let records = {
        let state = lock(&shared.state);
        let partition = state.partitions.get(&place(query))?;
        if from < partition.first_kept {
            return Some(status(StatusCode::GONE));
        }
        let records = partition.records.iter();
        let wanted = records.filter(|record| record.offset >= from);
        wanted.cloned().collect::<Vec<_>>()
    };
    if records.is_empty() && query.number(queries::WAIT) > 0 {
        return None;
    }
    Some(raw(shared, query, &records))
}

fn raw(shared: &Shared, query: &Query, records: &[Stored]) -> Response<Body> {
    let (end, first) = {
        let state = lock(&shared.state);
        let partition = state.partitions.get(&place(query));
        partition.map_or((0, 0), |partition| (partition.end, partition.first_kept))
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
    Response::new(whole(body.freeze()))
}

/// Whether a call for the newest records of a topic is the second of two.
fn is_second(shared: &Shared, query: &Query) -> bool {
    let mut state = lock(&shared.state);
    let topic = query.text(queries::TOPIC).to_owned();
    let calls = state.listings.entry(topic).or_default();
    *calls += 1;
    calls.is_multiple_of(2)
}

/// Records of a page.
const PAGE: usize = 500;

fn newest(shared: &Shared, query: &Query) -> Response<Body> {
    let after = query.text(queries::AFTER).as_bytes().to_vec();
    let state = lock(&shared.state);
    let Some(partition) = state.partitions.get(&place(query)) else {
        return json(&NewestDocument {
            requests: Vec::new(),
            more: false,
            end: 0,
        });
    };
    let behind = partition
        .newest
        .values()
        .filter(|record| after.is_empty() || record.key > after);
    let mut page: Vec<&Stored> = behind.take(PAGE + 1).collect();
    let more = page.len() > PAGE;
    page.truncate(PAGE);
    let requests = page.into_iter().map(|record| RecordDocument {
        key: String::from_utf8_lossy(&record.key).into_owned(),
        value: STANDARD.encode(&record.value),
        offset: record.offset,
    });
    json(&NewestDocument {
        requests: requests.collect(),
        more,
        end: partition.end,
    })
}

fn join(shared: &Shared, body: &[u8]) -> Response<Body> {
    let Ok(document) = serde_json::from_slice::<JoinDocument>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let mut state = lock(&shared.state);
    let group = state.groups.entry(document.group).or_default();
    let time = Duration::from_millis(document.ttl_ms);
    group.join(&document.member, time, shared.partitions);
    let owned = group
        .owners
        .iter()
        .filter(|(_, owner)| **owner == document.member);
    let parts = owned.map(|(partition, _)| (topics::JOBS.to_owned(), *partition, 0));
    json(&JoinedDocument {
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
    json(&OwnersDocument {
        parts: parts.collect(),
    })
}

fn leave(shared: &Shared, body: &[u8]) -> Response<Body> {
    let Ok(document) = serde_json::from_slice::<LeaveDocument>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let mut state = lock(&shared.state);
    if let Some(group) = state.groups.get_mut(&document.group) {
        group.leave(&document.member, shared.partitions);
    }
    status(StatusCode::OK)
}
