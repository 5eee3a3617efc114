//! What a caller is told who sends an accepted key again: the recorded result, or that the outcome is
//! unknown, but never `not_run`. A caller that is told `not_run` may send its request under another key,
//! which runs it a second time.

mod common;

use std::time::Duration;

use common::{ExclusiveFleet, start_fleet};
use futures_util::future::join_all;
use serde_json::json;
use swiftshunt_http::HttpError;
use swiftshunt_lab::caller::{ApiAnswer, batch_lines};
use swiftshunt_lab::harness::{
    FleetOptions, MODEL, POOL_SUBMISSIONS, eventually, eventually_within, fleet_configuration,
};
use swiftshunt_lab::proxy::Fault;
use swiftshunt_lab::submission_worker::Behaviour;
use swiftshunt_types::SubmissionId;
use test_case::test_case;

const KEY: &str = "desk";
/// Number of keys that are spread over all partitions.
const KEYS: usize = 32;
/// Time within which other nodes elect leaders in place of one that does not answer.
const TAKEOVER: Duration = Duration::from_secs(3);
/// Time for which a node looks for a leader before it refuses a request, by default.
const LEADER_WAIT: Duration = Duration::from_secs(2);
/// Time after which nodes no longer send updates of their leaders to a node that does not answer.
const DISSEMINATION: Duration = Duration::from_secs(2);

async fn submit(fleet: &ExclusiveFleet, node: usize, key: &str) -> ApiAnswer {
    let api = fleet.nodes[node].api;
    let input = json!({ "desk": key });
    let answer = fleet
        .tenant
        .submit(api, POOL_SUBMISSIONS, key, &input, false);
    answer.await.expect("no response")
}

/// Starts a fleet in which a submission with the key [`KEY`] has run. Returns the answer that its caller
/// got through node 0.
async fn fleet_with_result(name: &'static str) -> (ExclusiveFleet, ApiAnswer) {
    let fleet = start_fleet(FleetOptions::new(name)).await;
    let answer = submit(&fleet, 0, KEY).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    (fleet, answer)
}

/// Publishes the harness's configuration with a replacement of one text, and waits until a node has it.
async fn publish(fleet: &ExclusiveFleet, node: usize, from: &str, to: &str) {
    let toml = fleet_configuration();
    assert!(toml.contains(from), "{toml}");
    let api = fleet.nodes[node].api;
    let published = fleet
        .operator
        .publish(api, 1, &toml.replace(from, to))
        .await;
    assert_eq!(published.expect("no response").status, 200);
    eventually("the node has the configuration", || async {
        let answer = fleet.operator.get(api, "/v1/operator/configuration").await;
        let version = answer.ok()?.json()["version"].as_u64()?;
        (version == 2).then_some(())
    })
    .await;
}

/// All nodes are lost, and one is back: it has no majority with which to elect leaders, and knows nothing of
/// what was accepted before. Each operation names what an earlier one created.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_leader_says_not_run_of_no_accepted_key() {
    let (mut fleet, _) = fleet_with_result("resend_no_leader").await;
    let first = fleet.nodes[0].api;
    let lines = batch_lines(MODEL, &["one".to_owned()], 4);
    let file = identifier(fleet.tenant.upload(first, &lines).await);
    let job = identifier(fleet.tenant.create_batch(first, &file, Some("job")).await);
    for node in &mut fleet.nodes {
        node.process.kill();
    }
    let alone = fleet.start_node(0).await.expect("the node did not start");
    let api = fleet.nodes[alone].api;
    eventually("the node serves", || async {
        let answer = fleet.operator.get(api, "/readyz").await.ok()?;
        (answer.json()["stage"] == "serving").then_some(())
    })
    .await;
    let id = SubmissionId::derive(&"stolnica".into(), KEY);
    let job_path = format!("/v1/batches/{job}");
    let cancel_path = format!("{job_path}/cancel");
    let statement = format!("set job {job} deadline 1h");
    let (tenant, operator) = (&fleet.tenant, &fleet.operator);
    let answers = [
        ("submission", Ok(submit(&fleet, alone, KEY).await)),
        (
            "read of the submission",
            tenant.get(api, &format!("/v1/submissions/{id}")).await,
        ),
        ("job", tenant.create_batch(api, &file, Some("job")).await),
        ("read of the job", tenant.get(api, &job_path).await),
        ("cancel", tenant.post(api, &cancel_path, &json!({})).await),
        ("statement", operator.statement(api, &statement).await),
    ];
    for (name, answer) in answers {
        let answer = answer.expect(name);
        assert_eq!(answer.status, 503, "{name}: {answer:?}");
        let execution = answer.execution();
        assert_eq!(execution.as_deref(), Some("unknown"), "{name}: {answer:?}");
        assert!(answer.retry_after.is_some(), "{name}: {answer:?}");
    }
    // No earlier request can have named a job without a key.
    let unnamed = tenant.create_batch(api, &file, None).await;
    let unnamed = unnamed.expect("no response");
    let told = (unnamed.status, unnamed.execution());
    assert_eq!(told, (503, Some("not_run".to_owned())));
}

fn identifier(answer: Result<ApiAnswer, HttpError>) -> String {
    let answer = answer.expect("no response");
    let id = answer.json()["id"].as_str().map(str::to_owned);
    id.unwrap_or_else(|| panic!("no identifier: {answer:?}"))
}

