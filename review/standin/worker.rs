//! A worker: keeps its entry in the store, runs requests, and counts its runs.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Request, listen, serve};
use crate::record::Record;
use crate::store::Store;

/// How often a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Events of a stream, and the pause before each.
pub const EVENTS: u64 = 20;
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Time for which a request that is no stream runs.
const WORK: Duration = Duration::from_millis(15);

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub worker: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Which of its answers a faulty worker follows by a surplus one.
#[derive(Clone, Copy)]
pub enum Surplus {
    Never,
    /// After each answer of this number, and its multiples.
    Every(u64),
}

pub struct Worker {
    pub id: String,
    pub answers: Arc<AtomicU64>,
    pub surplus_answers: Arc<AtomicU64>,
}

/// Writes the entry of a worker into the directory, with the state that is returned. In the state `gone`, the entry goes.
pub fn keep_listed(
    store: &Arc<Store>,
    id: &str,
    address: SocketAddr,
    service: &str,
) -> Arc<Mutex<&'static str>> {
    let state = Arc::new(Mutex::new("ready"));
    let told = Arc::clone(&state);
    let (store, id, service) = (Arc::clone(store), id.to_owned(), service.to_owned());
    std::thread::spawn(move || {
        for call in 1_u64.. {
            let state = *told.lock().unwrap();
            if state == "gone" {
                return store.write("keyed.servers", &id, "");
            }
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"1\",\
                 \"slots\":16,\"state\":\"{state}\",\"coldLeftMs\":0,\"callSeq\":{call}}}"
            );
            store.write("keyed.servers", &id, &entry);
            let listed = state;
            let until = Instant::now() + HEARTBEAT;
            while Instant::now() < until && *told.lock().unwrap() == listed {
                std::thread::sleep(Duration::from_millis(10));
            }
        }
    });
    state
}

impl Worker {
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        surplus: Surplus,
        runs: &Runs,
        record: &Arc<Record>,
    ) -> Result<Self, String> {
        let (listener, address) = listen()?;
        let worker = Self {
            id: id.to_owned(),
            answers: Arc::default(),
            surplus_answers: Arc::default(),
        };
        let serving = Serving {
            id: id.to_owned(),
            surplus,
            answers: Arc::clone(&worker.answers),
            surplus_answers: Arc::clone(&worker.surplus_answers),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        };
        serve(listener, move |connection| serving.serve(connection));
        drop(keep_listed(store, id, address, service));
        Ok(worker)
    }
}

#[derive(Clone)]
struct Serving {
    id: String,
    surplus: Surplus,
    answers: Arc<AtomicU64>,
    surplus_answers: Arc<AtomicU64>,
    runs: Runs,
    record: Arc<Record>,
}

impl Serving {
    fn serve(&self, mut connection: Connection) {
        // The request to which a surplus answer follows, late, in the place where the next answer is due.
        let mut answered_twice: Option<String> = None;
        while let Some(request) = connection.request() {
            let id = request
                .header("swiftshunt-request-id")
                .unwrap_or("")
                .to_owned();
            if let Some(earlier) = answered_twice.take() {
                self.surplus_answers.fetch_add(1, Ordering::SeqCst);
                self.record.note(&format!(
                    "worker {} has received request {id}, and first sends a surplus answer to request {earlier}: 503, \
                     Swiftshunt-Not-Executed",
                    self.id
                ));
                let headers = [
                    ("Swiftshunt-Request-Id", earlier.as_str()),
                    ("Swiftshunt-Not-Executed", "1"),
                ];
                connection.answer(503, &headers, b"");
            }
            if !self.is_expected(&request) {
                let headers = [
                    ("Swiftshunt-Request-Id", id.as_str()),
                    ("Swiftshunt-Not-Executed", "1"),
                ];
                if !connection.answer(421, &headers, b"") {
                    return;
                }
                continue;
            }
            if !self.run(&request, &id, &mut connection) {
                return;
            }
            let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
            if let Surplus::Every(number) = self.surplus
                && answers.is_multiple_of(number)
            {
                answered_twice = Some(id);
            }
        }
    }

    fn is_expected(&self, request: &Request) -> bool {
        let expected = request.header("swiftshunt-expect-instance");
        expected.is_none_or(|expected| expected == self.id)
    }

    fn run(&self, request: &Request, id: &str, connection: &mut Connection) -> bool {
        let last_event = request
            .header("last-event-id")
            .and_then(|last| last.parse().ok());
        self.record.note(&format!(
            "worker {} runs {id} (last event {last_event:?})",
            self.id
        ));
        let run = Run {
            id: id.to_owned(),
            worker: self.id.clone(),
        };
        self.runs.lock().unwrap().push(run);
        if request.path().starts_with("/batch/") {
            return stream(id, last_event, connection);
        }
        std::thread::sleep(WORK);
        let headers = [
            ("Swiftshunt-Request-Id", id),
            ("Swiftshunt-Response-Signature", "s"),
            ("Swiftshunt-Weight-Versions", "1"),
        ];
        connection.answer(200, &headers, format!("the answer to {id}").as_bytes())
    }
}

