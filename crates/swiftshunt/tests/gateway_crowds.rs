//! Crowds of clients with large bodies, most of which stop just short of their end and stay open.
//!
//! Guards against a process that runs out of the memory of its machine, and callers beside the crowd that get no answer.

mod gateway;

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use gateway::{ExclusiveFleet, peak_memory, start};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::{HOST, PlatformCaller};
use swiftshunt_lab::platform::fleet::{
    ASK, BATCH, PlatformOptions, eventually, first_configuration,
};
use swiftshunt_platform::documents::{ItemDocument, JobDocument};
use swiftshunt_platform::words::headers;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Number of clients of a crowd.
const CLIENTS: usize = 60;
/// Largest legal body, in bytes, as the deployments have it.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Size of a body far over the limit.
const EXCESSIVE_BYTES: usize = 64 << 20;
/// Memory of the smallest machine, in MiB.
const MACHINE_MIB: u64 = 48;
/// Open descriptors of a gateway beyond those of the crowd.
const MAX_OTHER_DESCRIPTORS: usize = 200;
/// Time after which a client stops writing to a gateway that reads nothing.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of items of a large job.
const JOB_ITEMS: usize = 20;
/// Deadline of an ordinary request.
const DEADLINE: Duration = Duration::from_secs(10);

/// How the clients of a crowd send a body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sending {
    /// With a length, and one byte less.
    ShortOfLength,
    /// In chunks of this many bytes, without the last chunk.
    WithoutLastChunk(usize),
    /// A legal body, whole.
    Whole,
    /// In chunks of this many bytes, whole.
    WholeInChunks(usize),
    /// A length over the limit, and as many bytes.
    ExcessiveLength,
    /// Chunks over the limit.
    ExcessiveChunks,
}

/// What the body of a request is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Content {
    Question,
    Job,
}

impl Content {
    fn path(self) -> &'static str {
        match self {
            Self::Question => ASK,
            Self::Job => BATCH,
        }
    }

    /// Returns a legal body of about the largest size.
    fn largest(self, id: &str) -> Vec<u8> {
        if self == Self::Question {
            return vec![b'x'; MAX_BODY_BYTES];
        }
        let mut text = job(id, 1);
        let bytes = 1 + (MAX_BODY_BYTES - text.len()) / JOB_ITEMS * 3 / 4 - 8;
        text = job(id, bytes);
        assert!(text.len() <= MAX_BODY_BYTES && text.len() > MAX_BODY_BYTES * 9 / 10);
        text
    }
}

/// Returns a job whose items have bodies of this size.
fn job(id: &str, item_bytes: usize) -> Vec<u8> {
    let items = (0..JOB_ITEMS).map(|item| ItemDocument {
        id: format!("{id}-{item}"),
        path: format!("{BATCH}{item}"),
        headers: Default::default(),
        body: STANDARD.encode(vec![b'x'; item_bytes]),
        tokens: 1.0,
    });
    let document = JobDocument {
        requests: items.collect(),
    };
    serde_json::to_vec(&document).expect("the job cannot be encoded")
}

fn head(content: Content, id: &str, framing: &str) -> String {
    format!(
        "POST {} HTTP/1.1\r\nhost: {HOST}\r\n{}: {id}\r\n{}: 8000\r\n{framing}\r\n\r\n",
        content.path(),
        headers::REQUEST_ID,
        headers::DEADLINE
    )
}

