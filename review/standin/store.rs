//! The platform's store: keyed topics, listings, long reads and groups, as PROTOCOL.md describes them. It acknowledges
//! nothing that it has not recorded and has no faults.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Request, base64, listen, serve};

pub const PARTITIONS: u32 = 12;

#[derive(Clone)]
struct Entry {
    offset: u64,
    key: Vec<u8>,
    value: Vec<u8>,
}

#[derive(Default)]
struct Partition {
    entries: Vec<Entry>,
    newest: BTreeMap<Vec<u8>, Entry>,
}

/// Members share the partitions evenly. A partition changes hands when its holder has joined with the generation that
/// assigns it to another member, has left, or was silent for its `ttl_ms`.
#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Instant>,
    targets: BTreeMap<u32, String>,
    holders: BTreeMap<u32, String>,
}

impl Group {
    fn update(&mut self, has_changed: bool) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        if has_changed || before != self.members.len() {
            self.generation += 1;
            let names: Vec<String> = self.members.keys().cloned().collect();
            self.targets.clear();
            for partition in 0..PARTITIONS {
                if !names.is_empty() {
                    let name = &names[partition as usize % names.len()];
                    self.targets.insert(partition, name.clone());
                }
            }
        }
        let members = &self.members;
        self.holders
            .retain(|_, holder| members.contains_key(holder));
        for (partition, target) in &self.targets {
            self.holders
                .entry(*partition)
                .or_insert_with(|| target.clone());
        }
    }

    fn join(&mut self, member: &str, ttl: Duration, generation: u64) -> Vec<u32> {
        let known = self.members.insert(member.to_owned(), Instant::now() + ttl);
        self.update(known.is_none());
        if generation >= self.generation {
            let targets = &self.targets;
            for (partition, holder) in &mut self.holders {
                if holder == member {
                    holder.clone_from(&targets[partition]);
                }
            }
        }
        let held = self
            .holders
            .iter()
            .filter(|(partition, holder)| *holder == member && self.targets[*partition] == *member);
        held.map(|(partition, _)| *partition).collect()
    }
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u32), Partition>,
    groups: HashMap<String, Group>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn text_field<'b>(body: &'b str, name: &str) -> &'b str {
    let marker = format!("\"{name}\":\"");
    let rest = body.split_once(&marker).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or("")
}

fn number_field(body: &str, name: &str) -> u64 {
    let marker = format!("\"{name}\":");
    let rest = body.split_once(&marker).map_or("", |(_, rest)| rest);
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn decode(mut body: &[u8]) -> Vec<(Vec<u8>, Vec<u8>)> {
    let mut records = Vec::new();
    while body.len() > 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let record = &body[4..4 + length];
        let key_end = 1 + record[0] as usize;
        records.push((record[1..key_end].to_vec(), record[key_end..].to_vec()));
        body = &body[4 + length..];
    }
    records
}

impl Store {
    pub fn start() -> Result<(Arc<Self>, SocketAddr), String> {
        let store = Arc::new(Self::default());
        let (listener, address) = listen()?;
        let served = Arc::clone(&store);
        serve(listener, move |mut connection| {
            while let Some(request) = connection.request() {
                if !served.handle(&request, &mut connection) {
                    return;
                }
            }
        });
        Ok((store, address))
    }

