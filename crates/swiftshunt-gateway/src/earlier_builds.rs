//! Bytes of an earlier build, and what they must mean to this one: gateways of both run side by side while one
//! replaces the other. A build writes its bytes by `cargo test -p swiftshunt-gateway -- --ignored write_corpus` into the
//! file that `SWIFTSHUNT_CORPUS` names.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ciborium::cbor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use swiftshunt_jobs::{ItemOutcome, ItemSpec, JobRecord, JobSpec, Progress, Settled};
use swiftshunt_journal::{
    AppendOutcome, Assembly, KeyedRecord, Lease, LogError, NewestPage, ReadOutcome, TailPart,
    Topic, frames,
};
use swiftshunt_scheduler::prompt_memory::PromptPart;
use swiftshunt_scheduler::quarantine::{Evidence, Fingerprint, Tried, WorkerEnd};
use swiftshunt_scheduler::rates::bucket::{self, Left};
use swiftshunt_scheduler::slots::book::NotPlaced;
use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::prompts::Reading;
use swiftshunt_scheduler::slots::{Bid, Held, Rank, Report, Waiting, WorkerKey};
use swiftshunt_types::{RateLimit, TenantName};

use crate::log_relay::message::{LogAnswer, LogCall};
use crate::messages::Notice;
use crate::messages::quarantine::QuarantineMessage;
use crate::messages::rates::{CounterAnswer, RateMessage, VersionedLimit};
use crate::messages::slots::{Assigned, SlotMessage, SlotRequest};
use crate::messages::waiting::{Allowance, WaitingMessage};
use crate::tails::message::TailCall;

/// Bytes of the build that runs in production: a name and hexadecimal digits a line.
const CORPUS: &str = include_str!("../corpus/77ba4fc.txt");
/// A settings file of that build.
const SETTINGS: &str = include_str!("../corpus/77ba4fc.toml");
/// Where this build writes its own bytes.
const WRITTEN_TO: &str = "SWIFTSHUNT_CORPUS";
/// The nonce of the framed record.
const NONCE: u64 = 7;
/// Most bytes of a frame: so few that the record takes several.
const FRAME_BYTES: usize = 600;

/// Goes through the values of which a corpus has bytes.
trait Visitor {
    fn entry<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug;
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("a form");
    bytes
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(digits: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Entries of a corpus by name.
fn entries(corpus: &str) -> BTreeMap<&str, Vec<u8>> {
    let lines = corpus.lines().filter_map(|line| line.split_once(' '));
    lines
        .map(|(name, digits)| (name, bytes_of(digits)))
        .collect()
}

/// The bytes of an entry of the corpus.
pub(crate) fn entry(name: &str) -> Vec<u8> {
    entries(CORPUS).remove(name).expect("an entry")
}

#[derive(Default)]
struct Writer(String);

impl Writer {
    fn line(&mut self, name: &str, bytes: &[u8]) {
        self.0 += &format!("{name} {}\n", hexadecimal(bytes));
    }
}

impl Visitor for Writer {
    fn entry<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        self.line(name, &encoded(&value));
    }
}

/// Reads each entry and compares it with what it must mean.
struct Reader<'c> {
    corpus: BTreeMap<&'c str, Vec<u8>>,
    read: usize,
}

impl Visitor for Reader<'_> {
    fn entry<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let bytes = self.corpus.get(name).expect(name);
        let read: T = ciborium::from_reader(bytes.as_slice()).expect(name);
        assert_eq!(read, value, "{name}");
        self.read += 1;
    }
}

/// Compares the bytes that this build writes with those of the earlier one.
struct Comparison<'c>(BTreeMap<&'c str, Vec<u8>>);

impl Visitor for Comparison<'_> {
    fn entry<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let before = hexadecimal(&self.0[name]);
        assert_eq!(hexadecimal(&encoded(&value)), before, "{name}");
    }
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_000))
}

fn tenant() -> TenantName {
    TenantName::from("tenant-1")
}

