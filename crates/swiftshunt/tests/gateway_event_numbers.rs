//! Workers whose events do not follow each other, or carry no number.
//!
//! Guards against streams and items in which an event is missing or comes twice, and that look complete.

mod gateway;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use gateway::raw_worker::{field, list_worker, read_head};
use gateway::{
    EVENTS, ExclusiveFleet, assert_completed, expected_output, listed_results, start, submit,
    wait_for_all_results,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::StreamPart;
use swiftshunt_lab::platform::fleet::{PlatformOptions, STREAM, STREAM_ONCE, eventually};
use swiftshunt_lab::platform::worker::{WorkerBehaviour, event_data};
use swiftshunt_platform::words::headers;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Number of streams, one after the other.
const STREAMS: usize = 24;
/// Number of items of a job.
const ITEMS: usize = 6;
/// Number of events of a run that breaks off.
const EVENTS_BEFORE_BREAK: u64 = 3;

/// How a worker numbers the events of its runs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Numbering {
    /// A continuation begins with the event that the caller has.
    RepeatsLast,
    /// A continuation begins with the first event of the stream.
    FromBeginning,
    /// A continuation leaves its first event out.
    LeavesFirstOut,
    /// A run goes back by two events.
    GoesBack,
    /// A run sends an event twice.
    Twice,
    /// A run leaves an event out.
    LeavesOut,
    /// A run that begins a stream numbers no event, and breaks off.
    Unnumbered,
}

impl Numbering {
    /// Returns the events of a run from the event `first` on, without those behind a break.
    fn events(self, first: u64, is_continuation: bool) -> Vec<u64> {
        let sound = first..EVENTS;
        match self {
            Self::RepeatsLast if is_continuation => (first - 1..EVENTS).collect(),
            Self::FromBeginning if is_continuation => (0..EVENTS).collect(),
            Self::LeavesFirstOut if is_continuation => (first + 1..EVENTS).collect(),
            Self::GoesBack => Self::repeat_from(first, 3),
            Self::Twice => Self::repeat_from(first, 2),
            Self::LeavesOut => sound.filter(|event| *event != first + 1).collect(),
            Self::RepeatsLast | Self::FromBeginning | Self::LeavesFirstOut => {
                (0..EVENTS_BEFORE_BREAK).collect()
            }
            Self::Unnumbered if !is_continuation => (0..EVENTS_BEFORE_BREAK).collect(),
            Self::Unnumbered => sound.collect(),
        }
    }

    /// Returns the events of a run that sends `sent` events, and then all but the first again.
    fn repeat_from(first: u64, sent: u64) -> Vec<u64> {
        let begun = first..EVENTS.min(first + sent);
        begun.chain(first + 1..EVENTS).collect()
    }

    /// Whether these events of a run do not follow each other, or have no number.
    fn is_wrong(self, first: u64, is_continuation: bool, events: &[u64]) -> bool {
        let is_in_order = events.iter().copied().eq((first..).take(events.len()));
        !is_in_order || (self == Self::Unnumbered && !is_continuation)
    }
}

/// A worker that numbers the events of its runs wrongly.
struct MisnumberingWorker {
    address: SocketAddr,
    /// Number of runs with wrong numbers.
    wrong_runs: Arc<AtomicUsize>,
}

impl MisnumberingWorker {
    async fn start(numbering: Numbering) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("no free port");
        let worker = Self {
            address: listener.local_addr().expect("no address"),
            wrong_runs: Arc::default(),
        };
        let wrong_runs = Arc::clone(&worker.wrong_runs);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(stream, numbering, Arc::clone(&wrong_runs)));
            }
        });
        worker
    }

    fn wrong_runs(&self) -> usize {
        self.wrong_runs.load(Ordering::Relaxed)
    }
}

/// Answers the requests of a connection until a run breaks off.
async fn answer(mut stream: TcpStream, numbering: Numbering, wrong_runs: Arc<AtomicUsize>) {
    while let Some(head) = read_head(&mut stream).await {
        let id = field(&head, headers::REQUEST_ID).unwrap_or_default();
        let last: Option<u64> =
            field(&head, headers::LAST_EVENT).and_then(|last| last.parse().ok());
        let is_continuation = last.is_some();
        let first = last.map_or(0, |last| last + 1);
        let events = numbering.events(first, is_continuation);
        let mut text = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: signed\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n",
            headers::REQUEST_ID,
            headers::SIGNATURE
        );
        let is_numbered = numbering != Numbering::Unnumbered || is_continuation;
        for event in &events {
            let data = event_data(&id, *event);
            let event = match is_numbered {
                true => format!("id: {event}\ndata: {data}\n\n"),
                false => format!("data: {data}\n\n"),
            };
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
        }
        let is_whole = events.last() == Some(&(EVENTS - 1));
        if is_whole {
            text.push_str("0\r\n\r\n");
        }
        let wrong = usize::from(numbering.is_wrong(first, is_continuation, &events));
        wrong_runs.fetch_add(wrong, Ordering::Relaxed);
        if stream.write_all(text.as_bytes()).await.is_err() || !is_whole {
            return;
        }
    }
}