/// Encodes a body in chunks, without the last one.
fn in_chunks(body: &[u8], size: usize) -> Vec<u8> {
    let mut encoded = Vec::with_capacity(body.len() * 2);
    for chunk in body.chunks(size) {
        encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded
}

impl Sending {
    /// Returns the bytes of a request.
    fn request(self, content: Content, id: &str) -> Vec<u8> {
        let chunked = "transfer-encoding: chunked";
        let of_length = |length: usize| format!("content-length: {length}");
        let body = || content.largest(id);
        let (framing, body) = match self {
            Self::ShortOfLength => {
                let mut body = body();
                let length = of_length(body.len());
                body.pop();
                (length, body)
            }
            Self::WithoutLastChunk(size) => (chunked.to_owned(), in_chunks(&body(), size)),
            Self::Whole => (of_length(body().len()), body()),
            Self::WholeInChunks(size) => {
                let chunks = in_chunks(&body(), size);
                (chunked.to_owned(), [&chunks[..], b"0\r\n\r\n"].concat())
            }
            Self::ExcessiveLength => (of_length(EXCESSIVE_BYTES), vec![b'x'; EXCESSIVE_BYTES]),
            Self::ExcessiveChunks => {
                let body = vec![b'x'; EXCESSIVE_BYTES];
                (chunked.to_owned(), in_chunks(&body, 64 << 10))
            }
        };
        [head(content, id, &framing).as_bytes(), &body].concat()
    }
}

/// Sends a request as far as the other side takes it. Returns the connection, if that is still open.
async fn send(address: SocketAddr, request: Vec<u8>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let sent = tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(&request)).await;
    // A side that reads no further keeps the connection open, too.
    let is_closed = matches!(sent, Ok(Err(_)));
    (!is_closed).then_some(stream)
}

/// A crowd of clients whose requests are sent as far as they are taken.
struct Crowd {
    open: Vec<TcpStream>,
}

impl Crowd {
    async fn send(address: SocketAddr, request: impl Fn(usize) -> Vec<u8>) -> Self {
        let mut clients = JoinSet::new();
        for client in 0..CLIENTS {
            clients.spawn(send(address, request(client)));
        }
        let open = clients.join_all().await.into_iter().flatten().collect();
        Self { open }
    }
}

/// Starts one gateway on a machine with little memory, whose configuration allows large bodies.
async fn start_small_machine() -> ExclusiveFleet {
    let mut fleet = start(PlatformOptions {
        gateways: 1,
        extra_settings: format!("[memory]\nlimit_mb = {MACHINE_MIB}"),
        ..PlatformOptions::default()
    })
    .await;
    let mut configuration = first_configuration();
    configuration.limits.max_body_bytes = MAX_BODY_BYTES;
    fleet.configure(configuration);
    assert_largest_body_is_served(&fleet, Content::Question, StatusCode::OK).await;
    fleet
}

/// Waits until one request with the largest legal body is answered with a status.
async fn assert_largest_body_is_served(
    fleet: &ExclusiveFleet,
    content: Content,
    expected: StatusCode,
) {
    let gateway = fleet.gateways[0].callers;
    let what = format!("the largest body is answered with {expected}");
    eventually(&what, || async {
        let id = format!("largest-{:x}", rand::random::<u32>());
        let request = Sending::Whole.request(content, &id);
        let Some(mut stream) = send(gateway, request).await else {
            return false;
        };
        let mut answer = vec![0; 12];
        let read = tokio::time::timeout(DEADLINE, stream.read_exact(&mut answer)).await;
        let status = String::from_utf8_lossy(&answer).into_owned();
        read.is_ok() && status.ends_with(expected.as_str())
    })
    .await;
}