fn fingerprint() -> Fingerprint {
    Fingerprint::of(&Tried {
        caller: "tenant-1",
        host: "host",
        method: "POST",
        path: "/once/1",
        body: b"body",
    })
}

fn cell() -> Cell {
    plain_cell("engine", 4, 2)
}

fn parts() -> Vec<PromptPart> {
    vec![
        PromptPart {
            id: 11,
            tokens: 200,
        },
        PromptPart {
            id: u64::MAX,
            tokens: 250,
        },
    ]
}

fn report() -> Report {
    Report {
        life: 5,
        number: 6,
        seen: 7,
        held: vec![(
            WorkerKey(8),
            Held {
                online: 2,
                batch: 1,
            },
        )],
        waiting: Waiting {
            items: 3,
            first: Rank {
                is_late: true,
                due_in_ms: -12,
            },
        },
    }
}

fn end() -> WorkerEnd {
    plain_end(9, 1_700_000_000_000, 1_700_000_000_250)
}

fn slots(visitor: &mut impl Visitor) {
    let mut entry = |name: &str, message| {
        visitor.entry(&format!("slots-{name}"), Notice::Slots(message));
    };
    entry(
        "report",
        SlotMessage::Report {
            cell: cell(),
            report: report(),
            answer: true,
        },
    );
    entry("noted", SlotMessage::Noted);
    let request = |in_time| SlotRequest {
        bids: vec![Bid {
            worker: WorkerKey(8),
            cost_ms: 40,
        }],
        parts: parts(),
        tokens: 450,
        may_wait: true,
        in_time,
        may_repeat: false,
    };
    let ask = |in_time| SlotMessage::Ask {
        ask: 21,
        cell: cell(),
        report: report(),
        request: request(in_time),
    };
    entry("ask", ask(Some(Duration::from_millis(150))));
    entry("ask-any-time", ask(None));
    let assigned = Assigned {
        worker: WorkerKey(8),
        number: 22,
        waits: true,
        frees: false,
        reading: Reading {
            missing_tokens: 250,
            time: Duration::from_millis(3),
        },
    };
    let answer = |verdict| SlotMessage::Assigned {
        ask: 21,
        verdict,
        elsewhere: None,
    };
    entry("assigned", answer(Ok(assigned)));
    entry("no-worker", answer(Err(NotPlaced::NoWorker)));
    entry("full", answer(Err(NotPlaced::Full)));
    entry(
        "grant",
        SlotMessage::Grant {
            cell: cell(),
            worker: WorkerKey(8),
            number: 23,
        },
    );
    let worker = WorkerKey(8);
    entry("step-aside", SlotMessage::StepAside { worker });
    let cell = cell();
    entry("send-failed", SlotMessage::SendFailed { cell, worker });
}

fn waiting(visitor: &mut impl Visitor) {
    let mut entry = |name: &str, message| {
        visitor.entry(&format!("waiting-{name}"), Notice::Waiting(message));
    };
    let allowance = |tenant| Allowance {
        route: "batch".to_owned(),
        tenant,
    };
    let report = |tenant| WaitingMessage::Report {
        allowance: allowance(tenant),
        partitions: vec![(0, 100), (3, 7)],
    };
    entry("report", report(Some(tenant())));
    entry("report-of-nobody", report(None));
    entry(
        "ask",
        WaitingMessage::Ask {
            ask: 31,
            allowance: allowance(Some(tenant())),
            job: "job-1".to_owned(),
            tokens: 500,
            limit: 9_000,
        },
    );
    entry(
        "answer",
        WaitingMessage::Answer {
            ask: 31,
            fits: true,
            waiting: 600,
        },
    );
}

