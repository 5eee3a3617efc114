//! Answers that break off while their framing is complete, or that have none.

mod gateway;

use gateway::raw_worker::{field, list_worker, read_head};
use gateway::{
    EVENTS, ExclusiveFleet, assert_all_events, assert_completed, listed_results, start, submit,
    wait_for_all_results,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use swiftshunt_http::{HttpAnswer, HttpError};
use swiftshunt_lab::platform::caller::HOST;
use swiftshunt_lab::platform::fleet::{
    ASK, ONCE, PlatformOptions, STREAM, STREAM_ONCE, eventually,
};
use swiftshunt_lab::platform::worker::{
    CutPlace, StreamCut, StreamFraming, WorkerBehaviour, event_data,
};
use swiftshunt_platform::words::{headers, values};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const DEADLINE: Duration = Duration::from_secs(10);

fn set_behaviour(fleet: &ExclusiveFleet, behaviour: WorkerBehaviour) {
    for worker in &fleet.engine_workers {
        worker.set_behaviour(behaviour);
    }
}

/// Whether a caller takes the response for a whole stream although events are missing.
fn looks_complete_and_is_not(answer: &Result<HttpAnswer, HttpError>, id: &str) -> bool {
    let Ok(answer) = answer else {
        return false;
    };
    let text = String::from_utf8_lossy(&answer.body);
    let whole: String = (0..EVENTS)
        .map(|event| format!("id: {event}\ndata: {}\n\n", event_data(id, event)))
        .collect();
    answer.status.is_success() && text != whole
}

#[test_case(STREAM, StreamFraming::ConnectionClose; "resumable without framing")]
#[test_case(STREAM, StreamFraming::Chunked; "resumable in chunks")]
#[test_case(STREAM, StreamFraming::Length; "resumable with a length")]
#[test_case(STREAM_ONCE, StreamFraming::ConnectionClose; "not resumable without framing")]
#[test_case(STREAM_ONCE, StreamFraming::Chunked; "not resumable in chunks")]
#[test_case(STREAM_ONCE, StreamFraming::Length; "not resumable with a length")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_an_event_does_not_look_complete(
    path: &str,
    framing: StreamFraming,
) {
    let fleet = start(PlatformOptions::default()).await;
    let mut torn = Vec::new();
    for place in [CutPlace::InsideField, CutPlace::BeforeEmptyLine] {
        for events in [0, 1] {
            let cut = StreamCut {
                events,
                place,
                framing,
            };
            set_behaviour(&fleet, WorkerBehaviour::EndStreamInsideEvent(cut));
            let id = format!("torn-{place:?}-{events}");
            let gateway = fleet.gateways[0].callers;
            let answer = fleet.caller.ask(gateway, path, &id, DEADLINE).await;
            assert!(!fleet.runs_of(&id).is_empty(), "{id} did not run");
            if looks_complete_and_is_not(&answer, &id) {
                torn.push(id);
            }
        }
    }
    assert!(torn.is_empty(), "look complete and are not: {torn:?}");
}

#[test_case(StreamFraming::ConnectionClose; "without framing")]
#[test_case(StreamFraming::Chunked; "in chunks")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_an_event_is_resumed_at_another_worker(framing: StreamFraming) {
    let fleet = start(PlatformOptions::default()).await;
    let cut = StreamCut {
        events: 3,
        place: CutPlace::InsideField,
        framing,
    };
    fleet.engine_workers[0].set_behaviour(WorkerBehaviour::EndStreamInsideEvent(cut));
    for number in 0..12 {
        let id = format!("s{number}");
        let gateway = fleet.gateways[number % 2].callers;
        let answer = fleet.caller.ask(gateway, STREAM, &id, DEADLINE).await;
        let answer = answer.expect("no complete response");
        assert_eq!(answer.status, StatusCode::OK, "{id}");
        assert_all_events(&answer.body, &id, EVENTS);
    }
    let resumed = fleet.engine_workers[1].runs();
    assert!(
        resumed.iter().any(|run| run.last_event == Some(2)),
        "no stream was resumed: {resumed:?}"
    );
}

