//! A leaving back end (engine or worker) receives no new requests after a few seconds.

mod common;

use std::time::Duration;

use common::start_fleet;
use futures_util::future::join_all;
use serde_json::json;
use swiftshunt_lab::harness::{Fleet, FleetOptions, MODEL, POOL_SUBMISSIONS, eventually};
use swiftshunt_lab::proxy::Fault;
use swiftshunt_types::MachineState;
use test_case::test_case;

/// Delay of changes in the machine list.
const LIST_LAG: Duration = Duration::from_secs(2);
/// Time after the announcement from which no new request may start at the back end.
const APPLIED_WITHIN: Duration = Duration::from_secs(4);
const ROUNDS: usize = 10;

/// Sends chats and submissions through every node.
async fn send_requests(fleet: &Fleet, name: &str) {
    for round in 0..ROUNDS {
        let requests = (0..12).map(|index| {
            let node = fleet.nodes[index % 3].api;
            let key = format!("{name}-{round}-{index}");
            async move {
                let chat = fleet.tenant.chat(node, MODEL, &key, 8);
                let input = json!({ "desk": key });
                let submission = fleet
                    .tenant
                    .submit(node, POOL_SUBMISSIONS, &key, &input, true);
                let (chat, submission) = tokio::join!(chat, submission);
                assert_eq!(chat.expect("no response").status, 200);
                assert_eq!(submission.expect("no response").status, 200);
            }
        });
        join_all(requests).await;
    }
}

/// Returns the numbers of requests that the first engine and the first worker have received.
async fn received_requests(fleet: &Fleet) -> (usize, usize) {
    let engine = fleet.engine_journal(0).await.len();
    let executions = fleet.journal.executions();
    let worker = executions
        .iter()
        .filter(|run| run.worker == "book-0")
        .count();
    (engine, worker)
}

#[derive(Clone, Copy)]
enum Announcement {
    /// The machine list shows the back ends as leaving, with a delay, to all zones.
    List,
    /// The machine list shows the back ends as leaving, with a delay, and only the node of one zone reaches it.
    ListInOneZone,
    /// The back ends report with their load that they are leaving.
    LoadReport,
    /// The back ends report with their load that they are leaving, and the test waits until the first node has
    /// received the reports.
    LoadReportToOneNode,
}

#[test_case(Announcement::List; "machine list")]
#[test_case(Announcement::ListInOneZone; "machine list in one zone")]
#[test_case(Announcement::LoadReport; "load report")]
#[test_case(Announcement::LoadReportToOneNode; "load report known to one node")]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_back_end_receives_no_new_requests(announcement: Announcement) {
    let options = FleetOptions {
        list_lag: LIST_LAG,
        ..FleetOptions::new("leaving")
    };
    let mut fleet = start_fleet(options).await;
    send_requests(&fleet, "before").await;
    let (engine, worker) = received_requests(&fleet).await;
    assert!(
        engine > 0 && worker > 0,
        "no request ran at the engine or at the worker before: {engine}, {worker}"
    );
    match announcement {
        Announcement::List | Announcement::ListInOneZone => {
            if matches!(announcement, Announcement::ListInOneZone) {
                for node in &fleet.nodes[1..] {
                    fleet.list.set_fault_from(node.source, Fault::Cut);
                }
            }
            fleet.engines[0].machine.state = MachineState::Leaving;
            fleet.workers[0].machine.state = MachineState::Leaving;
            fleet.publish_machines().await;
        }
        Announcement::LoadReport | Announcement::LoadReportToOneNode => {
            for direct in [
                fleet.engines[0].direct_address,
                fleet.workers[0].direct_address,
            ] {
                fleet.control(direct, "leave", &json!({})).await;
            }
        }
    }
    if matches!(announcement, Announcement::LoadReportToOneNode) {
        // The time until no new request may start counts from here, when the first node knows both reports.
        eventually("one node has received the reports", || async {
            let api = fleet.nodes[0].api;
            let statement = "show workers where accepting = false";
            let table = fleet.operator.statement(api, statement).await.ok()?.json();
            (table["rows"].as_array()?.len() == 2).then_some(())
        })
        .await;
    }
    tokio::time::sleep(APPLIED_WITHIN).await;
    let before = received_requests(&fleet).await;
    send_requests(&fleet, "after").await;
    assert_eq!(
        received_requests(&fleet).await,
        before,
        "requests started at leaving back ends"
    );
}