fn rates(visitor: &mut impl Visitor) {
    let mut entry = |name: &str, message| {
        visitor.entry(&format!("rate-{name}"), Notice::Rate(message));
    };
    let limit = RateLimit {
        per_second: 12.5,
        burst: 4.0,
    };
    let ask = |left_elsewhere| RateMessage::Ask {
        ask: 41,
        tenant: tenant(),
        question: bucket::Question {
            need: 1,
            ahead: 2,
            held: 3,
            unused: 4,
            recent: 5,
            spent_alone: 0,
            share: None,
            by_all: 6,
            left_elsewhere,
        },
        limit: VersionedLimit::new(limit, 17),
    };
    entry("ask", ask(None));
    let left = Left {
        requests: 8,
        age: Duration::from_millis(90),
    };
    entry("ask-after-another", ask(Some(left)));
    let answer = |answer| RateMessage::Answer { ask: 41, answer };
    let counted = |verdict| answer(CounterAnswer::Counted(verdict));
    entry(
        "granted",
        counted(bucket::Verdict::Granted {
            credits: 3,
            recent: 20,
            left: 4,
        }),
    );
    entry(
        "exhausted",
        counted(bucket::Verdict::Exhausted {
            again_after: Duration::from_millis(120),
            recent: 20,
        }),
    );
    entry("alone", counted(bucket::Verdict::DecideAlone));
    entry("counted-by", answer(CounterAnswer::CountedBy(address(3))));
    entry("not-yet", answer(CounterAnswer::NotYet));
    entry("ping", RateMessage::Ping);
    entry("pong", RateMessage::Pong);
}

fn quarantine(visitor: &mut impl Visitor) {
    let mut entry = |name: &str, message| {
        visitor.entry(&format!("quarantine-{name}"), Notice::Quarantine(message));
    };
    let fingerprint = fingerprint();
    let ended = QuarantineMessage::Ended {
        fingerprint,
        end: end(),
    };
    entry("ended", ended);
    entry("ran-well", QuarantineMessage::RanWell { fingerprint });
    let ends = vec![end(), plain_end(10, 1, 2)];
    entry("held", QuarantineMessage::Held { fingerprint, ends });
}

fn log_calls(visitor: &mut impl Visitor) {
    let mut entry = |name: &str, call: LogCall| visitor.entry(&format!("call-{name}"), call);
    let key = b"key".to_vec();
    entry(
        "append",
        LogCall::Append {
            topic: Topic::Jobs,
            partition: 2,
            records: vec![(key.clone(), Bytes::from_static(b"value"))],
        },
    );
    entry(
        "read",
        LogCall::Read {
            topic: Topic::Configuration,
            partition: 0,
            from: 77,
            wait: Duration::from_millis(2_500),
        },
    );
    for (name, topic) in [("workers", Topic::Workers), ("gateways", Topic::Gateways)] {
        let call = LogCall::Newest {
            topic,
            partition: 0,
            after: Some(key.clone()),
        };
        entry(&format!("newest-{name}"), call);
    }
    let first = LogCall::Newest {
        topic: Topic::Quarantine,
        partition: 0,
        after: None,
    };
    entry("newest-quarantine", first);
    let (topic, member) = (Topic::Jobs, MEMBER.to_owned());
    let renewal = LogCall::Renew {
        topic,
        member: member.clone(),
        ttl: Duration::from_secs(1),
        generation: 4,
    };
    entry("renew", renewal);
    entry("owners", LogCall::Owners { topic });
    entry("leave", LogCall::Leave { topic, member });
}

fn log_answers(visitor: &mut impl Visitor) {
    let mut entry =
        |name: &str, answer: LogAnswer| visitor.entry(&format!("answer-{name}"), answer);
    entry(
        "appended",
        LogAnswer::Appended(AppendOutcome::Done { end: 9 }),
    );
    entry("refused", LogAnswer::Appended(AppendOutcome::Refused));
    entry("unknown", LogAnswer::Appended(AppendOutcome::Unknown));
    let record = KeyedRecord {
        offset: 8,
        key: b"key".to_vec(),
        value: Bytes::from_static(b"value"),
    };
    let records = vec![record];
    let read = ReadOutcome::Records {
        records: records.clone(),
        end: 9,
    };
    entry("read", LogAnswer::Read(Ok(read)));
    entry("dropped", LogAnswer::Read(Ok(ReadOutcome::Dropped)));
    let refused = LogError::Refused { status: 429 };
    entry("read-refused", LogAnswer::Read(Err(refused)));
    let page = NewestPage {
        records,
        more: true,
        end: 9,
    };
    entry("newest", LogAnswer::Newest(Ok(page)));
    let reason = "reason".to_owned();
    let unreachable = LogError::Unreachable {
        reason: reason.clone(),
    };
    entry("newest-unreachable", LogAnswer::Newest(Err(unreachable)));
    let lease = Lease {
        generation: 4,
        partitions: vec![0, 3],
    };
    entry("renewed", LogAnswer::Renewed(Ok(lease)));
    let owners = BTreeMap::from([(2, MEMBER.to_owned())]);
    entry("owners", LogAnswer::Owners(Ok(owners)));
    let unanswered = LogError::Unanswered { reason };
    entry("owners-unanswered", LogAnswer::Owners(Err(unanswered)));
    entry("left", LogAnswer::Left(Ok(())));
}