async fn assert_ordinary_request_is_answered(caller: &PlatformCaller, gateway: SocketAddr) {
    eventually("an ordinary request is answered", || async {
        let id = format!("ordinary-{:x}", rand::random::<u32>());
        let answer = caller.ask(gateway, ASK, &id, DEADLINE).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
}

fn open_descriptors(process: u32) -> usize {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
    descriptors.expect("the gateway has ended").count()
}

/// Asserts that the gateway lives and has stayed within its machine.
fn assert_within_machine(fleet: &mut ExclusiveFleet, crowd: &Crowd) {
    let gateway = &mut fleet.gateways[0];
    assert!(gateway.process.is_running(), "the gateway has ended");
    let process = gateway.process.id();
    let (memory, descriptors) = (peak_memory(process), open_descriptors(process));
    println!(
        "{memory} KiB, {descriptors} descriptors, {} of {CLIENTS} open",
        crowd.open.len()
    );
    assert!(memory <= MACHINE_MIB << 10, "{memory} KiB of memory");
    let allowed = CLIENTS + MAX_OTHER_DESCRIPTORS;
    assert!(descriptors <= allowed, "{descriptors} open descriptors");
}

/// Plays a crowd: an ordinary request is answered while it stays, and after it.
async fn play(address: SocketAddr, mut fleet: ExclusiveFleet, request: impl Fn(usize) -> Vec<u8>) {
    let crowd = Crowd::send(address, request).await;
    let gateway = fleet.gateways[0].callers;
    assert_ordinary_request_is_answered(&fleet.caller, gateway).await;
    assert_within_machine(&mut fleet, &crowd);
    drop(crowd);
    assert_ordinary_request_is_answered(&fleet.caller, gateway).await;
    assert_largest_body_is_served(&fleet, Content::Question, StatusCode::OK).await;
    assert_within_machine(&mut fleet, &Crowd { open: Vec::new() });
}

#[test_case(Content::Question, Sending::ShortOfLength; "questions one byte short")]
#[test_case(Content::Question, Sending::WithoutLastChunk(64 << 10); "questions without the last large chunk")]
#[test_case(Content::Question, Sending::WithoutLastChunk(16); "questions without the last small chunk")]
#[test_case(Content::Question, Sending::WithoutLastChunk(1); "questions without the last tiny chunk")]
#[test_case(Content::Question, Sending::Whole; "whole questions")]
#[test_case(Content::Question, Sending::WholeInChunks(16); "whole questions in small chunks")]
#[test_case(Content::Question, Sending::ExcessiveLength; "questions of an excessive length")]
#[test_case(Content::Question, Sending::ExcessiveChunks; "questions in excessive chunks")]
#[test_case(Content::Job, Sending::ShortOfLength; "jobs one byte short")]
#[test_case(Content::Job, Sending::WithoutLastChunk(64 << 10); "jobs without the last large chunk")]
#[test_case(Content::Job, Sending::Whole; "whole jobs")]
#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_of_large_bodies_leaves_a_gateway_within_its_memory(
    content: Content,
    sending: Sending,
) {
    let fleet = start_small_machine().await;
    let gateway = fleet.gateways[0].callers;
    play(gateway, fleet, |client| {
        sending.request(content, &format!("crowd-{client}"))
    })
    .await;
}

/// The other listeners, none of which is meant for callers.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Ready,
    Metrics,
    Peers,
}

#[test_case(Listener::Ready, "/v1/ready"; "readiness")]
#[test_case(Listener::Metrics, "/metrics"; "metrics")]
#[test_case(Listener::Peers, "/peer/log"; "relayed calls to the log")]
#[test_case(Listener::Peers, "/peer/tail"; "tails of the log")]
#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_of_large_bodies_at_another_listener_leaves_a_gateway_within_its_memory(
    listener: Listener,
    path: &str,
) {
    let fleet = start_small_machine().await;
    let address = match listener {
        Listener::Ready => fleet.gateways[0].ready,
        Listener::Metrics => fleet.gateways[0].metrics,
        Listener::Peers => fleet.gateways[0].peers,
    };
    play(address, fleet, |_| {
        let length = MAX_BODY_BYTES;
        let head =
            format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {length}\r\n\r\n");
        [head.as_bytes(), &vec![b'x'; length - 1]].concat()
    })
    .await;
}

#[test_case(Content::Question)]
#[test_case(Content::Job)]
#[tokio::test(flavor = "multi_thread")]
async fn a_length_beyond_the_limit_is_refused_before_the_body_is_sent(content: Content) {
    let fleet = start_small_machine().await;
    let framing = format!("content-length: {}", MAX_BODY_BYTES + 1);
    let request = head(content, "too-long", &framing);
    let mut stream = send(fleet.gateways[0].callers, request.into_bytes())
        .await
        .expect("no connection");
    let mut answer = vec![0; 12];
    let read = tokio::time::timeout(DEADLINE, stream.read_exact(&mut answer)).await;
    assert!(read.is_ok(), "the body is awaited");
    assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 413");
}

/// The largest legal bodies, one at a time.
#[tokio::test(flavor = "multi_thread")]
async fn the_smallest_machine_serves_the_largest_legal_bodies_in_calm() {
    let mut fleet = start_small_machine().await;
    for _ in 0..4 {
        assert_largest_body_is_served(&fleet, Content::Question, StatusCode::OK).await;
        assert_largest_body_is_served(&fleet, Content::Job, StatusCode::ACCEPTED).await;
    }
    assert_within_machine(&mut fleet, &Crowd { open: Vec::new() });
}
