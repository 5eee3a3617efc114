//! Batch jobs: cancelled jobs stop, online requests do not wait behind batch items, and completed jobs
//! contain each result once.

mod common;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use common::start_fleet;
use futures_util::future::join_all;
use serde_json::Value;
use swiftshunt_lab::caller::{batch_lines, prompt_for};
use swiftshunt_lab::engine::expected_answer;
use swiftshunt_lab::harness::{Fleet, FleetOptions, MODEL, eventually};
use swiftshunt_lab::proxy::Fault;
use swiftshunt_types::{Priority, partition_of};

const PARTITIONS: u16 = 8;
const MAX_TOKENS: u32 = 40;
/// Time after which an item that was about to start has started.
const SETTLE: Duration = Duration::from_secs(2);

/// Uploads a file of `items` items, creates a job from it and returns the job's identifier.
async fn create_job(fleet: &Fleet, items: usize, name: &str) -> String {
    let contents: Vec<String> = (0..items)
        .map(|index| format!("{name} item {index}"))
        .collect();
    let lines = batch_lines(MODEL, &contents, MAX_TOKENS);
    let node = fleet.nodes[0].api;
    let file = fleet
        .tenant
        .upload(node, &lines)
        .await
        .expect("no response")
        .json();
    let file = file["id"]
        .as_str()
        .expect("the uploaded file has no id")
        .to_owned();
    let job = fleet
        .tenant
        .create_batch(node, &file, Some(name))
        .await
        .expect("no response");
    job.json()["id"]
        .as_str()
        .expect("the created job has no id")
        .to_owned()
}

async fn read_job(fleet: &Fleet, node: SocketAddr, id: &str) -> Option<Value> {
    let answer = fleet
        .tenant
        .get(node, &format!("/v1/batches/{id}"))
        .await
        .ok()?;
    (answer.status == 200).then(|| answer.json())
}

async fn completed_items(fleet: &Fleet, node: SocketAddr, id: &str) -> Option<u64> {
    read_job(fleet, node, id).await?["request_counts"]["completed"].as_u64()
}

/// Waits until more than 20 items of a job are completed.
async fn wait_until_running(fleet: &Fleet, node: SocketAddr, id: &str) {
    eventually("the job runs", || async {
        (completed_items(fleet, node, id).await? > 20).then_some(())
    })
    .await;
}

/// Returns the number of items of a job that engines have received.
async fn started_items(fleet: &mut Fleet, id: &str) -> usize {
    let journals = fleet.engine_journals().await;
    journals
        .iter()
        .filter(|entry| entry.request.as_str().starts_with(id))
        .count()
}

