//! The platform's store in the form of a log, after the section "The platform's metadata store" of PROTOCOL.md.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, respond, serve};
use crate::json::{Json, base64, parse, quote};

#[derive(Default)]
struct Partition {
    /// Key, value and offset of the records that are kept.
    records: Vec<(Vec<u8>, Vec<u8>, u64)>,
    end: u64,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

#[derive(Default)]
struct Group {
    /// Last join and time to live of each member.
    members: BTreeMap<String, (Instant, Duration)>,
    generation: u64,
    owners: BTreeMap<u32, String>,
    topic: String,
}

#[derive(Default)]
struct State {
    partitions: BTreeMap<(String, u32), Partition>,
    groups: BTreeMap<String, Group>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    is_silent: AtomicBool,
    parts: u32,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Partition {
    fn append(&mut self, records: Vec<(Vec<u8>, Vec<u8>)>) -> u64 {
        let first = self.end;
        for (key, value) in records {
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key.clone(), (value.clone(), self.end));
            }
            self.records.push((key, value, self.end));
            self.end += 1;
        }
        first
    }
}

impl Group {
    /// Removes members that were silent too long, and deals the partitions evenly if the members have changed.
    fn deal(&mut self, parts: u32) {
        let now = Instant::now();
        self.members.retain(|_, (at, ttl)| now < *at + *ttl);
        let names: Vec<String> = self.members.keys().cloned().collect();
        let mut owners = BTreeMap::new();
        for part in 0..parts {
            if !names.is_empty() {
                owners.insert(part, names[part as usize % names.len()].clone());
            }
        }
        if owners != self.owners {
            self.owners = owners;
            self.generation += 1;
        }
    }
}

