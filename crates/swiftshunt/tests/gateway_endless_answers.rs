//! Workers whose answers never end, in the head or in the body.
//!
//! Guards against answers that are read until the deadline of their request: they filled the memory of gateways, and their
//! requests were not sent to a sound worker in time.

mod gateway;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use gateway::raw_worker::{field, list_worker, read_head};
use gateway::{
    EVENTS, ExclusiveFleet, assert_all_events, assert_completed, listed_results, peak_memory,
    start, submit, wait_for_all_results,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::PlatformCaller;
use swiftshunt_lab::platform::fleet::{ASK, PlatformOptions, STREAM, STREAM_ONCE, eventually};
use swiftshunt_lab::platform::worker::event_data;
use swiftshunt_platform::words::headers;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Number of identifiers under which a worker is listed where several answer without end.
const ENDLESS_WORKERS: usize = 8;
/// Number of concurrent requests at each gateway.
const REQUESTS: usize = 6;
/// Number of items of a job: few enough that none is preempted by the requests beside them.
const ITEMS: usize = 8;
/// Most jobs until one of their items reaches the worker.
const MAX_JOBS: usize = 20;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(5);
/// Largest peak of a gateway's memory, in KiB: half of what the smallest machines have.
const MAX_MEMORY_KIB: u64 = 80 << 10;
/// Most bytes that a gateway takes of one answer, with those in the buffers of the two sockets.
const MAX_BYTES_TAKEN: u64 = 32 << 20;
/// Number of bytes that are written at once, and the pause before the next ones: 64 MiB a second.
const CHUNK_BYTES: usize = 64 << 10;
const CHUNK_PAUSE: Duration = Duration::from_millis(1);
/// Pause between two bytes of an answer that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);

/// What never ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Endless {
    HeadFields,
    HeadLine,
    InterimAnswers,
    PlainBody,
    PlainBodyWithoutFraming,
    ChunkExtension,
    Trailers,
    BytesBehindAnswer,
    Comments,
    EmptyLines,
    EventInChunks,
    EventWithoutFraming,
    /// Comments, byte by byte, behind one event, for items only. Other requests are answered.
    TricklingComments,
}

impl Endless {
    /// Returns what comes first, and what is repeated without end.
    fn bytes(self, id: &str) -> (String, Vec<u8>) {
        let vouched = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: signed\r\n",
            headers::REQUEST_ID,
            headers::SIGNATURE
        );
        let chunked = format!("{vouched}transfer-encoding: chunked\r\n");
        let events = "content-type: text/event-stream\r\n\r\n";
        let chunk = |data: Vec<u8>| {
            [
                format!("{:x}\r\n", data.len()).into_bytes(),
                data,
                b"\r\n".to_vec(),
            ]
            .concat()
        };
        let junk = vec![b'x'; CHUNK_BYTES];
        match self {
            Self::HeadFields => (vouched, b"x-field: value\r\n".repeat(CHUNK_BYTES / 16)),
            Self::HeadLine => (format!("{vouched}x-field: "), junk),
            Self::InterimAnswers => (
                String::new(),
                b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(CHUNK_BYTES / 28),
            ),
            Self::PlainBody => (format!("{chunked}\r\n"), chunk(junk)),
            Self::PlainBodyWithoutFraming => (format!("{vouched}\r\n"), junk),
            Self::ChunkExtension => (format!("{chunked}{events}5;"), junk),
            Self::Trailers => (
                format!("{chunked}\r\n2\r\nok\r\n0\r\n"),
                b"x-field: value\r\n".repeat(CHUNK_BYTES / 16),
            ),
            Self::BytesBehindAnswer => (format!("{vouched}content-length: 2\r\n\r\nok"), junk),
            Self::Comments => (
                format!("{chunked}{events}"),
                chunk(b": comment\n\n".repeat(CHUNK_BYTES / 11)),
            ),
            Self::EmptyLines => (
                format!("{chunked}{events}"),
                chunk(b"\n".repeat(CHUNK_BYTES)),
            ),
            Self::EventInChunks => {
                let begun = String::from_utf8_lossy(&chunk(b"id: 0\ndata: ".to_vec())).into_owned();
                (format!("{chunked}{events}{begun}"), chunk(junk))
            }
            Self::EventWithoutFraming => (format!("{vouched}{events}id: 0\ndata: "), junk),
            Self::TricklingComments => {
                let first = format!("id: 0\ndata: {}\n\n", event_data(id, 0));
                (format!("{vouched}{events}{first}"), b":".to_vec())
            }
        }
    }

    fn pause(self) -> Duration {
        match self {
            Self::TricklingComments => TRICKLE_PAUSE,
            _ => CHUNK_PAUSE,
        }
    }
}

/// A worker whose answers never end.
struct EndlessWorker {
    address: SocketAddr,
    /// Number of answers begun.
    answers: Arc<AtomicUsize>,
    /// Most bytes of one answer that were taken.
    most_taken: Arc<AtomicU64>,
}