#[test_case(StreamFraming::ConnectionClose; "without framing")]
#[test_case(StreamFraming::Chunked; "in chunks")]
#[tokio::test(flavor = "multi_thread")]
async fn an_item_whose_stream_ends_inside_an_event_is_completed_with_its_whole_text(
    framing: StreamFraming,
) {
    let fleet = start(PlatformOptions::default()).await;
    let cut = StreamCut {
        events: 3,
        place: CutPlace::BeforeEmptyLine,
        framing,
    };
    set_behaviour(&fleet, WorkerBehaviour::EndStreamInsideEvent(cut));
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job-1", 4).await;
    wait_for_all_results(&fleet, gateway, "job-1", 4).await;
    assert_completed(&listed_results(&fleet, gateway, "job-1").await, "job-1", 4);
}

#[test_case(STREAM; "resumable")]
#[test_case(STREAM_ONCE; "not resumable")]
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_that_ends_behind_an_event_arrives_whole(path: &str) {
    let fleet = start(PlatformOptions::default()).await;
    set_behaviour(&fleet, WorkerBehaviour::UnframedStreams);
    for number in 0..6 {
        let id = format!("s{number}");
        let gateway = fleet.gateways[number % 2].callers;
        let answer = fleet.caller.ask(gateway, path, &id, DEADLINE).await;
        let answer = answer.expect("no complete response");
        assert_eq!(answer.status, StatusCode::OK, "{id}");
        assert_all_events(&answer.body, &id, EVENTS);
        assert_eq!(fleet.runs_of(&id).len(), 1, "{id}");
    }
}

/// Body of a request that crashes its workers.
const HARMFUL: &str = "a question that ends its worker";
/// Number of crashed workers after which a request is quarantined.
const MAX_CRASHES: usize = 3;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_unframed_streams_end_with_their_workers_is_quarantined() {
    let fleet = start(PlatformOptions {
        gateways: 3,
        workers: 8,
        crash_workers_on_body: Some(HARMFUL.to_owned()),
        ..PlatformOptions::default()
    })
    .await;
    set_behaviour(&fleet, WorkerBehaviour::UnframedStreams);
    for number in 0..8 {
        let gateway = fleet.gateways[number % 3].callers;
        let id = format!("harmful-{number}");
        let answer = fleet
            .caller
            .ask_with_body(gateway, STREAM_ONCE, &id, HARMFUL)
            .await;
        println!("{id}: {:?}", answer.map(|answer| answer.status));
    }
    let crashed = fleet.engine_workers.iter();
    let crashed = crashed.filter(|worker| worker.has_crashed()).count();
    assert!(crashed <= MAX_CRASHES, "{crashed} workers crashed");
}