fn tails(visitor: &mut impl Visitor) {
    let call = TailCall {
        topic: Topic::Workers,
        from: 12,
        wait: Duration::from_secs(2),
    };
    visitor.entry("tail-call", call);
    let part = |returned_ago| TailPart {
        records: vec![KeyedRecord {
            offset: 12,
            key: b"worker-1".to_vec(),
            value: Bytes::from_static(b"{}"),
        }],
        next: 13,
        returned_ago,
    };
    visitor.entry("tail-part", part(None));
    visitor.entry("tail-part-after-outage", part(Some(Duration::from_secs(1))));
}

fn accepted(tenant: Option<TenantName>) -> JobRecord {
    let item = |number: u32| ItemSpec {
        id: format!("item-{number}"),
        path: "/batch/1".to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: Bytes::from_static(b"{\"prompt\":[1,2]}"),
        tokens: 350,
    };
    JobRecord::Accepted(JobSpec {
        id: "job-1".to_owned(),
        host: "host".to_owned(),
        path: "/batch/".to_owned(),
        items: (0..3).map(item).collect(),
        taken_unix_ms: 1_700_000_000_000,
        tenant,
        route: None,
    })
}

fn jobs(visitor: &mut impl Visitor) {
    let mut entry = |name: &str, record: JobRecord| visitor.entry(&format!("job-{name}"), record);
    entry("accepted", accepted(Some(tenant())));
    entry("accepted-of-nobody", accepted(None));
    let job = "job-1".to_owned();
    let settled = |item, outcome, text: &str| Settled {
        item,
        outcome,
        text: text.to_owned(),
    };
    entry(
        "settled",
        JobRecord::Settled {
            job: job.clone(),
            results: vec![
                settled(0, ItemOutcome::Completed, "output"),
                settled(1, ItemOutcome::GivenUp, ""),
            ],
        },
    );
    let progress = Progress {
        item: 2,
        last_event: 5,
        text: "so far".to_owned(),
        failures: 1,
    };
    entry(
        "handed-over",
        JobRecord::HandedOver {
            job: job.clone(),
            progress: vec![progress],
        },
    );
    entry("ended", JobRecord::Ended { job });
}

fn all(visitor: &mut impl Visitor) {
    let reading = Notice::Reading {
        worker: "engine-1".to_owned(),
        missing: 250,
        parts: parts(),
    };
    visitor.entry("reading", reading);
    visitor.entry("here", plain_here(address(2)));
    slots(visitor);
    waiting(visitor);
    rates(visitor);
    quarantine(visitor);
    log_calls(visitor);
    log_answers(visitor);
    tails(visitor);
    jobs(visitor);
}

fn framed() -> Vec<(Vec<u8>, Bytes)> {
    frames("job-1", NONCE, &accepted(Some(tenant())), FRAME_BYTES).expect("frames")
}

/// A name of a group's member.
pub(crate) const MEMBER: &str = "10.0.0.2:7000/00000000000000ab";

fn plain_here(from: SocketAddr) -> Notice {
    Notice::Here { from, zone: None }
}

fn plain_cell(service: &str, count: u32, index: u32) -> Cell {
    Cell {
        service: service.to_owned(),
        region: None,
        count,
        index,
    }
}