async fn leader_of_job(fleet: &Fleet, node: usize, id: &str) -> usize {
    eventually("the job's partition has a leader", || async {
        fleet.leader_of(node, partition_of(id, PARTITIONS).0).await
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn no_item_starts_after_a_cancellation_even_under_a_new_leader() {
    let mut fleet = start_fleet(FleetOptions::new("cancel_leader")).await;
    let id = create_job(&fleet, 2000, "long").await;
    let node = fleet.nodes[0].api;
    wait_until_running(&fleet, node, &id).await;
    let leader = leader_of_job(&fleet, 0, &id).await;
    let other = (leader + 1) % 3;
    let api = fleet.nodes[other].api;
    let answer = fleet
        .operator
        .statement(api, &format!("cancel job {id}"))
        .await;
    assert_eq!(answer.expect("no response").status, 200);
    let started = started_items(&mut fleet, &id).await;
    fleet.nodes[leader].process.kill();
    let new_leader = eventually("another node leads", || async {
        let found = fleet
            .leader_of(other, partition_of(&id, PARTITIONS).0)
            .await?;
        (found != leader).then_some(found)
    })
    .await;
    tokio::time::sleep(SETTLE).await;
    assert_eq!(
        started_items(&mut fleet, &id).await,
        started,
        "items started after the cancellation"
    );
    let api = fleet.nodes[new_leader].api;
    let status = read_job(&fleet, api, &id)
        .await
        .expect("the job is not readable");
    assert_eq!(status["status"], "cancelled");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_leader_starts_no_items_of_a_job_cancelled_during_its_pause() {
    let mut fleet = start_fleet(FleetOptions::new("cancel_paused")).await;
    let id = create_job(&fleet, 2000, "long").await;
    let node = fleet.nodes[0].api;
    wait_until_running(&fleet, node, &id).await;
    let leader = leader_of_job(&fleet, 0, &id).await;
    let other = (leader + 1) % 3;
    fleet.nodes[leader].process.pause();
    let api = fleet.nodes[other].api;
    eventually("the cancellation is confirmed", || async {
        let answer = fleet
            .operator
            .statement(api, &format!("cancel job {id}"))
            .await
            .ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    let started = started_items(&mut fleet, &id).await;
    fleet.nodes[leader].process.resume();
    fleet.wait_until_node_ready(leader).await;
    tokio::time::sleep(SETTLE).await;
    assert_eq!(
        started_items(&mut fleet, &id).await,
        started,
        "items started after the cancellation"
    );
}

/// Two operators on different sides of a network partition change the same job at the same time. The majority
/// side decides, and the other operator is told whose change was applied once the partition ends.
#[tokio::test(flavor = "multi_thread")]
async fn operators_on_both_sides_of_a_partition_learn_the_same_winner() {
    let fleet = start_fleet(FleetOptions::new("cancel_race")).await;
    let id = create_job(&fleet, 2000, "contested").await;
    let leader = leader_of_job(&fleet, 0, &id).await;
    let isolated = (leader + 1) % 3;
    let majority = (leader + 2) % 3;
    fleet.set_isolated(isolated, Fault::Cut);
    let statements = [
        (
            fleet.nodes[isolated].api,
            format!("set job {id} deadline 5h"),
        ),
        (fleet.nodes[majority].api, format!("cancel job {id}")),
    ];
    let sent = statements
        .iter()
        .map(|(api, text)| fleet.operator.statement(*api, text));
    let answers: Vec<_> = join_all(sent)
        .await
        .into_iter()
        .map(|answer| answer.expect("no response"))
        .collect();
    assert_eq!(
        answers[1].status, 200,
        "the majority side did not accept the cancellation: {answers:?}"
    );
    assert_eq!(
        answers[0].status, 503,
        "the isolated node did not refuse the change: {answers:?}"
    );
    // The execution is `not_run` if no connection to the leader was open, and `unknown` if the request was
    // already sent over an open one when the link was cut.
    assert!(
        answers[0].execution().is_some() && answers[0].retry_after.is_some(),
        "{answers:?}"
    );
    fleet.set_isolated(isolated, Fault::None);
    let (api, text) = &statements[0];
    let refused = eventually(
        "the isolated operator is told whose change was applied",
        || async {
            let answer = fleet.operator.statement(*api, text).await.ok()?;
            (answer.status == 409).then_some(answer)
        },
    )
    .await;
    assert!(refused.body.contains("operator test"), "{refused:?}");
    let cancel_again = fleet
        .operator
        .statement(*api, &statements[1].1)
        .await
        .expect("no response");
    assert!(
        cancel_again
            .body
            .contains("cancelled before by operator test"),
        "{cancel_again:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn online_requests_never_wait_behind_batch_items() {
    let options = FleetOptions {
        engine_flags: vec!["--slots".to_owned(), "8".to_owned()],
        ..FleetOptions::new("online_first")
    };
    let mut fleet = start_fleet(options).await;
    let mut jobs = Vec::new();
    for heap in 0..6 {
        jobs.push(create_job(&fleet, 60, &format!("heap-{heap}")).await);
    }
    eventually("batch items fill the engines", || async {
        let mut running = 0;
        for engine in &fleet.engines {
            let load = fleet
                .operator
                .get(engine.direct_address, "/v1/load")
                .await
                .ok()?
                .json();
            running += load["running_batch"].as_u64()?;
        }
        (running >= 12).then_some(())
    })
    .await;
    let burst = (0..18).map(|index| {
        let node = fleet.nodes[index % 3].api;
        let content = format!("burst {index}");
        let tenant = &fleet.tenant;
        async move {
            let (expected, _) = expected_answer(&prompt_for(&content), MAX_TOKENS);
            let streamed = tenant.chat_stream(node, MODEL, &content, MAX_TOKENS).await;
            assert_eq!(streamed.expect("the stream failed").text, expected);
        }
    });
    join_all(burst).await;
    let journals = fleet.engine_journals().await;
    let online: Vec<_> = journals
        .iter()
        .filter(|entry| entry.priority == Priority::Online)
        .collect();
    assert_eq!(online.len(), 18);
    // The step in progress when a request arrives is completed first, and a second one may have begun.
    let late: Vec<_> = online
        .iter()
        .filter(|entry| entry.waited_steps.is_none_or(|steps| steps > 2))
        .collect();
    assert!(
        late.is_empty(),
        "online requests waited behind batch items: {late:?}"
    );
    let node = fleet.nodes[0].api;
    for (heap, id) in jobs.iter().enumerate() {
        let done = eventually("every job completes after the burst", || async {
            let job = read_job(&fleet, node, id).await?;
            (job["status"] == "completed").then_some(job)
        })
        .await;
        let path = format!(
            "/v1/files/{}/content",
            done["output_file_id"]
                .as_str()
                .expect("the job has no output file")
        );
        let output = fleet
            .tenant
            .get(node, &path)
            .await
            .expect("no response")
            .body;
        assert_complete(&output, &format!("heap-{heap}"), 60);
    }
}

/// Asserts that the output contains the expected result of each item once.
fn assert_complete(output: &str, name: &str, items: usize) {
    let mut seen = HashSet::new();
    for line in output.lines() {
        let line: Value = serde_json::from_str(line).expect("a result line is not JSON");
        let index = line["custom_id"]
            .as_str()
            .expect("a result line has no custom_id")
            .trim_start_matches("item-")
            .to_owned();
        let (expected, _) =
            expected_answer(&prompt_for(&format!("{name} item {index}")), MAX_TOKENS);
        assert_eq!(
            line["response"]["body"]["choices"][0]["message"]["content"],
            expected.as_str()
        );
        assert!(seen.insert(index), "an item is listed twice");
    }
    assert_eq!(seen.len(), items);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_survives_the_loss_of_its_leader_an_engine_and_the_log() {
    let mut fleet = start_fleet(FleetOptions::new("job_survives")).await;
    let id = create_job(&fleet, 400, "sturdy").await;
    let node = fleet.nodes[0].api;
    wait_until_running(&fleet, node, &id).await;
    fleet.engines[0].process.kill();
    let down = swiftshunt_lab::log_service::LogFaults {
        down: true,
        ..Default::default()
    };
    fleet.set_log_faults(&down).await;
    let leader = leader_of_job(&fleet, 0, &id).await;
    fleet.nodes[leader].process.kill();
    tokio::time::sleep(SETTLE).await;
    fleet.set_log_faults(&Default::default()).await;
    let api = fleet.nodes[(leader + 1) % 3].api;
    let done = eventually("the job completes", || async {
        let job = read_job(&fleet, api, &id).await?;
        (job["status"] == "completed").then_some(job)
    })
    .await;
    let path = format!(
        "/v1/files/{}/content",
        done["output_file_id"]
            .as_str()
            .expect("the job has no output file")
    );
    let output = fleet
        .tenant
        .get(api, &path)
        .await
        .expect("no response")
        .body;
    assert_complete(&output, "sturdy", 400);
}

/// A leader that is paused for about the duration of its lease finds the lease expired, and may still get it
/// renewed. The job must continue in both cases.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_continues_after_short_pauses_of_its_leader() {
    let fleet = start_fleet(FleetOptions::new("job_short_pauses")).await;
    let id = create_job(&fleet, 600, "paused").await;
    let node = fleet.nodes[0].api;
    wait_until_running(&fleet, node, &id).await;
    for pause in (440..600).step_by(20) {
        let leader = leader_of_job(&fleet, 0, &id).await;
        fleet.nodes[leader].process.pause();
        tokio::time::sleep(Duration::from_millis(pause)).await;
        fleet.nodes[leader].process.resume();
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    eventually("the job completes", || async {
        let job = read_job(&fleet, node, &id).await?;
        (job["status"] == "completed").then_some(())
    })
    .await;
}

/// A client that got no response creates the job again. Both requests must name the same job.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_created_twice_is_one_job() {
    let fleet = start_fleet(FleetOptions::new("job_twice")).await;
    let lines = batch_lines(MODEL, &["once".to_owned()], MAX_TOKENS);
    let node = fleet.nodes[0].api;
    let file = fleet
        .tenant
        .upload(node, &lines)
        .await
        .expect("no response")
        .json();
    let file = file["id"]
        .as_str()
        .expect("the uploaded file has no id")
        .to_owned();
    let sent = fleet
        .nodes
        .iter()
        .map(|node| fleet.tenant.create_batch(node.api, &file, Some("lot")));
    let ids: HashSet<String> = join_all(sent)
        .await
        .into_iter()
        .map(|answer| {
            answer.expect("no response").json()["id"]
                .as_str()
                .expect("the created job has no id")
                .to_owned()
        })
        .collect();
    assert_eq!(ids.len(), 1, "{ids:?}");
}
