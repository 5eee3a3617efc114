//! Each caller gets the complete answer to its own request although an engine fails.

mod common;

use std::time::Duration;

use common::start_fleet;
use futures_util::future::join_all;
use swiftshunt_lab::caller::prompt_for;
use swiftshunt_lab::engine::expected_answer;
use swiftshunt_lab::harness::{Fleet, FleetOptions, MODEL, eventually};
use swiftshunt_lab::proxy::Fault;
use test_case::test_case;

const CALLERS: usize = 220;
const MAX_TOKENS: u32 = 60;

/// Opens a stream for each caller and asserts that it is the complete answer to the caller's prompt.
async fn ask_all(fleet: &Fleet, round: &str) {
    let callers = (0..CALLERS).map(|index| {
        let node = fleet.nodes[index % fleet.nodes.len()].api;
        let content = format!("{round}: caller {index}");
        async move {
            let (expected, _) = expected_answer(&prompt_for(&content), MAX_TOKENS);
            let streamed = fleet
                .tenant
                .chat_stream(node, MODEL, &content, MAX_TOKENS)
                .await;
            let streamed = streamed.expect("the stream failed");
            assert_eq!(streamed.error, None, "caller {index}");
            assert_eq!(streamed.text, expected, "caller {index}");
            assert!(
                streamed.is_complete,
                "the stream of caller {index} has no end"
            );
        }
    });
    join_all(callers).await;
}

fn options(name: &'static str) -> FleetOptions {
    FleetOptions {
        engines: 6,
        // The engines duplicate events, as if answers arrived twice.
        engine_flags: vec!["--duplicate-every".to_owned(), "7".to_owned()],
        // Each stream of a failed engine needs a retry, so the retry budget must not limit them.
        settings: "[scheduler]\nretry_burst = 1000.0\ntoken_timeout = \"1s\"\n".to_owned(),
        ..FleetOptions::new(name)
    }
}

#[derive(Clone, Copy)]
enum EngineFailure {
    Kill,
    Pause,
    Link(Fault),
}

#[test_case(EngineFailure::Kill; "engine killed")]
#[test_case(EngineFailure::Pause; "engine paused")]
#[test_case(EngineFailure::Link(Fault::Cut); "link cut")]
#[test_case(EngineFailure::Link(Fault::DropAnswers); "answers dropped")]
#[test_case(EngineFailure::Link(Fault::Delay(Duration::from_millis(40))); "answers delayed")]
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_complete_although_their_engine_fails(failure: EngineFailure) {
    let mut fleet = start_fleet(options("whole_answers")).await;
    let direct = fleet.engines[0].direct_address;
    let operator = fleet.operator.clone();
    let streams_run = || async {
        let load = operator.get(direct, "/v1/load").await.ok()?.json();
        (load["running"].as_u64()? >= 4).then_some(())
    };
    {
        let fleet = &*fleet;
        let cause_failure = async {
            eventually("streams run on the engine", streams_run).await;
            match failure {
                EngineFailure::Kill | EngineFailure::Pause => fleet.engines[0].process.pause(),
                EngineFailure::Link(fault) => fleet.engines[0].link.set_fault(fault),
            }
            if matches!(failure, EngineFailure::Kill) {
                fleet.engines[0].process.signal_kill();
            }
        };
        tokio::join!(ask_all(fleet, "mishap"), cause_failure);
    }
    fleet.engines[0].process.kill();
    ask_all(&fleet, "after").await;
}
