//! Tests of single consensus rules that the schedules of the randomised simulation exercise too rarely.
//! Each test was verified to fail with its rule removed from the implementation.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use swiftshunt_ledger::LedgerConfig;
use swiftshunt_ledger::raft::{
    AppendOutcome, ArchiveMark, Entry, GroupConfiguration, LogPosition, Message, Payload, Raft,
    RaftStart, Role,
};
use swiftshunt_ledger::state::{Command, LedgerState};
use swiftshunt_types::{JobId, Monotonic, NodeId};

const OWN: NodeId = NodeId(1);
const SECOND: NodeId = NodeId(2);
const THIRD: NodeId = NodeId(3);

fn replica() -> Raft<LedgerState> {
    let start = RaftStart {
        base: LogPosition::default(),
        configuration: GroupConfiguration::of_voters([OWN, SECOND, THIRD]),
        state: LedgerState::default(),
        archived: ArchiveMark::default(),
    };
    let random = Box::new(SmallRng::seed_from_u64(1));
    Raft::new(OWN, LedgerConfig::default(), start, Duration::ZERO, random)
}

fn heartbeat(term: u64) -> Message<LedgerState> {
    Message::Append {
        term,
        previous: LogPosition::default(),
        entries: Vec::new(),
        commit: 0,
        archived: ArchiveMark::default(),
        sent_at: Duration::ZERO,
    }
}

fn command() -> Command {
    Command::CancelJob {
        job: JobId("job".to_owned()),
        by: "somebody".to_owned(),
    }
}

/// Makes the replica start an election and win it with the votes of the second voter.
fn elect(raft: &mut Raft<LedgerState>, now: Monotonic) {
    raft.tick(now);
    let term = raft.term() + 1;
    raft.receive(
        SECOND,
        Message::PreVoteReply {
            term,
            granted: true,
        },
        now,
    );
    raft.receive(
        SECOND,
        Message::VoteReply {
            term,
            granted: true,
        },
        now,
    );
    assert_eq!(raft.role(), Role::Leader);
    raft.take_messages();
}

#[test]
fn a_vote_is_refused_while_the_leader_lease_may_be_valid() {
    let mut raft = replica();
    raft.receive(SECOND, heartbeat(1), Duration::from_millis(10));
    raft.take_messages();
    let vote = Message::Vote {
        term: 2,
        last: LogPosition { term: 1, index: 9 },
        handed_over: false,
    };
    raft.receive(THIRD, vote, Duration::from_millis(20));
    assert_eq!(
        raft.term(),
        1,
        "the replica changed its term while the leader lease may be valid"
    );
    let refused = raft
        .take_messages()
        .into_iter()
        .any(|envelope| matches!(envelope.message, Message::VoteReply { granted: false, .. }));
    assert!(refused);
}

#[test]
fn a_leader_does_not_regain_its_lease_after_sending_timeout_now() {
    let mut raft = replica();
    let elected_at = Duration::from_secs(2);
    elect(&mut raft, elected_at);
    let caught_up = Message::AppendReply {
        term: raft.term(),
        outcome: AppendOutcome::Matched(1),
        sent_at: elected_at,
    };
    raft.receive(SECOND, caught_up, elected_at);
    raft.transfer_leadership(elected_at);
    let mut now = elected_at;
    let after_transfer_deadline = elected_at + LedgerConfig::default().election_timeout * 3;
    while now < after_transfer_deadline {
        now += Duration::from_millis(50);
        // The second voter acknowledges messages throughout, so that check-quorum does not end the
        // leadership.
        let reply = Message::AppendReply {
            term: raft.term(),
            outcome: AppendOutcome::Matched(1),
            sent_at: now,
        };
        raft.receive(SECOND, reply, now);
        raft.tick(now);
        raft.take_messages();
        assert!(
            !raft.holds_lease(now),
            "the leader regained its lease although a late TimeoutNow may have led to another leader"
        );
    }
    assert_ne!(raft.role(), Role::Leader);
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas() {
    let mut raft = replica();
    let position = LogPosition { term: 1, index: 1 };
    let entries = vec![Entry {
        position,
        payload: Payload::Command(command()),
    }];
    let append = Message::Append {
        term: 1,
        previous: LogPosition::default(),
        entries,
        commit: 0,
        archived: ArchiveMark::default(),
        sent_at: Duration::ZERO,
    };
    raft.receive(SECOND, append, Duration::ZERO);
    elect(&mut raft, Duration::from_secs(2));
    let matched = |index| Message::AppendReply {
        term: 2,
        outcome: AppendOutcome::Matched(index),
        sent_at: Duration::from_secs(2),
    };
    raft.receive(SECOND, matched(1), Duration::from_secs(2));
    assert_eq!(
        raft.commit_index(),
        0,
        "an entry of an earlier term that a majority holds was committed, although a later leader may replace it"
    );
    raft.receive(SECOND, matched(2), Duration::from_secs(2));
    assert_eq!(
        raft.commit_index(),
        2,
        "the leader's entry of its own term did not commit both entries"
    );
}