/// Starts two sound workers whose streams break off after a few events, and one that numbers events wrongly.
async fn start_fleet(numbering: Numbering) -> (ExclusiveFleet, MisnumberingWorker) {
    let fleet = start(PlatformOptions::default()).await;
    for worker in &fleet.engine_workers {
        worker.set_behaviour(WorkerBehaviour::TruncateStreamAfter(EVENTS_BEFORE_BREAK));
    }
    let worker = MisnumberingWorker::start(numbering).await;
    list_worker(&fleet, worker.address, "engine", "misnumbering");
    let wait = "a gateway uses the worker";
    eventually(wait, || async {
        let id = format!("first-{:x}", rand::random::<u32>());
        for gateway in &fleet.gateways {
            let read = fleet
                .caller
                .read_stream(gateway.callers, STREAM, &id, None, usize::MAX);
            drop(read.await);
        }
        worker.wrong_runs() > 0
    })
    .await;
    (fleet, worker)
}

/// Returns why a caller cannot have got this stream; `None` if each event came once and in order, and the end only behind
/// the last one.
fn fault(id: &str, text: &str, is_complete: bool) -> Option<String> {
    let events = text.lines().count() as u64;
    let in_order = text == expected_output(id, events);
    if in_order && (events == EVENTS || !is_complete) {
        return None;
    }
    Some(format!("{id}, complete: {is_complete}: {text:?}"))
}

#[test_case(STREAM, Numbering::RepeatsLast)]
#[test_case(STREAM, Numbering::FromBeginning)]
#[test_case(STREAM, Numbering::LeavesFirstOut)]
#[test_case(STREAM, Numbering::GoesBack)]
#[test_case(STREAM, Numbering::Twice)]
#[test_case(STREAM, Numbering::LeavesOut)]
#[test_case(STREAM, Numbering::Unnumbered)]
#[test_case(STREAM_ONCE, Numbering::GoesBack)]
#[test_case(STREAM_ONCE, Numbering::Twice)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_worker_numbers_events_wrongly_has_no_event_missing_or_twice(
    path: &str,
    numbering: Numbering,
) {
    let (fleet, worker) = start_fleet(numbering).await;
    let (mut faults, mut served) = (Vec::new(), 0);
    for number in 0..STREAMS {
        let id = format!("s{number}");
        let gateway = fleet.gateways[number % fleet.gateways.len()].callers;
        let read = fleet
            .caller
            .read_stream(gateway, path, &id, None, usize::MAX);
        let part = read.await.expect("no response");
        if part.status == StatusCode::OK {
            served += 1;
            faults.extend(fault(&id, &part.text(), part.is_complete));
        }
    }
    assert!(served > STREAMS / 2, "{served} of {STREAMS} began");
    println!("{} runs with wrong numbers", worker.wrong_runs());
    assert!(
        faults.is_empty(),
        "{} of {STREAMS}: {faults:?}",
        faults.len()
    );
}

async fn begin(fleet: &ExclusiveFleet, gateway: SocketAddr, id: &str) -> StreamPart {
    let events = EVENTS_BEFORE_BREAK as usize;
    let read = fleet.caller.read_stream(gateway, STREAM, id, None, events);
    read.await.expect("no response")
}

#[test_case(Numbering::RepeatsLast)]
#[test_case(Numbering::FromBeginning)]
#[test_case(Numbering::LeavesFirstOut)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_a_caller_takes_up_has_no_event_missing_or_twice(numbering: Numbering) {
    let (fleet, worker) = start_fleet(numbering).await;
    let mut faults = Vec::new();
    for number in 0..STREAMS {
        let id = format!("s{number}");
        let gateway = |number: usize| fleet.gateways[number % fleet.gateways.len()].callers;
        let begun = begin(&fleet, gateway(number), &id).await;
        let Some(take_up) = begun.take_up(&id) else {
            continue;
        };
        let next = format!("{id}-1");
        let read = fleet.caller.read_stream(
            gateway(number + 1),
            STREAM,
            &next,
            Some(&take_up),
            usize::MAX,
        );
        let rest = read.await.expect("no response");
        // The worker writes the identifier of the attempt into the data of each event.
        let events = rest.events.iter().map(|(number, data)| {
            assert_eq!(*data, event_data(&next, *number));
            event_data(&id, *number)
        });
        let text: Vec<String> = begun
            .events
            .iter()
            .map(|(_, data)| data.clone())
            .chain(events)
            .collect();
        if rest.status == StatusCode::OK {
            faults.extend(fault(&id, &text.join("\n"), rest.is_complete));
        }
    }
    println!("{} runs with wrong numbers", worker.wrong_runs());
    assert!(
        faults.is_empty(),
        "{} of {STREAMS}: {faults:?}",
        faults.len()
    );
}

#[test_case(Numbering::RepeatsLast)]
#[test_case(Numbering::FromBeginning)]
#[test_case(Numbering::LeavesFirstOut)]
#[test_case(Numbering::GoesBack)]
#[test_case(Numbering::Twice)]
#[test_case(Numbering::LeavesOut)]
#[test_case(Numbering::Unnumbered)]
#[tokio::test(flavor = "multi_thread")]
async fn an_item_whose_worker_numbers_events_wrongly_is_completed_with_its_whole_text(
    numbering: Numbering,
) {
    let (fleet, worker) = start_fleet(numbering).await;
    let gateway = fleet.gateways[0].callers;
    let before = worker.wrong_runs();
    for job in ["job-1", "job-2", "job-3"] {
        submit(&fleet, gateway, job, ITEMS).await;
        wait_for_all_results(&fleet, gateway, job, ITEMS).await;
        assert_completed(&listed_results(&fleet, gateway, job).await, job, ITEMS);
    }
    println!("{} runs with wrong numbers", worker.wrong_runs() - before);
}