/// Returns the text of an item's whole output.
pub fn whole_text(id: &str) -> String {
    let events: Vec<String> = (0..EVENTS).map(|event| format!("{id}-{event}")).collect();
    events.join("\n")
}

fn stream(id: &str, last_event: Option<u64>, connection: &mut Connection) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Swiftshunt-Request-Id: {id}\r\nSwiftshunt-Response-Signature: s\r\nSwiftshunt-Weight-Versions: 1\r\n\r\n"
    );
    if !connection.send(head.as_bytes()) {
        return false;
    }
    for event in last_event.map_or(0, |last| last + 1)..EVENTS {
        std::thread::sleep(EVENT_PAUSE);
        let text = format!("id: {event}\ndata: {id}-{event}\n\n");
        if !connection.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()) {
            return false;
        }
    }
    connection.send(b"0\r\n\r\n")
}

/// The body of each answer of [`run_process`] that is no stream.
pub fn long_body() -> String {
    (0..200)
        .map(|line| format!("line {line:04} of 200\n"))
        .collect()
}

/// Events of a stream of [`run_process`], and the pause before each.
pub const LONG_EVENTS: u64 = 60;
const LONG_EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Returns the text of an item's whole output at [`run_process`].
pub fn long_text(id: &str) -> String {
    let events: Vec<String> = (0..LONG_EVENTS)
        .map(|event| format!("{id}-{event}"))
        .collect();
    events.join("\n")
}

/// Runs a worker as a process of its own, which ends when its standard input does. `unframed_streams` of its streams, the
/// first ones, have neither a length nor chunks and end with their connection. So has the answer to a request whose body
/// says "unframed": half of it is sent, and the rest 1.5 s later. Prints a line for each step.
pub fn run_process(address: &str, worker: &str, unframed_streams: &str) -> Result<bool, String> {
    let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
    let unframed_left = unframed_streams
        .parse::<i64>()
        .map_err(|error| error.to_string())?;
    let unframed_left = Arc::new(AtomicI64::new(unframed_left));
    let worker = worker.to_owned();
    serve(listener, move |mut connection| {
        while let Some(request) = connection.request() {
            let id = request
                .header("swiftshunt-request-id")
                .unwrap_or("")
                .to_owned();
            let expected = request.header("swiftshunt-expect-instance");
            if expected.is_some_and(|expected| expected != worker) {
                let headers = [
                    ("Swiftshunt-Request-Id", id.as_str()),
                    ("Swiftshunt-Not-Executed", "1"),
                ];
                connection.answer(421, &headers, b"");
                continue;
            }
            if request.path().starts_with("/batch/") {
                let last_event = request
                    .header("last-event-id")
                    .and_then(|last| last.parse().ok());
                let is_unframed = unframed_left.fetch_sub(1, Ordering::SeqCst) > 0;
                let framing = if is_unframed {
                    "without a length"
                } else {
                    "in chunks"
                };
                println!("runs {id} behind event {last_event:?}, {framing}");
                let is_sent = long_stream(&id, last_event, is_unframed, &mut connection);
                println!("{} {id}", if is_sent { "whole" } else { "broken off" });
                if is_unframed || !is_sent {
                    return;
                }
                continue;
            }
            println!("runs {id}");
            let body = long_body();
            let headers = [
                ("Swiftshunt-Request-Id", id.as_str()),
                ("Swiftshunt-Response-Signature", "s"),
            ];
            if !String::from_utf8_lossy(&request.body).contains("unframed") {
                std::thread::sleep(WORK);
                if !connection.answer(200, &headers, body.as_bytes()) {
                    return;
                }
                continue;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nSwiftshunt-Request-Id: {id}\r\n\
                 Swiftshunt-Response-Signature: s\r\n\r\n"
            );
            let (first, rest) = body.split_at(body.len() / 2);
            connection.send(format!("{head}{first}").as_bytes());
            println!("half {id}");
            std::thread::sleep(Duration::from_millis(1500));
            connection.send(rest.as_bytes());
            println!("whole {id}");
            return;
        }
    });
    drop(std::io::copy(&mut std::io::stdin(), &mut std::io::sink()));
    std::process::exit(0);
}

/// Sends a stream, from the event behind `last_event` on. Returns whether all of it was sent.
fn long_stream(
    id: &str,
    last_event: Option<u64>,
    is_unframed: bool,
    connection: &mut Connection,
) -> bool {
    let framing = if is_unframed {
        "Connection: close"
    } else {
        "Transfer-Encoding: chunked"
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{framing}\r\nContent-Type: text/event-stream\r\nSwiftshunt-Request-Id: {id}\r\n\
         Swiftshunt-Response-Signature: s\r\nSwiftshunt-Weight-Versions: 1\r\n\r\n"
    );
    let mut is_sent = connection.send(head.as_bytes());
    for event in last_event.map_or(0, |last| last + 1)..LONG_EVENTS {
        std::thread::sleep(LONG_EVENT_PAUSE);
        let text = format!("id: {event}\ndata: {id}-{event}\n\n");
        let bytes = if is_unframed {
            text
        } else {
            format!("{:x}\r\n{text}\r\n", text.len())
        };
        is_sent = is_sent && connection.send(bytes.as_bytes());
    }
    is_sent && (is_unframed || connection.send(b"0\r\n\r\n"))
}
