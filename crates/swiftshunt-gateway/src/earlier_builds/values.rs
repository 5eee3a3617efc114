//! Sample values of the messages between gateways and the log records that the earlier build knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use swiftshunt_jobs::{ItemOutcome, ItemSpec, JobRecord, JobSpec, Progress, Settled};
use swiftshunt_journal::{
    AppendOutcome, KeyedRecord, Lease, LogError, NewestPage, ReadOutcome, TailPart, Topic, frames,
};
use swiftshunt_scheduler::prefix_cache::PromptPart;
use swiftshunt_scheduler::quarantine::{Evidence, Fingerprint, RequestIdentity, WorkerEnd};
use swiftshunt_scheduler::rates::bucket::{self, RemainingCredits};
use swiftshunt_scheduler::slots::allocator::PlacementError;
use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::prompts::PrefillEstimate;
use swiftshunt_scheduler::slots::{Bid, HeldSlots, Rank, SlotReport, WaitingItems, WorkerKey};
use swiftshunt_types::{RateLimit, TenantName};

use crate::log_relay::message::{LogAnswer, LogCall};
use crate::messages::Notice;
use crate::messages::quarantine::QuarantineMessage;
use crate::messages::rates::{CounterAnswer, RateMessage, VersionedLimit};
use crate::messages::slots::{Assigned, SlotMessage, SlotRequest};
use crate::messages::waiting::{Allowance, WaitingMessage};
use crate::tails::message::TailCall;

use super::{FRAME_BYTES, NONCE, Visitor};

pub(super) fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_000))
}

pub(super) fn tenant() -> TenantName {
    TenantName::from("tenant-1")
}

fn fingerprint() -> Fingerprint {
    Fingerprint::of(&RequestIdentity {
        caller: "tenant-1",
        host: "host",
        method: "POST",
        path: "/once/1",
        body: b"body",
    })
}

pub(super) fn cell() -> Cell {
    cell_without_region("engine", 4, 2)
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

pub(super) fn report() -> SlotReport {
    SlotReport {
        life: 5,
        number: 6,
        seen: 7,
        held: vec![(
            WorkerKey(8),
            HeldSlots {
                online: 2,
                batch: 1,
            },
        )],
        waiting: WaitingItems {
            items: 3,
            first: Rank {
                is_late: true,
                due_in_ms: -12,
            },
        },
    }
}

pub(super) fn end() -> WorkerEnd {
    suspected_end(9, 1_700_000_000_000, 1_700_000_000_250)
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
    let request = |max_wait| SlotRequest {
        for_item: false,
        bids: vec![Bid {
            worker: WorkerKey(8),
            cost_ms: 40,
        }],
        parts: parts(),
        tokens: 450,
        may_wait: true,
        max_wait,
        may_repeat: false,
    };
    let ask = |max_wait| SlotMessage::Ask {
        ask: 21,
        cell: cell(),
        report: report(),
        request: request(max_wait),
    };
    entry("ask", ask(Some(Duration::from_millis(150))));
    entry("ask-any-time", ask(None));
    let assigned = Assigned {
        worker: WorkerKey(8),
        number: 22,
        waits: true,
        frees: false,
        reading: PrefillEstimate {
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
    entry("no-worker", answer(Err(PlacementError::NoWorker)));
    entry("full", answer(Err(PlacementError::Full)));
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
        question: bucket::CreditRequest {
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
    let left = RemainingCredits {
        requests: 8,
        age: Duration::from_millis(90),
    };
    entry("ask-after-another", ask(Some(left)));
    let answer = |answer| RateMessage::Answer { ask: 41, answer };
    let counted = |verdict| answer(CounterAnswer::Counted(verdict));
    entry(
        "granted",
        counted(bucket::CreditResponse::Granted {
            credits: 3,
            recent: 20,
            left: 4,
        }),
    );
    entry(
        "exhausted",
        counted(bucket::CreditResponse::Exhausted {
            again_after: Duration::from_millis(120),
            recent: 20,
        }),
    );
    entry("alone", counted(bucket::CreditResponse::DecideAlone));
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
        runs: None,
        report: None,
    };
    entry("ended", ended);
    let ran_well = QuarantineMessage::RanWell {
        fingerprint,
        runs: None,
    };
    entry("ran-well", ran_well);
    let ends = vec![end(), suspected_end(10, 1, 2)];
    let held = QuarantineMessage::Held {
        fingerprint,
        ends,
        report: None,
    };
    entry("held", held);
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

pub(super) fn accepted(tenant: Option<TenantName>) -> JobRecord {
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
        configuration_version: None,
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
        origin: None,
    };
    entry(
        "handed-over",
        JobRecord::HandedOver {
            job: job.clone(),
            progress: vec![progress],
            failed_runs: Vec::new(),
        },
    );
    entry("ended", JobRecord::Ended { job });
}

pub(super) fn visit_all(visitor: &mut impl Visitor) {
    let reading = Notice::Reading {
        worker: "engine-1".to_owned(),
        missing: 250,
        parts: parts(),
    };
    visitor.entry("reading", reading);
    visitor.entry("here", here_without_zone(address(2)));
    slots(visitor);
    waiting(visitor);
    rates(visitor);
    quarantine(visitor);
    log_calls(visitor);
    log_answers(visitor);
    tails(visitor);
    jobs(visitor);
}

pub(super) fn framed() -> Vec<(Vec<u8>, Bytes)> {
    frames("job-1", NONCE, &accepted(Some(tenant())), FRAME_BYTES)
        .expect("cannot split the record into frames")
}

/// The name of a gateway process as a member of a group that shares partitions.
pub(crate) const MEMBER: &str = "10.0.0.2:7000/00000000000000ab";

pub(super) fn here_without_zone(from: SocketAddr) -> Notice {
    Notice::Here { from, zone: None }
}

pub(super) fn cell_without_region(service: &str, count: u32, index: u32) -> Cell {
    Cell {
        service: service.to_owned(),
        region: None,
        count,
        index,
    }
}

pub(super) fn suspected_end(worker: u64, sent_unix_ms: u64, ended_unix_ms: u64) -> WorkerEnd {
    WorkerEnd {
        worker: WorkerKey(worker),
        sent_unix_ms,
        ended_unix_ms,
        evidence: Evidence::Suspected,
        part: None,
    }
}