impl Store {
    pub fn start(parts: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            is_silent: AtomicBool::new(false),
            parts,
        });
        let store = Self { address, shared };
        let serving = store.clone();
        serve(listener, move |request, writer| {
            serving.answer(request, writer)
        });
        store
    }

    /// Begins or ends an outage in which calls get no answer. Workers' entries do not lapse in it.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.is_silent.store(is_silent, Ordering::Relaxed);
    }

    fn is_silent(&self) -> bool {
        self.shared.is_silent.load(Ordering::Relaxed)
    }

    /// Writes a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(
            topic,
            0,
            vec![(key.as_bytes().to_vec(), value.as_bytes().to_vec())],
        );
    }

    /// Returns the size of the newest records of all keys, in MB.
    pub fn megabytes(&self) -> usize {
        let state = self.shared.state.lock().unwrap();
        let newest = state
            .partitions
            .values()
            .flat_map(|partition| partition.newest.values());
        newest.map(|(value, _)| value.len()).sum::<usize>() / 1_000_000
    }

    fn append(&self, topic: &str, part: u32, records: Vec<(Vec<u8>, Vec<u8>)>) -> (u64, u64) {
        let mut state = self.shared.state.lock().unwrap();
        let partition = state
            .partitions
            .entry((topic.to_owned(), part))
            .or_default();
        let first = partition.append(records);
        let end = partition.end;
        self.shared.changed.notify_all();
        (first, end)
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> bool {
        // An answer takes some milliseconds.
        thread::sleep(Duration::from_millis(4));
        if self.is_silent() {
            return hang();
        }
        let topic = request.query("topic");
        let part: u32 = request.query("part").parse().unwrap_or(0);
        match (request.method(), request.path()) {
            ("POST", "/v1/log-append") => self.answer_append(request, writer, &topic, part),
            ("GET", "/v1/log-read") => self.answer_read(request, writer, (topic, part)),
            ("GET", "/v1/log-newest") => self.answer_newest(request, writer, (topic, part)),
            ("POST", "/v1/log-join") => self.answer_join(request, writer),
            ("POST", "/v1/log-leave") => self.answer_leave(request, writer),
            ("GET", "/v1/log-owners") => self.answer_owners(request, writer),
            ("POST", "/v1/log-commit" | "/v1/log-trim") => respond(writer, "200 OK", "", b"{}"),
            _ => respond(writer, "404 Not Found", "", b""),
        }
    }

    fn answer_append(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        topic: &str,
        part: u32,
    ) -> bool {
        let Some(records) = decode(&request.body) else {
            return respond(writer, "400 Bad Request", "", b"");
        };
        let adds = records.iter().any(|(_, value)| !value.is_empty());
        if adds && self.megabytes() >= KEPT_MB {
            return respond(writer, "507 Insufficient Storage", "", b"");
        }
        let (offset, end) = self.append(topic, part, records);
        let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
        respond(writer, "200 OK", JSON, body.as_bytes())
    }

    fn answer_read(&self, request: &Message, writer: &mut TcpStream, of: (String, u32)) -> bool {
        let from: u64 = request.query("from").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let kilobytes: usize = request.query("max_kb").parse().unwrap_or(1_024);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.shared.state.lock().unwrap();
        loop {
            let end = state
                .partitions
                .get(&of)
                .map_or(0, |partition| partition.end);
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                break;
            }
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
        }
        let mut body = Vec::new();
        let partition = state.partitions.get(&of);
        body.extend(partition.map_or(0, |partition| partition.end).to_be_bytes());
        body.extend(0u64.to_be_bytes());
        for (key, value, _) in partition
            .iter()
            .flat_map(|it| it.records.iter())
            .filter(|record| record.2 >= from)
        {
            if body.len() > kilobytes * 1_024 {
                break;
            }
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key);
            body.extend(value);
        }
        drop(state);
        if self.is_silent() {
            return hang();
        }
        respond(writer, "200 OK", "", &body)
    }

    fn answer_newest(&self, request: &Message, writer: &mut TcpStream, of: (String, u32)) -> bool {
        let after = request.query("afterRev").into_bytes();
        let state = self.shared.state.lock().unwrap();
        let empty = Partition::default();
        let partition = state.partitions.get(&of).unwrap_or(&empty);
        let mut rows = Vec::new();
        let mut size = 0;
        let mut more = false;
        for (key, (value, offset)) in partition
            .newest
            .iter()
            .filter(|(key, _)| after.is_empty() || **key > after)
        {
            if rows.len() >= 500 || size > 1_000_000 {
                more = true;
                break;
            }
            size += value.len();
            let key = quote(&String::from_utf8_lossy(key));
            rows.push(format!(
                "{{\"key\":{key},\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            ));
        }
        let body = format!(
            "{{\"requests\":[{}],\"more\":{more},\"end\":{}}}",
            rows.join(","),
            partition.end
        );
        drop(state);
        respond(writer, "200 OK", JSON, body.as_bytes())
    }

    fn answer_join(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let Some(call) = parse(&request.body) else {
            return respond(writer, "400 Bad Request", "", b"");
        };
        let text = |name: &str| call.get(name).map_or("", Json::text).to_owned();
        let ttl = Duration::from_millis(call.get("ttl_ms").map_or(0.0, Json::number) as u64);
        let topic = call
            .get("topics")
            .and_then(|topics| topics.list().first().cloned());
        let topic = topic.map_or(String::new(), |topic| topic.text().to_owned());
        let member = text("member");
        let mut state = self.shared.state.lock().unwrap();
        let group = state.groups.entry(text("group")).or_default();
        group.topic.clone_from(&topic);
        group.members.insert(member.clone(), (Instant::now(), ttl));
        group.deal(self.shared.parts);
        let rows: Vec<String> = group
            .owners
            .iter()
            .filter(|(_, owner)| **owner == member)
            .map(|(part, _)| format!("[{},{part},0]", quote(&topic)))
            .collect();
        let body = format!(
            "{{\"generation\":{},\"parts\":[{}]}}",
            group.generation,
            rows.join(",")
        );
        drop(state);
        respond(writer, "200 OK", JSON, body.as_bytes())
    }

    fn answer_leave(&self, request: &Message, writer: &mut TcpStream) -> bool {
        if let Some(call) = parse(&request.body) {
            let text = |name: &str| call.get(name).map_or("", Json::text).to_owned();
            let mut state = self.shared.state.lock().unwrap();
            if let Some(group) = state.groups.get_mut(&text("group")) {
                group.members.remove(&text("member"));
                group.deal(self.shared.parts);
            }
        }
        respond(writer, "200 OK", JSON, b"{}")
    }

    fn answer_owners(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let mut state = self.shared.state.lock().unwrap();
        let mut rows = Vec::new();
        if let Some(group) = state.groups.get_mut(&request.query("group")) {
            group.deal(self.shared.parts);
            for (part, owner) in &group.owners {
                rows.push(format!(
                    "[{},{part},{},0]",
                    quote(&group.topic),
                    quote(owner)
                ));
            }
        }
        drop(state);
        respond(
            writer,
            "200 OK",
            JSON,
            format!("{{\"parts\":[{}]}}", rows.join(",")).as_bytes(),
        )
    }
}

/// Says nothing more on a connection, and leaves it open.
fn hang() -> bool {
    thread::sleep(Duration::from_secs(3_600));
    false
}

/// What the store keeps in all, in MB.
const KEPT_MB: usize = 400;

const JSON: &str = "Content-Type: application/json\r\n";

/// Decodes records of a keyed topic.
fn decode(mut body: &[u8]) -> Option<Vec<(Vec<u8>, Vec<u8>)>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        let (key_length, record) = record.split_first()?;
        let (key, value) = record.split_at_checked(*key_length as usize)?;
        records.push((key.to_vec(), value.to_vec()));
        body = rest;
    }
    Some(records)
}
