//! End-to-end tests with separate processes: three nodes, three engines, two submission workers, the log and
//! the machine list.

mod common;

use std::collections::HashSet;

use common::start_fleet;
use futures_util::future::join_all;
use serde_json::{Value, json};
use swiftshunt_lab::caller::{Caller, batch_lines, prompt_for};
use swiftshunt_lab::engine::expected_answer;
use swiftshunt_lab::harness::{
    FleetOptions, MODEL, POOL_ENGINES, POOL_SUBMISSIONS, TENANT_TOKEN, eventually,
};

/// Number of simultaneous callers.
const CALLERS: usize = 200;
/// Maximum number of tokens of an answer; some answers are shorter.
const MAX_TOKENS: u32 = 40;
/// Number of items of the job.
const ITEMS: usize = 60;

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_every_kind_are_served_completely() {
    let fleet = start_fleet(FleetOptions::new("whole_path")).await;
    let nodes: Vec<_> = fleet.nodes.iter().map(|node| node.api).collect();

    let chats = (0..CALLERS).map(|index| {
        let (node, tenant) = (nodes[index % nodes.len()], fleet.tenant.clone());
        async move {
            let content = format!("caller {index} asks for a plan");
            let (expected, _) = expected_answer(&prompt_for(&content), MAX_TOKENS);
            if index % 2 == 0 {
                let streamed = tenant.chat_stream(node, MODEL, &content, MAX_TOKENS).await;
                let streamed = streamed.expect("the stream failed");
                assert_eq!(streamed.text, expected);
                assert!(
                    streamed.is_complete,
                    "the stream of caller {index} has no end: {streamed:?}"
                );
            } else {
                let answer = tenant.chat(node, MODEL, &content, MAX_TOKENS).await;
                let answer = answer.expect("no response").json();
                assert_eq!(answer["choices"][0]["message"]["content"], json!(expected));
            }
        }
    });
    join_all(chats).await;

    let submissions = (0..CALLERS).map(|index| {
        let (nodes, tenant) = (nodes.clone(), fleet.tenant.clone());
        async move {
            let input = json!({ "desk": index });
            let key = format!("desk-{index}");
            let node = nodes[index % nodes.len()];
            let first = tenant
                .submit(node, POOL_SUBMISSIONS, &key, &input, true)
                .await;
            let first = first.expect("no response");
            assert_eq!(first.status, 200, "{first:?}");
            let id = first.json()["id"]
                .as_str()
                .expect("the submission has no id")
                .to_owned();
            for node in nodes {
                let path = format!("/v1/submissions/{id}");
                let read = tenant.get(node, &path).await.expect("no response");
                assert_eq!(read.body, first.body);
            }
        }
    });
    join_all(submissions).await;
    let counts = fleet.journal.counts();
    assert_eq!(counts.len(), CALLERS);
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");

    let contents: Vec<String> = (0..ITEMS)
        .map(|index| format!("check lot {index}"))
        .collect();
    let lines = batch_lines(MODEL, &contents, MAX_TOKENS);
    let file = fleet
        .tenant
        .upload(nodes[0], &lines)
        .await
        .expect("no response")
        .json();
    let file = file["id"]
        .as_str()
        .expect("the uploaded file has no id")
        .to_owned();
    let job = fleet
        .tenant
        .create_batch(nodes[1], &file, None)
        .await
        .expect("no response")
        .json();
    let path = format!(
        "/v1/batches/{}",
        job["id"].as_str().expect("the created job has no id")
    );
    let done = eventually("the job completes", || async {
        let job = fleet.tenant.get(nodes[2], &path).await.ok()?.json();
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
        .get(nodes[0], &path)
        .await
        .expect("no response")
        .body;
    assert_output(&output, &contents);
}

/// Asserts that the output contains the complete result of each item once.
fn assert_output(output: &str, contents: &[String]) {
    let mut seen = HashSet::new();
    for line in output.lines() {
        let line: Value = serde_json::from_str(line).expect("a result line is not JSON");
        let custom_id = line["custom_id"]
            .as_str()
            .expect("a result line has no custom_id")
            .to_owned();
        let index: usize = custom_id
            .trim_start_matches("item-")
            .parse()
            .expect("a custom_id has no index");
        let (expected, _) = expected_answer(&prompt_for(&contents[index]), MAX_TOKENS);
        let body = &line["response"]["body"];
        assert_eq!(body["choices"][0]["message"]["content"], json!(expected));
        assert!(seen.insert(custom_id), "an item is listed twice");
    }
    assert_eq!(seen.len(), contents.len());
}

/// An invalid request with the expected status and error code.
struct BadRequest {
    name: &'static str,
    path: &'static str,
    body: String,
    key: Option<&'static str>,
    token: &'static str,
    status: u16,
    code: &'static str,
}

impl BadRequest {
    fn new(
        name: &'static str,
        path: &'static str,
        body: impl Into<String>,
        status: u16,
        code: &'static str,
    ) -> Self {
        Self {
            name,
            path,
            body: body.into(),
            key: Some("a-key"),
            token: TENANT_TOKEN,
            status,
            code,
        }
    }
}

fn bad_requests() -> Vec<BadRequest> {
    let chat = |model: &str| {
        json!({ "model": model, "messages": [{ "role": "user", "content": "x" }] }).to_string()
    };
    let oversize = format!("{}{}", chat(MODEL), " ".repeat(2 << 20));
    let submission = json!({ "pool": POOL_SUBMISSIONS, "input": {} }).to_string();
    let wrong_pool = json!({ "pool": POOL_ENGINES, "input": {} }).to_string();
    let batch = json!({
        "input_file_id": "file-none",
        "endpoint": "/v1/completions",
        "completion_window": "24h",
    });
    let statement = json!({ "statement": "show nodes" }).to_string();
    let chats = "/v1/chat/completions";
    let submissions = "/v1/submissions";
    let statements = "/v1/operator/statements";
    let code = "invalid_request";
    vec![
        BadRequest::new("malformed JSON", chats, "{", 400, code),
        BadRequest::new("unknown model", chats, chat("none"), 404, "model_not_found"),
        BadRequest::new("oversize body", chats, oversize, 413, "body_too_large"),
        BadRequest {
            token: "nobody",
            ..BadRequest::new("bad token", chats, chat(MODEL), 401, "invalid_token")
        },
        BadRequest {
            key: None,
            ..BadRequest::new("missing key", submissions, submission, 400, code)
        },
        BadRequest::new(
            "pool of another kind",
            submissions,
            wrong_pool,
            404,
            "not_found",
        ),
        BadRequest::new(
            "unknown file",
            "/v1/batches",
            batch.to_string(),
            404,
            "not_found",
        ),
        BadRequest::new(
            "statement of a tenant",
            statements,
            statement,
            403,
            "forbidden",
        ),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_and_leave_no_submission() {
    let fleet = start_fleet(FleetOptions::new("bad_input")).await;
    let node = fleet.nodes[0].api;
    for request in bad_requests() {
        let caller = Caller::new(request.token);
        let answer = caller
            .post_text(node, request.path, &request.body, request.key)
            .await;
        let answer = answer.expect(request.name);
        assert_eq!(
            answer.status, request.status,
            "{}: {answer:?}",
            request.name
        );
        assert_eq!(
            answer.code().as_deref(),
            Some(request.code),
            "{}",
            request.name
        );
        assert_eq!(
            answer.execution().as_deref(),
            Some("not_run"),
            "{}",
            request.name
        );
    }
    assert!(
        fleet.journal.executions().is_empty(),
        "an invalid request ran"
    );
    let submissions = fleet
        .operator
        .statement(node, "show submissions")
        .await
        .expect("no response");
    assert_eq!(
        submissions.json()["rows"],
        json!([]),
        "an invalid request left a submission"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_used_with_another_body_is_refused() {
    let fleet = start_fleet(FleetOptions::new("key_reused")).await;
    let (first, second) = (fleet.nodes[0].api, fleet.nodes[1].api);
    let input = json!({ "desk": 1 });
    let pool = POOL_SUBMISSIONS;
    let accepted = fleet.tenant.submit(first, pool, "desk", &input, true).await;
    assert_eq!(accepted.expect("no response").status, 200);
    let other = json!({ "desk": 2 });
    let refused = fleet
        .tenant
        .submit(second, pool, "desk", &other, true)
        .await;
    let refused = refused.expect("no response");
    assert_eq!(refused.status, 422);
    assert_eq!(refused.execution().as_deref(), Some("not_run"));
    assert_eq!(fleet.journal.executions().len(), 1);
}