/// Sends a request of this HTTP version that asks for the connection to be closed, and reads until it ends. The error is
/// that of the connection.
async fn read_until_closed(
    gateway: SocketAddr,
    path: &str,
    id: &str,
    version: &str,
) -> (String, std::io::Result<()>) {
    let mut connection = TcpStream::connect(gateway).await.expect("no connection");
    let request = format!(
        "POST {path} HTTP/{version}\r\nhost: {HOST}\r\n{}: {id}\r\n{}: 8000\r\ncontent-length: 1\r\n\
         connection: close\r\n\r\n?",
        headers::REQUEST_ID,
        headers::DEADLINE
    );
    let sent = connection.write_all(request.as_bytes()).await;
    sent.expect("the request was not sent");
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(DEADLINE, connection.read_to_end(&mut bytes)).await;
    let read = read.expect("the connection stays open");
    (
        String::from_utf8_lossy(&bytes).into_owned(),
        read.map(|_| ()),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_does_not_look_complete_to_a_caller_without_chunks() {
    let fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    let (whole, ended) = read_until_closed(gateway, STREAM_ONCE, "whole", "1.0").await;
    assert!(ended.is_ok(), "{ended:?}");
    assert!(whole.contains(&event_data("whole", EVENTS - 1)), "{whole}");
    set_behaviour(&fleet, WorkerBehaviour::TruncateStreamAfter(3));
    let (broken, ended) = read_until_closed(gateway, STREAM_ONCE, "broken", "1.0").await;
    assert!(broken.contains(&event_data("broken", 2)), "{broken}");
    assert!(ended.is_err(), "ends regularly: {broken}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_has_no_last_chunk_for_a_caller_that_asks_for_a_close() {
    let fleet = start(PlatformOptions::default()).await;
    set_behaviour(&fleet, WorkerBehaviour::TruncateStreamAfter(3));
    let gateway = fleet.gateways[0].callers;
    let (broken, _) = read_until_closed(gateway, STREAM_ONCE, "broken", "1.1").await;
    assert!(broken.contains(&event_data("broken", 2)), "{broken}");
    assert!(!broken.ends_with("0\r\n\r\n"), "{broken}");
}

#[test_case(STREAM; "resumable")]
#[test_case(STREAM_ONCE; "not resumable")]
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_whose_worker_ends_behind_an_event_does_not_look_complete(path: &str) {
    let fleet = start(PlatformOptions {
        workers: 4,
        event_interval: Duration::from_millis(50),
        ..PlatformOptions::default()
    })
    .await;
    set_behaviour(&fleet, WorkerBehaviour::UnframedStreams);
    for number in 0..3 {
        let id = format!("s{number}");
        let gateway = fleet.gateways[number % 2].callers;
        let crash = async {
            let running = || fleet.engine_workers.iter().find(|one| one.running() > 0);
            eventually("the stream runs", || async { running().is_some() }).await;
            // Some events have been sent by then, and some have not.
            tokio::time::sleep(Duration::from_millis(175)).await;
            running().expect("the stream ended too early").crash();
        };
        let (answer, ()) = tokio::join!(fleet.caller.ask(gateway, path, &id, DEADLINE), crash);
        assert!(!looks_complete_and_is_not(&answer, &id), "{answer:?}");
    }
}

/// Time after which a worker whose connections have ended closes its listening socket.
#[derive(Clone, Copy)]
enum ListenerCloses {
    AtOnce,
    Later,
}

/// Lists a worker as leaving, and ends it while it runs unframed streams, between two of their events.
async fn end_leaving_worker(fleet: &ExclusiveFleet, listener_closes: ListenerCloses) {
    let leaving = &fleet.engine_workers[0];
    eventually("the worker runs something", || async {
        leaving.running() > 0
    })
    .await;
    fleet.list(leaving, "engine", values::DRAINING);
    // The gateways read the directory within this time, and some events have been sent.
    tokio::time::sleep(Duration::from_millis(475)).await;
    assert!(leaving.running() > 0, "the streams ended too early");
    match listener_closes {
        ListenerCloses::AtOnce => leaving.crash(),
        ListenerCloses::Later => leaving.crash_with_listener_delay(Duration::from_secs(2)),
    }
}

fn slow_streams() -> PlatformOptions {
    PlatformOptions {
        workers: 3,
        event_interval: Duration::from_millis(150),
        ..PlatformOptions::default()
    }
}

/// Any worker goes on behind the last event, so that nothing is lost by asking for what may follow.
#[test_case(ListenerCloses::AtOnce; "which refuses connections")]
#[test_case(ListenerCloses::Later; "which still takes connections")]
#[tokio::test(flavor = "multi_thread")]
async fn items_with_unframed_streams_of_a_leaving_worker_are_whole(
    listener_closes: ListenerCloses,
) {
    let fleet = start(slow_streams()).await;
    set_behaviour(&fleet, WorkerBehaviour::UnframedStreams);
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job", 12).await;
    end_leaving_worker(&fleet, listener_closes).await;
    wait_for_all_results(&fleet, gateway, "job", 12).await;
    assert_completed(&listed_results(&fleet, gateway, "job").await, "job", 12);
}

#[test_case(STREAM, ListenerCloses::AtOnce; "resumable and the worker refuses connections")]
#[test_case(STREAM, ListenerCloses::Later; "resumable and the worker still takes connections")]
#[test_case(STREAM_ONCE, ListenerCloses::AtOnce; "not resumable and the worker refuses connections")]
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_of_a_leaving_worker_does_not_look_complete_before_its_end(
    path: &str,
    listener_closes: ListenerCloses,
) {
    let fleet = start(slow_streams()).await;
    set_behaviour(&fleet, WorkerBehaviour::UnframedStreams);
    let streams = (0..12).map(|number| {
        let gateway = fleet.gateways[number % 2].callers;
        let caller = fleet.caller.clone();
        async move {
            let id = format!("s{number}");
            (caller.ask(gateway, path, &id, DEADLINE).await, id)
        }
    });
    let ended = end_leaving_worker(&fleet, listener_closes);
    let (answers, ()) = tokio::join!(futures_util::future::join_all(streams), ended);
    for (answer, id) in answers {
        assert!(!looks_complete_and_is_not(&answer, &id), "{answer:?}");
        assert!(
            path == STREAM_ONCE || answer.is_ok(),
            "{id} was not resumed"
        );
    }
}

/// Number of workers that end in an answer, one after the other.
const HALF_ANSWERS: usize = 4;

/// A worker that sends the half of an answer with neither a length nor chunks, and ends.
async fn start_worker_that_ends_in_its_answer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("no free port");
    let address = listener.local_addr().expect("no address");
    tokio::spawn(async move {
        let Ok((mut stream, _)) = listener.accept().await else {
            return;
        };
        let head = read_head(&mut stream).await.unwrap_or_default();
        let id = field(&head, headers::REQUEST_ID).unwrap_or_default();
        let half = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: signed\r\n\r\nanswer to",
            headers::REQUEST_ID,
            headers::SIGNATURE
        );
        drop(stream.write_all(half.as_bytes()).await);
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
    address
}

#[test_case(ASK; "repeatable")]
#[test_case(ONCE; "not repeatable")]
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_answer_whose_worker_ends_in_it_does_not_look_complete(path: &str) {
    let fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    let mut broken = 0;
    for round in 0..HALF_ANSWERS {
        let address = start_worker_that_ends_in_its_answer().await;
        list_worker(&fleet, address, "whole", &format!("half-{round}"));
        for number in 0..40 {
            let id = format!("request-{round}-{number}");
            let answer = fleet.caller.ask_with_body(gateway, path, &id, &id).await;
            let answer = answer.expect("no response");
            if answer.status.is_success() {
                assert_eq!(answer.body, format!("answer to {id}"));
            } else {
                broken += 1;
            }
        }
    }
    let expected = if path == ONCE { HALF_ANSWERS } else { 0 };
    assert!(broken <= expected, "{broken} requests failed");
}

/// Number of requests to a worker whose answers have no body.
const EMPTY_ANSWERS: usize = 20;

/// The end of an answer that cannot have a body needs no confirmation.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_body_needs_no_further_connection() {
    let fleet = start(PlatformOptions::default()).await;
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("no free port");
    let address = listener.local_addr().expect("no address");
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                while let Some(head) = read_head(&mut stream).await {
                    let id = field(&head, headers::REQUEST_ID).unwrap_or_default();
                    let answer = format!(
                        "HTTP/1.1 204 No Content\r\n{}: {id}\r\n{}: signed\r\n\r\n",
                        headers::REQUEST_ID,
                        headers::SIGNATURE
                    );
                    drop(stream.write_all(answer.as_bytes()).await);
                }
            });
        }
    });
    for worker in &fleet.whole_workers {
        fleet.unlist(worker);
    }
    list_worker(&fleet, address, "whole", "empty");
    let gateway = fleet.gateways[0].callers;
    eventually("the worker is used", || async {
        let answer = fleet.caller.ask(gateway, ASK, "first", DEADLINE).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::NO_CONTENT)
    })
    .await;
    let before = connections.load(Ordering::Relaxed);
    for number in 0..EMPTY_ANSWERS {
        let id = format!("request-{number}");
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::NO_CONTENT);
    }
    let opened = connections.load(Ordering::Relaxed) - before;
    assert!(opened < EMPTY_ANSWERS / 2, "{opened} connections");
}
