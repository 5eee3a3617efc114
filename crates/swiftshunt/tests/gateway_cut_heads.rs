//! Workers that close the connection inside the head of an answer.
//!
//! Guards against successes with an empty or short body that look whole to the caller.

mod gateway;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use gateway::raw_worker::{field, list_worker, read_head};
use gateway::{
    EVENTS, ExclusiveFleet, assert_completed, listed_results, start, submit, wait_for_all_results,
};
use swiftshunt_lab::platform::fleet::{
    ASK, ONCE, PlatformOptions, STREAM, STREAM_ONCE, eventually,
};
use swiftshunt_lab::platform::worker::event_data;
use swiftshunt_platform::words::headers;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Longest head of an answer that is cut, in bytes.
const MAX_HEAD_BYTES: usize = 200;
/// Interval between the positions of cuts for batch items, in bytes.
const ITEM_CUT_INTERVAL: usize = 10;
/// Number of requests that are open at the same time.
const CONCURRENT_REQUESTS: usize = 8;
/// Limit of a request in seconds; a cut answer is refused or repeated much sooner.
const DEADLINE: Duration = Duration::from_secs(2);
/// Pause between two segments of a head.
const SEGMENT_PAUSE: Duration = Duration::from_millis(3);
/// What is sent behind the cut: nothing, the end of a line, or an empty line, which ends the head.
const ENDINGS: [&str; 4] = ["", "\r\n", "\r\n\r\n", "\n\n"];

/// How the body of an answer is framed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framed {
    Length,
    Chunked,
}

/// What is cut of the answers to a request that asks for it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CutAnswers {
    /// Each answer.
    All,
    /// Those that continue a stream. The first run of a stream breaks off behind some events.
    Continuations,
}

/// The answers of a worker.
#[derive(Clone, Copy)]
struct Answers {
    cut_answers: CutAnswers,
    framed: Framed,
    has_events: bool,
    /// Whether the framing is the last field of the head.
    framing_is_last: bool,
    /// Number of segments in which a head is sent.
    segments: usize,
}

impl Answers {
    fn head_and_body(self, id: &str) -> (String, String) {
        let whole = self.whole_body(id);
        let (framing, body) = match self.framed {
            Framed::Length => (format!("content-length: {}", whole.len()), whole),
            Framed::Chunked => (
                "transfer-encoding: chunked".to_owned(),
                format!("{:x}\r\n{whole}\r\n0\r\n\r\n", whole.len()),
            ),
        };
        let content_type = match self.has_events {
            true => "content-type: text/event-stream",
            false => "content-type: text/plain",
        };
        let fields = match self.framing_is_last {
            true => [content_type, &framing],
            false => [&framing, content_type],
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: signed\r\n{}\r\n{}\r\n\r\n",
            headers::REQUEST_ID,
            headers::SIGNATURE,
            fields[0],
            fields[1]
        );
        (head, body)
    }

    fn whole_body(self, id: &str) -> String {
        if !self.has_events {
            return format!("answer to {id}");
        }
        let events =
            (0..EVENTS).map(|event| format!("id: {event}\ndata: {}\n\n", event_data(id, event)));
        events.collect()
    }
}

/// Where an answer is cut, and what is sent behind the cut.
#[derive(Clone, Copy)]
struct Cut {
    position: usize,
    ending: usize,
}

impl Cut {
    /// Returns the identifier of a request whose answer is cut in this place.
    fn id(self) -> String {
        format!("cut-{}-{}-", self.position, self.ending)
    }

    fn from_id(id: &str) -> Option<Self> {
        let mut parts = id.strip_prefix("cut-")?.split('-');
        Some(Self {
            position: parts.next()?.parse().ok()?,
            ending: parts.next()?.parse().ok()?,
        })
    }
}

/// A worker that cuts the answers to requests whose identifiers ask for it, and gives whole answers to all others.
struct CuttingWorker {
    address: SocketAddr,
    /// Number of answers that were cut on connections on which an answer had been sent before.
    later_cuts: Arc<AtomicUsize>,
    /// Number of answers that were cut.
    cuts: Arc<AtomicUsize>,
}