    /// Writes a record as the operator or a worker does.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        self.append(
            topic,
            0,
            vec![(key.as_bytes().to_vec(), value.as_bytes().to_vec())],
        );
    }

    fn append(&self, topic: &str, part: u32, records: Vec<(Vec<u8>, Vec<u8>)>) -> (u64, u64) {
        let mut state = self.state.lock().unwrap();
        let partition = state
            .partitions
            .entry((topic.to_owned(), part))
            .or_default();
        let first = partition.entries.len() as u64;
        for (key, value) in records {
            let offset = partition.entries.len() as u64;
            let entry = Entry {
                offset,
                key: key.clone(),
                value,
            };
            if entry.value.is_empty() {
                partition.newest.remove(&key);
            } else {
                partition.newest.insert(key, entry.clone());
            }
            partition.entries.push(entry);
        }
        let end = partition.entries.len() as u64;
        drop(state);
        self.changed.notify_all();
        (first, end)
    }

    fn handle(&self, request: &Request, connection: &mut Connection) -> bool {
        let topic = request.query("topic").unwrap_or("").to_owned();
        let part = request
            .query("part")
            .and_then(|part| part.parse().ok())
            .unwrap_or(0);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let json = [("Content-Type", "application/json")];
        match request.path() {
            "/v1/log-append" => {
                let (offset, end) = self.append(&topic, part, decode(&request.body));
                let text = format!("{{\"offset\":{offset},\"end\":{end}}}");
                connection.answer(200, &json, text.as_bytes())
            }
            "/v1/log-read" => {
                let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok());
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let body = self.read(&topic, part, number("from").unwrap_or(0), wait);
                connection.answer(200, &[], &body)
            }
            "/v1/log-newest" => {
                let text = self.newest(&topic, part, request.query("afterRev").unwrap_or(""));
                connection.answer(200, &json, text.as_bytes())
            }
            "/v1/log-join" => {
                let mut state = self.state.lock().unwrap();
                let group = state
                    .groups
                    .entry(text_field(&body, "group").to_owned())
                    .or_default();
                let ttl = Duration::from_millis(number_field(&body, "ttl_ms"));
                let generation = number_field(&body, "generation");
                let held = group.join(text_field(&body, "member"), ttl, generation);
                let rows = held.iter().map(|part| format!("[\"keyed.jobs\",{part},0]"));
                let rows: Vec<String> = rows.collect();
                let text = format!(
                    "{{\"generation\":{},\"parts\":[{}]}}",
                    group.generation,
                    rows.join(",")
                );
                drop(state);
                connection.answer(200, &json, text.as_bytes())
            }
            "/v1/log-leave" => {
                let mut state = self.state.lock().unwrap();
                let group = state
                    .groups
                    .entry(text_field(&body, "group").to_owned())
                    .or_default();
                let known = group.members.remove(text_field(&body, "member"));
                group.update(known.is_some());
                drop(state);
                connection.answer(200, &json, b"{}")
            }
            "/v1/log-owners" => {
                let rows = self.owners(request.query("group").unwrap_or(""));
                let rows = rows
                    .iter()
                    .map(|(part, member)| format!("[\"keyed.jobs\",{part},\"{member}\",0]"));
                let rows: Vec<String> = rows.collect();
                let text = format!("{{\"parts\":[{}]}}", rows.join(","));
                connection.answer(200, &json, text.as_bytes())
            }
            _ => connection.answer(404, &[], b""),
        }
    }

    /// Returns the member of a group that holds each partition.
    pub fn owners(&self, group: &str) -> BTreeMap<u32, String> {
        let state = self.state.lock().unwrap();
        state
            .groups
            .get(group)
            .map(|group| group.holders.clone())
            .unwrap_or_default()
    }

    fn read(&self, topic: &str, part: u32, from: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let partition = state.partitions.get(&(topic.to_owned(), part));
            let entries = partition.map_or(&[][..], |partition| &partition.entries);
            let left = until.saturating_duration_since(Instant::now());
            if entries.len() as u64 > from || left.is_zero() {
                let mut body = (entries.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for entry in entries.iter().filter(|entry| entry.offset >= from) {
                    let length = 1 + entry.key.len() + entry.value.len();
                    body.extend((length as u32).to_be_bytes());
                    body.push(entry.key.len() as u8);
                    body.extend(&entry.key);
                    body.extend(&entry.value);
                }
                return body;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, part: u32, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let partition = state.partitions.get(&(topic.to_owned(), part));
        let end = partition.map_or(0, |partition| partition.entries.len());
        let entries = partition
            .map(|partition| partition.newest.values())
            .into_iter()
            .flatten();
        let mut page: Vec<&Entry> = entries
            .filter(|entry| entry.key.as_slice() > after.as_bytes())
            .collect();
        let more = page.len() > 500;
        page.truncate(500);
        let rows = page.iter().map(|entry| {
            let (key, value) = (String::from_utf8_lossy(&entry.key), base64(&entry.value));
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{}}}",
                entry.offset
            )
        });
        let rows: Vec<String> = rows.collect();
        format!(
            "{{\"requests\":[{}],\"more\":{more},\"end\":{end}}}",
            rows.join(",")
        )
    }
}

/// A proxy before the store for one gateway. Once armed, the connection that carries the next read of the operator's
/// topic goes silent behind that request: it stays open, and no answer comes. All other connections work.
pub struct Proxy {
    pub address: SocketAddr,
    armed: Arc<AtomicBool>,
    pub silent: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(store: SocketAddr) -> Result<Self, String> {
        let (listener, address) = listen()?;
        let armed = Arc::new(AtomicBool::new(false));
        let silent = Arc::new(AtomicBool::new(false));
        let flags = (Arc::clone(&armed), Arc::clone(&silent));
        std::thread::spawn(move || accept(&listener, store, &flags.0, &flags.1));
        Ok(Self {
            address,
            armed,
            silent,
        })
    }

    pub fn arm(&self) {
        self.armed.store(true, Ordering::SeqCst);
    }
}

fn accept(
    listener: &TcpListener,
    store: SocketAddr,
    armed: &Arc<AtomicBool>,
    silent: &Arc<AtomicBool>,
) {
    for client in listener.incoming().flatten() {
        let Ok(server) = TcpStream::connect(store) else {
            continue;
        };
        let (armed, silent) = (Arc::clone(armed), Arc::clone(silent));
        let is_mute = Arc::new(AtomicBool::new(false));
        let (Ok(from_server), Ok(to_client)) = (server.try_clone(), client.try_clone()) else {
            continue;
        };
        let answers_mute = Arc::clone(&is_mute);
        std::thread::spawn(move || {
            pass(from_server, to_client, |_| {
                answers_mute.load(Ordering::SeqCst)
            })
        });
        std::thread::spawn(move || {
            pass(client, server, |bytes| {
                let is_read = bytes.starts_with(b"GET /v1/log-read?topic=keyed.op&");
                if is_read && armed.swap(false, Ordering::SeqCst) {
                    is_mute.store(true, Ordering::SeqCst);
                    silent.store(true, Ordering::SeqCst);
                }
                is_mute.load(Ordering::SeqCst)
            });
        });
    }
}

/// Passes bytes on until the sender closes; those that `is_dropped` selects are dropped.
fn pass(mut from: TcpStream, mut to: TcpStream, is_dropped: impl Fn(&[u8]) -> bool) {
    use std::io::{Read, Write};
    drop((from.set_nodelay(true), to.set_nodelay(true)));
    let mut buffer = vec![0; 1 << 16];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        if !is_dropped(&buffer[..read]) && to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    drop(to.shutdown(std::net::Shutdown::Both));
}
