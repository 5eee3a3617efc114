//! Each accepted submission completes exactly once, and its result stays readable, also if processes are
//! killed or links are cut.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::start_fleet;
use futures_util::future::join_all;
use serde_json::json;
use swiftshunt_lab::caller::Caller;
use swiftshunt_lab::harness::{Fleet, FleetOptions, POOL_SUBMISSIONS, eventually};
use swiftshunt_lab::log_service::LogFaults;
use swiftshunt_lab::proxy::Fault;
use swiftshunt_lab::submission_worker::Behaviour;

/// Pause of a caller between attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Bodies of all responses with status 200, by key.
type Answers = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// Submits a key to each node in turn until a response has a result, as a client does that gets no response.
async fn submit_until_answered(
    caller: Caller,
    nodes: Vec<SocketAddr>,
    key: String,
    first: usize,
    answers: Answers,
) {
    let input = json!({ "reading": key });
    for attempt in first.. {
        let node = nodes[attempt % nodes.len()];
        let answer = caller
            .submit(node, POOL_SUBMISSIONS, &key, &input, true)
            .await;
        if let Ok(answer) = answer
            && answer.status == 200
        {
            let mut answers = answers.lock().expect("a caller panicked");
            answers.entry(key).or_default().push(answer.body);
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Starts two callers for each of `count` keys, which submit it at the same time through different nodes.
fn start_callers(
    fleet: &Fleet,
    count: usize,
    answers: &Answers,
) -> Vec<tokio::task::JoinHandle<()>> {
    let nodes: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.api).collect();
    let tasks = (0..count * 2).map(|index| {
        let key = format!("reading-{}", index / 2);
        let caller = fleet.tenant.clone();
        let (nodes, answers) = (nodes.clone(), Arc::clone(answers));
        tokio::spawn(submit_until_answered(caller, nodes, key, index, answers))
    });
    tasks.collect()
}

async fn wait_for_answers(answers: &Answers, count: usize) {
    eventually("enough keys have a result", || async {
        let answered = answers.lock().expect("a caller panicked").len();
        (answered >= count).then_some(())
    })
    .await;
}

/// Asserts that each key has a single result, and that each running node returns it.
async fn assert_readable_everywhere(fleet: &mut Fleet, answers: &Answers) {
    let answers = answers.lock().expect("a caller panicked").clone();
    let running = fleet.running_nodes();
    for (key, bodies) in answers {
        assert!(
            bodies.iter().all(|body| *body == bodies[0]),
            "{key} has two results: {bodies:?}"
        );
        let id: serde_json::Value =
            serde_json::from_str(&bodies[0]).expect("the result is not JSON");
        let path = format!(
            "/v1/submissions/{}",
            id["id"].as_str().expect("the result has no id")
        );
        for node in &running {
            let api = fleet.nodes[*node].api;
            let read = eventually("the result is readable", || async {
                let read = fleet.tenant.get(api, &path).await.ok()?;
                (read.status == 200).then_some(read.body)
            })
            .await;
            assert_eq!(read, bodies[0], "{key} through node {node}");
        }
    }
}

/// Returns the keys that ran more than once, with their numbers of runs.
fn repeated_executions(fleet: &Fleet) -> HashMap<String, usize> {
    let mut counts = fleet.journal.counts();
    counts.retain(|_, count| *count > 1);
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn results_stay_readable_after_a_node_is_killed() {
    let mut fleet = start_fleet(FleetOptions::new("kill_node")).await;
    let answers = Answers::default();
    let callers = start_callers(&fleet, 100, &answers);
    wait_for_answers(&answers, 10).await;
    fleet.nodes[0].process.kill();
    join_all(callers).await;
    assert_readable_everywhere(&mut fleet, &answers).await;
    assert_eq!(repeated_executions(&fleet), HashMap::new());
    let replacement = fleet.start_node(0).await.expect("the node did not start");
    fleet.wait_until_node_ready(replacement).await;
    assert_readable_everywhere(&mut fleet, &answers).await;
}

/// These workers do not deduplicate by key, so only the nodes' ledger keeps a resend from running.
#[tokio::test(flavor = "multi_thread")]
async fn resends_run_once_on_workers_that_do_not_deduplicate() {
    let mut fleet = start_fleet(FleetOptions::new("resends")).await;
    for worker in 0..2 {
        let without_deduplication = Behaviour {
            delay_ms: 20,
            forgets_keys: true,
            ..Behaviour::default()
        };
        fleet.set_behaviour(worker, &without_deduplication).await;
    }
    let answers = Answers::default();
    for _ in 0..2 {
        join_all(start_callers(&fleet, 60, &answers)).await;
    }
    assert_readable_everywhere(&mut fleet, &answers).await;
    assert_eq!(repeated_executions(&fleet), HashMap::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn only_submissions_in_progress_at_a_killed_worker_run_again() {
    let mut fleet = start_fleet(FleetOptions::new("kill_worker")).await;
    for worker in 0..2 {
        let slow = Behaviour {
            delay_ms: 100,
            ..Behaviour::default()
        };
        fleet.set_behaviour(worker, &slow).await;
    }
    let answers = Answers::default();
    let callers = start_callers(&fleet, 60, &answers);
    wait_for_answers(&answers, 5).await;
    fleet.workers[0].process.kill();
    join_all(callers).await;
    assert_readable_everywhere(&mut fleet, &answers).await;
    // Only submissions that ran on the killed worker may run again elsewhere.
    for key in repeated_executions(&fleet).keys() {
        let executions = fleet.journal.executions();
        let on_killed = executions
            .iter()
            .filter(|run| run.key == *key && run.worker == "book-0");
        assert_eq!(
            on_killed.count(),
            1,
            "{key} ran twice although its worker was not killed"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn submissions_run_once_while_the_log_is_down_slow_or_loses_answers() {
    let mut fleet = start_fleet(FleetOptions::new("log_faults")).await;
    let faults = [
        LogFaults {
            down: true,
            ..LogFaults::default()
        },
        LogFaults {
            delay_ms: 700,
            ..LogFaults::default()
        },
        LogFaults {
            lose_append_answers: true,
            ..LogFaults::default()
        },
    ];
    for (round, fault) in faults.iter().enumerate() {
        fleet.set_log_faults(fault).await;
        let answers = Answers::default();
        let nodes: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.api).collect();
        let tasks = (0..40).map(|index| {
            let key = format!("round-{round}-{}", index / 2);
            let (nodes, answers) = (nodes.clone(), Arc::clone(&answers));
            tokio::spawn(submit_until_answered(
                fleet.tenant.clone(),
                nodes,
                key,
                index,
                answers,
            ))
        });
        join_all(tasks).await;
        assert_readable_everywhere(&mut fleet, &answers).await;
    }
    assert_eq!(repeated_executions(&fleet), HashMap::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn results_survive_the_loss_of_all_nodes() {
    let mut fleet = start_fleet(FleetOptions::new("kill_all")).await;
    let answers = Answers::default();
    let callers = start_callers(&fleet, 60, &answers);
    join_all(callers).await;
    for node in &mut fleet.nodes {
        node.process.kill();
    }
    fleet.nodes.clear();
    for zone in 0..3 {
        fleet
            .start_node(zone)
            .await
            .expect("the node did not start");
    }
    fleet.wait_until_ready().await;
    assert_readable_everywhere(&mut fleet, &answers).await;
    let again = Answers::default();
    join_all(start_callers(&fleet, 60, &again)).await;
    assert_eq!(
        first_bodies(&answers),
        first_bodies(&again),
        "a resend changed a result"
    );
    assert_eq!(repeated_executions(&fleet), HashMap::new());
}

fn first_bodies(answers: &Answers) -> BTreeMap<String, String> {
    let answers = answers.lock().expect("a caller panicked");
    answers
        .iter()
        .map(|(key, bodies)| (key.clone(), bodies[0].clone()))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn submissions_run_once_while_a_zone_is_isolated() {
    let mut fleet = start_fleet(FleetOptions::new("cut_zone")).await;
    let answers = Answers::default();
    let callers = start_callers(&fleet, 80, &answers);
    wait_for_answers(&answers, 5).await;
    fleet.set_isolated(1, Fault::Cut);
    wait_for_answers(&answers, 40).await;
    fleet.set_isolated(1, Fault::None);
    join_all(callers).await;
    assert_readable_everywhere(&mut fleet, &answers).await;
    assert_eq!(repeated_executions(&fleet), HashMap::new());
}