impl CuttingWorker {
    async fn start(answers: Answers) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("no free port");
        let worker = Self {
            address: listener.local_addr().expect("no address"),
            later_cuts: Arc::default(),
            cuts: Arc::default(),
        };
        let (cuts, later_cuts) = (Arc::clone(&worker.cuts), Arc::clone(&worker.later_cuts));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (cuts, later_cuts) = (Arc::clone(&cuts), Arc::clone(&later_cuts));
                tokio::spawn(async move {
                    // The connection ends with an answer that was cut, and with its peer.
                    let Some(answered_before) = serve(stream, answers).await else {
                        return;
                    };
                    cuts.fetch_add(1, Ordering::Relaxed);
                    later_cuts.fetch_add(usize::from(answered_before), Ordering::Relaxed);
                });
            }
        });
        worker
    }
}

/// Answers the requests of a connection until one of the answers is cut. Returns whether others were sent before; `None`
/// if the peer closes the connection first.
async fn serve(mut stream: TcpStream, answers: Answers) -> Option<bool> {
    let mut answered_before = false;
    loop {
        let request = read_head(&mut stream).await?;
        let id = field(&request, headers::REQUEST_ID).unwrap_or_default();
        let (head, body) = answers.head_and_body(&id);
        let cut = Cut::from_id(&id).filter(|cut| cut.position < head.len());
        let is_first_run = field(&request, headers::LAST_EVENT).is_none();
        let breaks_off = answers.cut_answers == CutAnswers::Continuations && is_first_run;
        let bytes = match cut {
            Some(_) if breaks_off => format!("{head}{}", &body[..body.len() / 2]),
            Some(cut) => format!("{}{}", &head[..cut.position], ENDINGS[cut.ending]),
            None => format!("{head}{body}"),
        };
        let segment_bytes = bytes.len().div_ceil(answers.segments).max(1);
        for segment in bytes.as_bytes().chunks(segment_bytes) {
            stream.write_all(segment).await.ok()?;
            if answers.segments > 1 {
                tokio::time::sleep(SEGMENT_PAUSE).await;
            }
        }
        if cut.is_some() {
            return Some(answered_before);
        }
        answered_before = true;
    }
}