/// A node that finishes its requests accepts nothing new, but looks up keys that were accepted before.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_answers_a_resend_with_the_recorded_result() {
    let (fleet, answer) = fleet_with_result("resend_draining").await;
    let slow = Behaviour {
        delay_ms: 6_000,
        ..Behaviour::default()
    };
    for worker in 0..fleet.workers.len() {
        fleet.set_behaviour(worker, &slow).await;
    }
    let api = fleet.nodes[2].api;
    let ready = fleet
        .operator
        .get(api, "/readyz")
        .await
        .expect("no response")
        .json();
    let id = ready["node"]
        .as_str()
        .expect("the node has no identifier")
        .to_owned();
    let (tenant, input) = (fleet.tenant.clone(), json!({ "desk": "slow" }));
    let in_progress = tokio::spawn(async move {
        tenant
            .submit(api, POOL_SUBMISSIONS, "slow", &input, false)
            .await
    });
    let statement = "show submissions where status = dispatched";
    eventually("the node has a request in progress", || async {
        let table = fleet.operator.statement(api, statement).await.ok()?.json();
        (table["rows"].as_array()?.len() == 1).then_some(())
    })
    .await;
    let drained = fleet
        .operator
        .statement(api, &format!("drain node {id}"))
        .await;
    assert_eq!(drained.expect("no response").status, 200);
    let again = submit(&fleet, 2, KEY).await;
    assert_eq!((again.status, again.body), (answer.status, answer.body));
    let fresh = submit(&fleet, 2, "fresh").await;
    assert_eq!(
        (fresh.status, fresh.execution().as_deref()),
        (503, Some("not_run"))
    );
    assert!(fresh.retry_after.is_some(), "{fresh:?}");
    let finished = in_progress.await.expect("the caller panicked");
    assert_eq!(finished.expect("no response").status, 200);
    assert_eq!(fleet.journal.executions().len(), 2);
}

/// The ledger is not asked about a request beyond the tenant's rate.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_beyond_the_rate_is_not_called_not_run() {
    let (fleet, _) = fleet_with_result("resend_limited").await;
    let limits = "requests_per_second = 100000.0\nburst = 100000.0";
    publish(&fleet, 1, limits, "requests_per_second = 0.5\nburst = 1.0").await;
    let limited = eventually("a request is beyond the rate", || async {
        let answer = submit(&fleet, 1, KEY).await;
        (answer.status == 429).then_some(answer)
    });
    let limited = limited.await;
    assert_eq!(
        limited.execution().as_deref(),
        Some("unknown"),
        "{limited:?}"
    );
    assert!(limited.retry_after.is_some(), "{limited:?}");
}

/// The result stays readable under its key when the pool that ran the submission is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_the_end_of_its_pool_gets_the_recorded_result() {
    let (fleet, answer) = fleet_with_result("resend_pool").await;
    let pool = format!("name = \"{POOL_SUBMISSIONS}\"");
    publish(&fleet, 1, &pool, "name = \"another\"").await;
    let again = submit(&fleet, 1, KEY).await;
    assert_eq!((again.status, again.body), (answer.status, answer.body));
    let fresh = submit(&fleet, 1, "fresh").await;
    assert_eq!(
        (fresh.status, fresh.execution().as_deref()),
        (404, Some("not_run"))
    );
}

/// While a node is paused, other nodes take over its partitions and tell each other, and stop telling the
/// node that does not answer. The second node of a zone holds no replica of some partitions, so that the
/// messages of their leaders do not reach it either. After the pause the node must find all leaders within
/// the time for which it lets a resend wait.
#[test_case(1; "the only node of a zone")]
#[test_case(3; "the second node of a zone")]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_node_answers_resends_of_all_partitions(resumed: usize) {
    let (mut fleet, _) = fleet_with_result("resend_resumed").await;
    if resumed == 3 {
        fleet.start_node(0).await.expect("the node did not start");
        fleet.wait_until_node_ready(3).await;
    }
    let keys: Vec<String> = (0..KEYS).map(|number| format!("desk-{number}")).collect();
    let accepted = join_all(keys.iter().map(|key| submit(&fleet, 0, key))).await;
    // No message waits for the node in its sockets.
    fleet.set_isolated(resumed, Fault::Cut);
    fleet.nodes[resumed].process.pause();
    // Leaders of partitions of which the node holds no replica change as well.
    fleet.nodes[2].process.pause();
    tokio::time::sleep(TAKEOVER).await;
    fleet.nodes[2].process.resume();
    tokio::time::sleep(TAKEOVER + DISSEMINATION).await;
    fleet.set_isolated(resumed, Fault::None);
    fleet.nodes[resumed].process.resume();
    let api = fleet.nodes[resumed].api;
    eventually_within(LEADER_WAIT, "the node is ready", || async {
        let answer = fleet.operator.get(api, "/readyz").await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    let again = join_all(keys.iter().map(|key| submit(&fleet, resumed, key))).await;
    for ((key, accepted), again) in keys.iter().zip(accepted).zip(again) {
        assert_eq!((again.status, again.body), (200, accepted.body), "{key}");
    }
}