fn plain_end(worker: u64, sent_unix_ms: u64, ended_unix_ms: u64) -> WorkerEnd {
    WorkerEnd {
        worker: WorkerKey(worker),
        sent_unix_ms,
        ended_unix_ms,
        evidence: Evidence::Suspected,
    }
}

/// Messages with fields that the earlier build does not know, for it to read.
fn with_new_fields(writer: &mut Writer) {
    let here = Notice::Here {
        from: address(2),
        zone: Some("zone-a".to_owned()),
    };
    writer.line("here", &encoded(&here));
    let cell = Cell {
        region: Some("region-1".into()),
        ..cell()
    };
    let worker = WorkerKey(8);
    let failed = SlotMessage::SendFailed { cell, worker };
    writer.line("slots-send-failed", &encoded(&Notice::Slots(failed)));
}

#[test]
fn what_the_build_in_production_writes_means_the_same() {
    let mut reader = Reader {
        corpus: entries(CORPUS),
        read: 0,
    };
    all(&mut reader);
    let framed = framed().len();
    let texts = [
        "member",
        "gateway-record",
        "quarantine-key",
        "quarantine-value",
    ];
    assert_eq!(
        reader.read + 2 * framed + texts.len(),
        reader.corpus.len(),
        "entries that nobody reads"
    );
}

#[test]
fn a_job_that_it_cut_into_frames_is_put_together() {
    let mut assembly = Assembly::default();
    let count = framed().len();
    assert!(count > 1);
    for index in 0..count {
        let key = entry(&format!("frame-key-{index}"));
        let value = entry(&format!("frame-{index}"));
        let logical = assembly.take::<JobRecord>(key, &value).expect("a frame");
        let is_last = index + 1 == count;
        assert_eq!(logical.is_some(), is_last, "frame {index}");
        if let Some(logical) = logical {
            assert_eq!(logical.record, accepted(Some(tenant())));
        }
    }
}

#[test]
fn what_knows_no_new_word_is_written_as_before() {
    all(&mut Comparison(entries(CORPUS)));
    for (index, (key, value)) in framed().into_iter().enumerate() {
        assert_eq!(key, entry(&format!("frame-key-{index}")));
        assert_eq!(value, entry(&format!("frame-{index}")));
    }
}

#[test]
fn its_settings_are_read() {
    let settings = crate::GatewaySettings::parse("77ba4fc.toml", SETTINGS).expect("settings");
    assert_eq!(settings.name, "gateway-0");
    assert_eq!(settings.zone, "zone-a");
    assert!(settings.zones.is_empty());
    assert_eq!(settings.batch.lease, Duration::from_secs(1));
    assert_eq!(settings.log.partitions, 4);
}

#[test]
fn kinds_and_fields_of_later_builds_do_no_harm() {
    let unknown = cbor!({ "Later" => { "what" => 1 } }).expect("a value");
    let unknown = encoded(&unknown);
    assert!(ciborium::from_reader::<Notice, _>(unknown.as_slice()).is_err());
    let more = cbor!({ "Reading" => {
        "worker" => "engine-1", "missing" => 250, "parts" => [], "later" => 1
    } });
    let more = encoded(&more.expect("a value"));
    let read: Notice = ciborium::from_reader(more.as_slice()).expect("a notice");
    let expected = Notice::Reading {
        worker: "engine-1".to_owned(),
        missing: 250,
        parts: Vec::new(),
    };
    assert_eq!(read, expected);
}

#[test]
#[ignore = "writes this build's bytes into the file that SWIFTSHUNT_CORPUS names"]
fn write_corpus() {
    let mut writer = Writer::default();
    all(&mut writer);
    for (index, (key, value)) in framed().into_iter().enumerate() {
        writer.line(&format!("frame-key-{index}"), &key);
        writer.line(&format!("frame-{index}"), &value);
    }
    with_new_fields(&mut writer);
    let file = std::env::var(WRITTEN_TO).expect("a file's name");
    std::fs::write(file, writer.0).expect("written");
}