/// Starts a fleet in which the cutting worker is the only one of a service.
async fn start_with_only(worker: &CuttingWorker, service: &str) -> ExclusiveFleet {
    let fleet = start(PlatformOptions {
        gateways: 1,
        ..PlatformOptions::default()
    })
    .await;
    list_worker(&fleet, worker.address, service, "cutting");
    for sound in fleet.whole_workers.iter().chain(&fleet.engine_workers) {
        fleet.unlist(sound);
    }
    let path = if service == "whole" { ASK } else { STREAM };
    let gateway = fleet.gateways[0].callers;
    eventually("the worker is the only one", || async {
        let answer = fleet.caller.ask(gateway, path, "probe", DEADLINE).await;
        // The unlisted workers would answer with another body.
        answer.is_ok_and(|answer| answer.status.is_success())
            && worker.cuts.load(Ordering::Relaxed) == 0
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

/// Sends a request for each cut, and returns the identifiers of those that got a success with another body than the whole
/// one.
async fn falsely_whole(fleet: &ExclusiveFleet, path: &str, answers: Answers) -> Vec<String> {
    let gateway = fleet.gateways[0].callers;
    let cuts = (1..MAX_HEAD_BYTES)
        .flat_map(|position| (0..ENDINGS.len()).map(move |ending| Cut { position, ending }));
    let requests = cuts.map(|cut| async move {
        let id = cut.id();
        let whole_id = format!("whole-{id}");
        let whole = fleet.caller.ask(gateway, path, &whole_id, DEADLINE);
        drop(whole.await);
        let answer = fleet.caller.ask(gateway, path, &id, DEADLINE).await;
        let is_false = answer.is_ok_and(|answer| {
            answer.status.is_success() && answer.body != answers.whole_body(&id)
        });
        is_false.then_some(id)
    });
    let outcomes = futures_util::stream::iter(requests).buffer_unordered(CONCURRENT_REQUESTS);
    outcomes
        .filter_map(|outcome| async { outcome })
        .collect()
        .await
}

#[test_case(ASK, Framed::Length, true, 1; "a repeatable request")]
#[test_case(ASK, Framed::Chunked, true, 1; "a repeatable request in chunks")]
#[test_case(ASK, Framed::Length, false, 1; "a repeatable request whose framing comes first")]
#[test_case(ASK, Framed::Length, true, 3; "a repeatable request in segments")]
#[test_case(ONCE, Framed::Length, true, 1; "a request that may not be repeated")]
#[test_case(STREAM, Framed::Chunked, true, 1; "a stream")]
#[test_case(STREAM, Framed::Length, true, 1; "a stream with a length")]
#[test_case(STREAM, Framed::Chunked, false, 1; "a stream whose framing comes first")]
#[test_case(STREAM, Framed::Chunked, true, 3; "a stream in segments")]
#[test_case(STREAM_ONCE, Framed::Chunked, true, 1; "a stream that may not be resumed")]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_inside_its_head_does_not_look_whole(
    path: &str,
    framed: Framed,
    framing_is_last: bool,
    segments: usize,
) {
    let has_events = path == STREAM || path == STREAM_ONCE;
    let answers = Answers {
        framed,
        has_events,
        framing_is_last,
        segments,
        cut_answers: CutAnswers::All,
    };
    let worker = CuttingWorker::start(answers).await;
    let service = if has_events { "engine" } else { "whole" };
    let fleet = start_with_only(&worker, service).await;
    let falsely_whole = falsely_whole(&fleet, path, answers).await;
    let cuts = worker.cuts.load(Ordering::Relaxed);
    let later_cuts = worker.later_cuts.load(Ordering::Relaxed);
    println!("{cuts} answers were cut, {later_cuts} of them on kept connections");
    assert!(cuts >= MAX_HEAD_BYTES, "too few answers were cut");
    assert!(later_cuts > 0, "no answer was cut on a kept connection");
    assert!(
        falsely_whole.is_empty(),
        "{} look whole and are not: {falsely_whole:?}",
        falsely_whole.len()
    );
}

/// The answers that would continue the stream are cut at both workers of the service.
#[tokio::test(flavor = "multi_thread")]
async fn a_continuation_that_ends_inside_its_head_does_not_end_its_stream() {
    let answers = Answers {
        framed: Framed::Chunked,
        has_events: true,
        framing_is_last: true,
        segments: 1,
        cut_answers: CutAnswers::Continuations,
    };
    let worker = CuttingWorker::start(answers).await;
    let fleet = start_with_only(&worker, "engine").await;
    let other = CuttingWorker::start(answers).await;
    list_worker(&fleet, other.address, "engine", "cutting-too");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let falsely_whole = falsely_whole(&fleet, STREAM, answers).await;
    let cuts = worker.cuts.load(Ordering::Relaxed) + other.cuts.load(Ordering::Relaxed);
    println!("{cuts} answers were cut or broken off");
    assert!(cuts >= MAX_HEAD_BYTES, "too few answers were cut");
    assert!(
        falsely_whole.is_empty(),
        "{} look whole and are not: {falsely_whole:?}",
        falsely_whole.len()
    );
}

#[test_case(CutAnswers::All; "at first")]
#[test_case(CutAnswers::Continuations; "when they are continued")]
#[tokio::test(flavor = "multi_thread")]
async fn an_item_whose_answers_end_inside_their_heads_is_completed_with_its_whole_text(
    cut_answers: CutAnswers,
) {
    let answers = Answers {
        framed: Framed::Chunked,
        has_events: true,
        framing_is_last: true,
        segments: 1,
        cut_answers,
    };
    let worker = CuttingWorker::start(answers).await;
    let fleet = start(PlatformOptions::default()).await;
    list_worker(&fleet, worker.address, "engine", "cutting");
    let gateway = fleet.gateways[0].callers;
    let mut jobs = Vec::new();
    for position in (1..MAX_HEAD_BYTES).step_by(ITEM_CUT_INTERVAL) {
        for ending in 0..ENDINGS.len() {
            let job = Cut { position, ending }.id();
            submit(&fleet, gateway, &job, 2).await;
            jobs.push(job);
        }
    }
    for job in &jobs {
        wait_for_all_results(&fleet, gateway, job, 2).await;
        assert_completed(&listed_results(&fleet, gateway, job).await, job, 2);
    }
    let cuts = worker.cuts.load(Ordering::Relaxed);
    println!("{cuts} answers were cut");
    assert!(cuts > 0, "no answer was cut");
}
