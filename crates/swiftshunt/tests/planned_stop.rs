//! A planned stop breaks off no request in progress.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use common::start_fleet;
use serde_json::json;
use swiftshunt_http::HttpError;
use swiftshunt_lab::caller::{Caller, batch_lines, prompt_for};
use swiftshunt_lab::engine::expected_answer;
use swiftshunt_lab::harness::{FleetOptions, MODEL, POOL_SUBMISSIONS, eventually};
use tokio::sync::RwLock;

const MAX_TOKENS: u32 = 60;
const ITEMS: usize = 300;

/// Results of the callers' requests.
#[derive(Default)]
struct Tally {
    served: AtomicUsize,
    refused: AtomicUsize,
    broken_off: std::sync::Mutex<Vec<String>>,
}

impl Tally {
    /// Counts a failed connection or a refusal with `not_run` as refused, and any other error as broken off.
    fn record_error(&self, error: &HttpError) {
        match error {
            HttpError::NotConnected { .. } => {
                self.refused.fetch_add(1, Ordering::Relaxed);
            }
            HttpError::Status {
                status: 503, body, ..
            } if body.contains("not_run") => {
                self.refused.fetch_add(1, Ordering::Relaxed);
            }
            error => self
                .broken_off
                .lock()
                .expect("a caller panicked")
                .push(error.to_string()),
        }
    }
}

type Nodes = Arc<RwLock<Vec<std::net::SocketAddr>>>;

async fn stream_until_stopped(
    stop: Arc<AtomicBool>,
    nodes: Nodes,
    tenant: Caller,
    tally: Arc<Tally>,
    number: usize,
) {
    for round in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let node = {
            let nodes = nodes.read().await;
            nodes[(number + round) % nodes.len()]
        };
        let content = format!("stream {number} {round}");
        let (expected, _) = expected_answer(&prompt_for(&content), MAX_TOKENS);
        match tenant.chat_stream(node, MODEL, &content, MAX_TOKENS).await {
            Ok(streamed) if streamed.text == expected && streamed.is_complete => {
                tally.served.fetch_add(1, Ordering::Relaxed);
            }
            Ok(streamed) => tally
                .broken_off
                .lock()
                .expect("a caller panicked")
                .push(format!("{streamed:?}")),
            Err(error) => tally.record_error(&error),
        }
    }
}

async fn submit_until_stopped(
    stop: Arc<AtomicBool>,
    nodes: Nodes,
    tenant: Caller,
    tally: Arc<Tally>,
    number: usize,
) {
    for round in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let node = {
            let nodes = nodes.read().await;
            nodes[(number + round) % nodes.len()]
        };
        let key = format!("submission {number} {round}");
        let input = json!({ "desk": key });
        match tenant
            .submit(node, POOL_SUBMISSIONS, &key, &input, true)
            .await
        {
            Ok(answer) if answer.status == 200 => {
                tally.served.fetch_add(1, Ordering::Relaxed);
            }
            Ok(answer) => {
                let may_retry = answer.retry_after.is_some()
                    && answer.execution().as_deref() == Some("not_run");
                if answer.status == 503 && may_retry {
                    tally.refused.fetch_add(1, Ordering::Relaxed);
                } else {
                    tally
                        .broken_off
                        .lock()
                        .expect("a caller panicked")
                        .push(format!("{answer:?}"));
                }
            }
            Err(error) => tally.record_error(&error),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_node_is_replaced_in_turn_under_load() {
    let mut fleet = start_fleet(FleetOptions::new("planned_stop")).await;
    let contents: Vec<String> = (0..ITEMS).map(|index| format!("nightly {index}")).collect();
    let api = fleet.nodes[0].api;
    let lines = batch_lines(MODEL, &contents, MAX_TOKENS);
    let file = fleet
        .tenant
        .upload(api, &lines)
        .await
        .expect("no response")
        .json();
    let file = file["id"]
        .as_str()
        .expect("the uploaded file has no id")
        .to_owned();
    let job = fleet
        .tenant
        .create_batch(api, &file, None)
        .await
        .expect("no response")
        .json();
    let job_path = format!(
        "/v1/batches/{}",
        job["id"].as_str().expect("the created job has no id")
    );

    let nodes: Nodes = Arc::new(RwLock::new(
        fleet.nodes.iter().map(|node| node.api).collect(),
    ));
    let (stop, tally) = (Arc::new(AtomicBool::new(false)), Arc::new(Tally::default()));
    let mut callers = Vec::new();
    for number in 0..12 {
        let (stop, nodes, tally) = (Arc::clone(&stop), Arc::clone(&nodes), Arc::clone(&tally));
        callers.push(tokio::spawn(stream_until_stopped(
            stop,
            nodes,
            fleet.tenant.clone(),
            tally,
            number,
        )));
    }
    for number in 0..6 {
        let (stop, nodes, tally) = (Arc::clone(&stop), Arc::clone(&nodes), Arc::clone(&tally));
        callers.push(tokio::spawn(submit_until_stopped(
            stop,
            nodes,
            fleet.tenant.clone(),
            tally,
            number,
        )));
    }
    for index in 0..3 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.nodes[index].process.terminate();
        eventually("the node stops", || {
            let stopped = fleet.nodes[index].process.exit_status();
            async move { stopped.map(|status| assert!(status.success(), "{status}")) }
        })
        .await;
        let replacement = fleet
            .start_node(index)
            .await
            .expect("the node did not start");
        fleet.wait_until_node_ready(replacement).await;
        nodes.write().await[index] = fleet.nodes[replacement].api;
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("a caller panicked");
    }
    let broken_off = tally.broken_off.lock().expect("a caller panicked").clone();
    let served = tally.served.load(Ordering::Relaxed);
    assert!(
        broken_off.is_empty(),
        "{} requests broken off, {served} served: {:?}",
        broken_off.len(),
        broken_off.first()
    );
    assert!(served > 50, "only {served} requests were served");
    let api = fleet.nodes[5].api;
    eventually("the job completes", || async {
        let job = fleet.tenant.get(api, &job_path).await.ok()?.json();
        (job["status"] == "completed").then_some(())
    })
    .await;
    let repeated = fleet
        .journal
        .counts()
        .into_values()
        .filter(|count| *count > 1)
        .count();
    assert_eq!(repeated, 0, "submissions ran twice");
}
