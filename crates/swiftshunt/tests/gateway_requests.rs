//! Requests and streams through gateways with simulated workers, also while workers fail.

mod gateway;

use std::time::Duration;

use gateway::{assert_all_events, start};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{
    ASK, ONCE, PlatformOptions, STREAM, STREAM_ONCE, eventually, first_configuration,
    weighted_split,
};
use swiftshunt_lab::platform::worker::WorkerBehaviour;
use swiftshunt_platform::words::headers;
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(6);

#[tokio::test(flavor = "multi_thread")]
async fn responses_are_forwarded_unchanged() {
    let fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    let answer = fleet.caller.ask(gateway, "/ask/x", "r1", DEADLINE).await;
    let answer = answer.expect("no response");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body, "answer to r1");
    assert!(answer.headers.contains_key(headers::SIGNATURE));
    let runs = fleet.runs_of("r1");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].path, "/ask/x");
    let deadline_ms = runs[0]
        .deadline_ms
        .expect("the worker received no deadline");
    assert!(deadline_ms <= DEADLINE.as_millis() as u64);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_arrive_complete() {
    let fleet = start(PlatformOptions::default()).await;
    for path in [STREAM, STREAM_ONCE] {
        let gateway = fleet.gateways[0].callers;
        let answer = fleet.caller.ask(gateway, path, "s1", DEADLINE).await;
        let answer = answer.expect("no response");
        assert_eq!(answer.status, StatusCode::OK);
        assert_all_events(&answer.body, "s1", 8);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_are_not_found() {
    let fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    let answer = fleet.caller.ask(gateway, "/nothing/", "r1", DEADLINE).await;
    assert_eq!(answer.expect("no response").status, StatusCode::NOT_FOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_without_a_configuration_is_not_ready_and_answers_503_with_retry_after() {
    let mut fleet = start(PlatformOptions::default()).await;
    let listener = fleet.gateways[0].store_listener.clone();
    listener.set_faults(gateway::unresponsive_log());
    fleet.restart(0).expect("the gateway did not start");
    let gateway = &fleet.gateways[0];
    let answer = fleet.caller.ask(gateway.callers, ASK, "r1", DEADLINE).await;
    let answer = answer.expect("no response");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(!fleet.caller.is_ready(gateway.ready).await);
    assert!(fleet.runs_of("r1").is_empty());
}

#[test_case(WorkerBehaviour::CloseWithoutAnswer; "lost answers")]
#[test_case(WorkerBehaviour::Fail; "failed runs")]
#[test_case(WorkerBehaviour::Unsigned; "answers without a signature")]
#[test_case(WorkerBehaviour::AnswerOtherRequestId; "answers to other requests")]
#[test_case(WorkerBehaviour::RunAndAnswer503; "503 without the statement that the request did not run")]
#[test_case(WorkerBehaviour::Decline; "workers that decline the request")]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_is_retried_at_another_worker(behaviour: WorkerBehaviour) {
    let fleet = start(PlatformOptions::default()).await;
    fleet.whole_workers[0].set_behaviour(behaviour);
    for number in 0..12 {
        let id = format!("r{number}");
        let gateway = fleet.gateways[0].callers;
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        let answer = answer.expect("no response");
        assert_eq!(answer.status, StatusCode::OK, "{id}");
        assert_eq!(answer.body, format!("answer to {id}"));
    }
}

#[test_case(ONCE, WorkerBehaviour::CloseWithoutAnswer; "lost answers")]
#[test_case(ONCE, WorkerBehaviour::AnswerOtherRequestId; "answers to other requests")]
#[test_case(ONCE, WorkerBehaviour::RunAndAnswer503; "503 without the statement that the request did not run")]
#[test_case(STREAM_ONCE, WorkerBehaviour::TruncateStreamAfter(0); "streams without an event")]
#[test_case(STREAM_ONCE, WorkerBehaviour::CloseWithoutAnswer; "lost streams")]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_be_repeated_runs_once_and_gets_502(
    path: &str,
    behaviour: WorkerBehaviour,
) {
    let fleet = start(PlatformOptions::default()).await;
    for worker in fleet.whole_workers.iter().chain(&fleet.engine_workers) {
        worker.set_behaviour(behaviour);
    }
    for number in 0..8 {
        let id = format!("r{number}");
        let gateway = fleet.gateways[0].callers;
        let answer = fleet.caller.ask(gateway, path, &id, DEADLINE).await;
        let status = answer.expect("no response").status;
        assert_eq!(status, StatusCode::BAD_GATEWAY, "{id}");
        assert_eq!(fleet.runs_of(&id).len(), 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_all_workers_decline_gets_503_early_and_never_runs() {
    let fleet = start(PlatformOptions::default()).await;
    for worker in &fleet.whole_workers {
        worker.set_behaviour(WorkerBehaviour::Decline);
    }
    let sent_at = std::time::Instant::now();
    let gateway = fleet.gateways[0].callers;
    let answer = fleet.caller.ask(gateway, ONCE, "r1", DEADLINE).await;
    let answer = answer.expect("no response");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(fleet.runs_of("r1").is_empty());
    assert!(sent_at.elapsed() < DEADLINE / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_resumable_stream_is_resumed_at_another_worker() {
    let fleet = start(PlatformOptions::default()).await;
    fleet.engine_workers[0].set_behaviour(WorkerBehaviour::TruncateStreamAfter(3));
    for number in 0..8 {
        let id = format!("s{number}");
        let gateway = fleet.gateways[0].callers;
        let answer = fleet.caller.ask(gateway, STREAM, &id, DEADLINE).await;
        let answer = answer.expect("no complete response");
        assert_eq!(answer.status, StatusCode::OK);
        assert_all_events(&answer.body, &id, 8);
    }
    let resumed = fleet.engine_workers[1].runs();
    assert!(
        resumed.iter().any(|run| run.last_event == Some(2)),
        "no stream was resumed: {resumed:?}"
    );
}

/// A silent worker makes the gateway resume the stream at another worker. If the route allows no further
/// attempt, the gateway must wait for the worker instead of breaking the stream off.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_at_its_last_attempt_is_not_broken_off_for_silence() {
    let mut fleet = start(PlatformOptions::default()).await;
    let mut configuration = first_configuration();
    for route in &mut configuration.routes {
        route.max_attempts = 2;
    }
    fleet.configure(configuration);
    // A configuration takes effect within two seconds.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.engine_workers[0].set_behaviour(WorkerBehaviour::TruncateStreamAfter(3));
    // Longer than the silence after which a stream is resumed at another worker.
    fleet.engine_workers[1]
        .set_behaviour(WorkerBehaviour::DelayAnswer(Duration::from_millis(1_300)));
    let is_resumed = |id: &str| {
        let runs = fleet.engine_workers[1].runs();
        runs.iter()
            .any(|run| run.id == id && run.last_event == Some(2))
    };
    let mut resumed = 0;
    for number in 0..12 {
        let id = format!("s{number}");
        let gateway = fleet.gateways[number % 2].callers;
        let answer = fleet.caller.ask(gateway, STREAM, &id, DEADLINE).await;
        // A stream that starts at the slow worker is resumed at the other one, which breaks it off at the
        // last attempt: only streams that end at the slow worker are complete.
        if is_resumed(&id) {
            resumed += 1;
            assert_all_events(&answer.expect("no complete response").body, &id, 8);
        }
    }
    assert!(resumed > 0, "no stream was resumed at the slow worker");
}

/// An engine sends nothing while it reads a long prompt. The gateway must allow for the length of the prompt
/// before it treats the silence as a failure.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_prompt_is_not_retried_while_it_is_read() {
    const TOKENS: u32 = 40_000;
    let options = PlatformOptions {
        workers: 3,
        ..PlatformOptions::default()
    };
    let fleet = start(options).await;
    // Longer than the silence after which a request with a short prompt is sent to another engine.
    let reading_time = Duration::from_millis(1_000);
    for engine in &fleet.engine_workers {
        engine.set_behaviour(WorkerBehaviour::DelayAnswer(reading_time));
    }
    let gateway = fleet.gateways[0].callers;
    let request = fleet.caller.ask_with_prompt(gateway, STREAM, "s1", TOKENS);
    let answer = request.await.expect("no complete response");
    assert_all_events(&answer.body, "s1", 8);
    assert_eq!(fleet.runs_of("s1").len(), 1);
    let answer = fleet.caller.ask(gateway, STREAM, "s2", DEADLINE).await;
    assert_all_events(&answer.expect("no complete response").body, "s2", 8);
    assert!(fleet.runs_of("s2").len() > 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_that_may_not_be_resumed_does_not_look_complete() {
    let fleet = start(PlatformOptions::default()).await;
    for engine in &fleet.engine_workers {
        engine.set_behaviour(WorkerBehaviour::TruncateStreamAfter(3));
    }
    let gateway = fleet.gateways[0].callers;
    let answer = fleet.caller.ask(gateway, STREAM_ONCE, "s1", DEADLINE).await;
    assert!(
        answer.is_err(),
        "a broken stream ended like a complete one: {answer:?}"
    );
    assert_eq!(fleet.runs_of("s1").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_at_a_worker_that_does_not_answer_are_retried_at_another() {
    let fleet = start(PlatformOptions::default()).await;
    fleet.whole_workers[0].set_behaviour(WorkerBehaviour::Hang);
    for number in 0..6 {
        let id = format!("r{number}");
        let gateway = fleet.gateways[0].callers;
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        let answer = answer.expect("no response");
        assert_eq!(answer.status, StatusCode::OK, "{id}");
    }
}

/// A worker may leave one request hanging while it answers later ones. The gateway must then send the
/// request to another worker.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_hangs_while_later_ones_are_answered_is_retried() {
    let fleet = start(PlatformOptions::default()).await;
    fleet.whole_workers[0].set_behaviour(WorkerBehaviour::HangEverySecond);
    let gateway = fleet.gateways[0].callers;
    let requests = (0..60_u64).map(|number| {
        let caller = fleet.caller.clone();
        async move {
            tokio::time::sleep(Duration::from_millis(50 * number)).await;
            let id = format!("r{number}");
            caller.ask(gateway, ASK, &id, DEADLINE).await
        }
    });
    for answer in futures_util::future::join_all(requests).await {
        assert_eq!(answer.expect("no response").status, StatusCode::OK);
    }
}

/// Guards against a worker that fails immediately, looks idle for that reason, and so attracts requests that
/// may not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_fails_immediately_does_not_attract_requests() {
    let fleet = start(PlatformOptions::default()).await;
    fleet.whole_workers[0].set_behaviour(WorkerBehaviour::Fail);
    let gateway = fleet.gateways[0].callers;
    let mut failed = 0;
    for number in 0..60 {
        let id = format!("r{number}");
        let answer = fleet.caller.ask(gateway, ONCE, &id, DEADLINE).await;
        let status = answer.expect("no response").status;
        failed += usize::from(status != StatusCode::OK);
        assert_eq!(fleet.runs_of(&id).len(), 1);
    }
    assert!(failed <= 6, "{failed} of 60 requests failed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_fails_with_504_after_the_time_out_of_its_route() {
    let mut fleet = start(PlatformOptions::default()).await;
    for worker in &fleet.whole_workers {
        worker.set_behaviour(WorkerBehaviour::Hang);
    }
    let mut configuration = first_configuration();
    for route in &mut configuration.routes {
        route.timeout_ms = 700.0;
    }
    fleet.configure(configuration);
    let gateway = fleet.gateways[0].callers;
    // The configured time-out is in force once a request fails within 1.2 s.
    let fleet = &fleet;
    eventually("the time-out of the route is in force", || async move {
        let sent_at = std::time::Instant::now();
        let answer = fleet.caller.ask(gateway, ONCE, "r1", DEADLINE).await;
        let status = answer.expect("no response").status;
        assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
        sent_at.elapsed() < Duration::from_millis(1_200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_stops_the_run_at_its_worker() {
    let fleet = start(PlatformOptions {
        events: 500,
        ..PlatformOptions::default()
    })
    .await;
    let gateway = fleet.gateways[0].callers;
    let disconnect_after = Duration::from_millis(300);
    fleet
        .caller
        .ask_and_disconnect(gateway, STREAM, "s1", disconnect_after)
        .await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let runs = fleet.runs_of("s1");
    assert_eq!(runs.len(), 1);
    assert!(
        !runs[0].completed,
        "the worker finished the run after the caller had disconnected"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_split_distributes_requests_by_its_weights() {
    let mut fleet = start(PlatformOptions::default()).await;
    let mut configuration = first_configuration();
    configuration.routes[0].backends = weighted_split(&[("whole", 3), ("engine", 1)]);
    fleet.configure(configuration);
    let gateway = fleet.gateways[0].callers;
    let shared = &fleet;
    eventually("the split is in force", || async move {
        let answer = shared.caller.ask(gateway, ASK, "probe", DEADLINE).await;
        answer.is_ok_and(|answer| answer.body.starts_with(b"id:"))
    })
    .await;
    let mut engine_answers = 0;
    for number in 0..80 {
        let id = format!("r{number}");
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        let body = answer.expect("no response").body;
        engine_answers += usize::from(body.starts_with(b"id:"));
    }
    assert!(
        (19..=21).contains(&engine_answers),
        "{engine_answers} of 80 requests were answered by engines"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_for_an_ended_incarnation_do_not_run_on_the_worker_now_at_its_address() {
    let fleet = start(PlatformOptions::default()).await;
    // The directory still lists an ended incarnation, at an address that another worker uses.
    fleet.unlist(&fleet.whole_workers[0]);
    let ended_entry = swiftshunt_platform::documents::WorkerDocument {
        service: "whole".to_owned(),
        address: fleet.engine_workers[0].address.to_string(),
        zone: "zone-a".to_owned(),
        slots: 16,
        state: "ready".to_owned(),
        ..Default::default()
    };
    let body = serde_json::to_vec(&ended_entry).expect("the document cannot be encoded");
    let topic = swiftshunt_platform::words::topics::WORKERS;
    fleet.store.put(topic, "gone-1", body);
    for number in 0..10 {
        let id = format!("r{number}");
        let gateway = fleet.gateways[0].callers;
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::OK);
    }
    assert!(fleet.engine_workers[0].runs().is_empty());
}

/// A gateway learns of a long prompt that another gateway has sent before it sends its next requests, and
/// does not queue short prompts behind it.
#[tokio::test(flavor = "multi_thread")]
async fn short_prompts_avoid_an_engine_with_a_long_prompt_of_another_gateway() {
    const SHORT_PROMPTS: usize = 16;
    // The assumed reading time of this prompt is half a second for an engine without measurements, and these
    // engines do take that long.
    const LONG_TOKENS: u32 = 20_000;
    const READING_TIME: Duration = Duration::from_millis(500);
    let fleet = start(PlatformOptions::default()).await;
    for engine in &fleet.engine_workers {
        engine.set_behaviour(WorkerBehaviour::DelayAnswer(READING_TIME));
    }
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    let attempts = std::sync::atomic::AtomicUsize::new(0);
    let worker_of = |id: &str| {
        let has_run = |worker: &&swiftshunt_lab::platform::worker::Worker| {
            worker.runs().iter().any(|run| run.id == id)
        };
        let worker = fleet
            .engine_workers
            .iter()
            .find(has_run)
            .expect("no engine ran the request");
        worker.incarnation().to_owned()
    };
    eventually(
        "short prompts go to another engine than the long one",
        || async {
            // By then the long prompt of the previous attempt is read.
            tokio::time::sleep(Duration::from_millis(1_200)).await;
            let number = attempts.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let long = format!("long-{number}");
            let request = fleet
                .caller
                .ask_with_prompt(one, STREAM, &long, LONG_TOKENS);
            let ids: Vec<String> = (0..SHORT_PROMPTS)
                .map(|short| format!("short-{number}-{short}"))
                .collect();
            let shorts = async {
                eventually("the long prompt reaches an engine", || async {
                    !fleet.runs_of(&long).is_empty()
                })
                .await;
                let request = ids
                    .iter()
                    .map(|id| fleet.caller.ask_with_prompt(two, STREAM, id, 10));
                futures_util::future::join_all(request).await
            };
            let (answer, answers) = tokio::join!(request, shorts);
            assert_eq!(answer.expect("no response").status, StatusCode::OK);
            for answer in answers {
                assert_eq!(answer.expect("no response").status, StatusCode::OK);
            }
            ids.iter().all(|id| worker_of(id) != worker_of(&long))
        },
    )
    .await;
}