impl EndlessWorker {
    async fn start(endless: Endless) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("no free port");
        let worker = Self {
            address: listener.local_addr().expect("no address"),
            answers: Arc::default(),
            most_taken: Arc::default(),
        };
        let (answers, most_taken) = (Arc::clone(&worker.answers), Arc::clone(&worker.most_taken));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (answers, most_taken) = (Arc::clone(&answers), Arc::clone(&most_taken));
                tokio::spawn(async move {
                    let taken = answer_without_end(stream, endless, &answers).await;
                    most_taken.fetch_max(taken, Ordering::Relaxed);
                });
            }
        });
        worker
    }
}

/// Answers the requests of a connection. Returns the number of bytes of an answer without end that were taken.
async fn answer_without_end(mut stream: TcpStream, endless: Endless, answers: &AtomicUsize) -> u64 {
    while let Some(head) = read_head(&mut stream).await {
        let id = field(&head, headers::REQUEST_ID).unwrap_or_default();
        let is_item = field(&head, headers::DEADLINE).is_none();
        if endless == Endless::TricklingComments && !is_item {
            if stream
                .write_all(sound_answer(&id).as_bytes())
                .await
                .is_err()
            {
                return 0;
            }
            continue;
        }
        answers.fetch_add(1, Ordering::Relaxed);
        let (first, repeated) = endless.bytes(&id);
        let mut taken = 0;
        if stream.write_all(first.as_bytes()).await.is_err() {
            return taken;
        }
        // Twice the deadline ends the test of a gateway that closes nothing.
        let until = tokio::time::Instant::now() + 2 * DEADLINE;
        let is_bounded =
            || endless == Endless::TricklingComments || tokio::time::Instant::now() < until;
        while is_bounded() && stream.write_all(&repeated).await.is_ok() {
            taken += repeated.len() as u64;
            tokio::time::sleep(endless.pause()).await;
        }
        return taken;
    }
    0
}

fn sound_answer(id: &str) -> String {
    let body: String = (0..EVENTS)
        .map(|event| format!("id: {event}\ndata: {}\n\n", event_data(id, event)))
        .collect();
    format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: signed\r\ncontent-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{body}",
        headers::REQUEST_ID,
        headers::SIGNATURE,
        body.len()
    )
}

fn assert_bounds(fleet: &ExclusiveFleet, worker: &EndlessWorker) {
    let taken = worker.most_taken.load(Ordering::Relaxed);
    let memory = fleet.gateways.iter().map(|it| peak_memory(it.process.id()));
    let memory = memory.max().unwrap_or_default();
    println!(
        "{} answers without end, {taken} bytes at most were taken of one, {memory} KiB",
        worker.answers.load(Ordering::Relaxed)
    );
    assert!(taken <= MAX_BYTES_TAKEN, "{taken} bytes of one answer");
    assert!(memory <= MAX_MEMORY_KIB, "{memory} KiB of memory");
}

#[test_case(Endless::HeadFields, ASK)]
#[test_case(Endless::HeadLine, ASK)]
#[test_case(Endless::InterimAnswers, ASK)]
#[test_case(Endless::InterimAnswers, STREAM)]
#[test_case(Endless::PlainBody, ASK)]
#[test_case(Endless::PlainBodyWithoutFraming, ASK)]
#[test_case(Endless::Trailers, ASK)]
#[test_case(Endless::BytesBehindAnswer, ASK)]
#[test_case(Endless::ChunkExtension, STREAM)]
#[test_case(Endless::Comments, STREAM)]
#[test_case(Endless::EmptyLines, STREAM)]
#[test_case(Endless::EventInChunks, STREAM)]
#[test_case(Endless::EventWithoutFraming, STREAM)]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_elsewhere_while_a_worker_answers_without_end(
    endless: Endless,
    path: &'static str,
) {
    let fleet = start(PlatformOptions::default()).await;
    let worker = EndlessWorker::start(endless).await;
    let service = if path == ASK { "whole" } else { "engine" };
    list_worker(&fleet, worker.address, service, "endless");
    eventually("the worker is used", || async {
        let id = format!("first-{:x}", rand::random::<u32>());
        let gateway = fleet.gateways[0].callers;
        drop(fleet.caller.ask(gateway, path, &id, DEADLINE).await);
        worker.answers.load(Ordering::Relaxed) > 0
    })
    .await;
    let requests = (0..REQUESTS * fleet.gateways.len()).map(|number| {
        let gateway = fleet.gateways[number % fleet.gateways.len()].callers;
        let caller = fleet.caller.clone();
        async move {
            let id = format!("request-{number}");
            (caller.ask(gateway, path, &id, DEADLINE).await, id)
        }
    });
    for (answer, id) in futures_util::future::join_all(requests).await {
        let answer = answer.unwrap_or_else(|error| panic!("{id}: {error}"));
        assert_eq!(answer.status, StatusCode::OK, "{id}");
        if path == STREAM {
            assert_all_events(&answer.body, &id, EVENTS);
        }
    }
    assert_bounds(&fleet, &worker);
}

/// Each of the answers may be large, but all of them together must not fill the memory.
#[tokio::test(flavor = "multi_thread")]
async fn plain_answers_without_end_of_several_workers_share_a_limit_of_memory() {
    let fleet = start(PlatformOptions {
        gateways: 1,
        ..PlatformOptions::default()
    })
    .await;
    let worker = EndlessWorker::start(Endless::PlainBody).await;
    for id in 0..ENDLESS_WORKERS {
        list_worker(&fleet, worker.address, "whole", &format!("endless-{id}"));
    }
    // The gateway reads the directory within this time.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let gateway = fleet.gateways[0].callers;
    for round in 0..4 {
        let requests = (0..4 * REQUESTS).map(|number| {
            let id = format!("request-{round}-{number}");
            let caller = fleet.caller.clone();
            async move { caller.ask(gateway, ASK, &id, DEADLINE).await }
        });
        futures_util::future::join_all(requests).await;
    }
    let answers = worker.answers.load(Ordering::Relaxed);
    assert!(answers > REQUESTS, "{answers} answers without end");
    assert_bounds(&fleet, &worker);
}

/// Number of concurrent requests where many answers never end at once.
const MANY_REQUESTS: usize = 60;
/// Memory of the smallest machine, in MiB.
const SMALLEST_MACHINE_MIB: u64 = 48;

/// What one answer may hold is little, but many workers may answer without end at once.
#[test_case(Endless::EventInChunks, STREAM)]
#[test_case(Endless::EventWithoutFraming, STREAM_ONCE)]
#[test_case(Endless::Comments, STREAM)]
#[test_case(Endless::HeadLine, STREAM)]
#[test_case(Endless::HeadFields, ASK)]
#[test_case(Endless::PlainBody, ASK)]
#[test_case(Endless::PlainBodyWithoutFraming, ASK)]
#[tokio::test(flavor = "multi_thread")]
async fn many_answers_without_end_at_once_leave_a_gateway_within_its_memory(
    endless: Endless,
    path: &'static str,
) {
    let mut fleet = start(PlatformOptions {
        gateways: 1,
        extra_settings: format!("[memory]\nlimit_mb = {SMALLEST_MACHINE_MIB}"),
        ..PlatformOptions::default()
    })
    .await;
    let worker = EndlessWorker::start(endless).await;
    let service = if path == ASK { "whole" } else { "engine" };
    for id in 0..ENDLESS_WORKERS {
        list_worker(&fleet, worker.address, service, &format!("endless-{id}"));
    }
    // The gateway reads the directory within this time.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let gateway = fleet.gateways[0].callers;
    let requests = (0..MANY_REQUESTS).map(|number| {
        let id = format!("request-{number}");
        let caller = fleet.caller.clone();
        async move { caller.ask(gateway, path, &id, DEADLINE).await }
    });
    futures_util::future::join_all(requests).await;
    let answers = worker.answers.load(Ordering::Relaxed);
    let process = &mut fleet.gateways[0].process;
    assert!(process.is_running(), "the gateway has ended");
    let memory = peak_memory(process.id());
    println!("{answers} answers without end, {memory} KiB");
    assert!(answers > REQUESTS, "{answers} answers without end");
    assert!(
        memory <= SMALLEST_MACHINE_MIB << 10,
        "{memory} KiB of memory"
    );
}

/// Sends one request after the other, without end.
async fn send_beside(caller: PlatformCaller, gateway: SocketAddr, lane: usize) {
    for number in 0.. {
        let id = format!("beside-{lane}-{number}");
        drop(caller.ask(gateway, STREAM, &id, DEADLINE).await);
    }
}

/// The worker is active on other requests all the time, so that its silence does not end the items' answers.
#[test_case(Endless::InterimAnswers)]
#[test_case(Endless::Comments)]
#[test_case(Endless::EventInChunks)]
#[test_case(Endless::TricklingComments)]
#[tokio::test(flavor = "multi_thread")]
async fn items_are_completed_while_a_worker_answers_without_end(endless: Endless) {
    let fleet = start(PlatformOptions {
        workers: 1,
        event_interval: Duration::from_millis(40),
        ..PlatformOptions::default()
    })
    .await;
    let worker = EndlessWorker::start(endless).await;
    list_worker(&fleet, worker.address, "engine", "endless");
    let gateway = fleet.gateways[0].callers;
    let beside = (0..REQUESTS * fleet.gateways.len()).map(|lane| {
        let gateway = fleet.gateways[lane % fleet.gateways.len()].callers;
        tokio::spawn(send_beside(fleet.caller.clone(), gateway, lane))
    });
    let beside: Vec<_> = beside.collect();
    for number in 0..MAX_JOBS {
        let job = format!("job-{number}");
        submit(&fleet, gateway, &job, ITEMS).await;
        wait_for_all_results(&fleet, gateway, &job, ITEMS).await;
        assert_completed(&listed_results(&fleet, gateway, &job).await, &job, ITEMS);
        if worker.answers.load(Ordering::Relaxed) > 0 {
            break;
        }
    }
    beside.iter().for_each(|it| it.abort());
    let answers = worker.answers.load(Ordering::Relaxed);
    assert!(answers > 0, "no item reached the worker");
    assert_bounds(&fleet, &worker);
}
