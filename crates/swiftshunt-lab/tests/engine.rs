//! The engine stand-in: complete and resumed answers, priorities, and fencing of orders.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use swiftshunt_backends::engine::{
    Engine, Fence, FinishReason, GenerateRequest, HttpEngine, LoadOrder, TokenEvent,
};
use swiftshunt_http::{HttpClient, SendPermit};
use swiftshunt_lab::engine::{EngineSettings, expected_answer, natural_length, start};
use swiftshunt_types::Priority;
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(10);

fn request(name: &str, priority: Priority, resume_from: u32) -> GenerateRequest {
    GenerateRequest {
        request: name.into(),
        model: "stol-llm".into(),
        prompt: format!("prompt of {name}"),
        max_tokens: 1000,
        priority,
        resume_from,
        software: None,
    }
}

async fn engine(settings: EngineSettings) -> (HttpEngine, SocketAddr) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (running, _) = start(any_port, settings)
        .await
        .expect("the engine did not start");
    (HttpEngine::new(HttpClient::new(None)), running.address)
}

async fn read(
    engine: &HttpEngine,
    address: SocketAddr,
    request: &GenerateRequest,
) -> Vec<TokenEvent> {
    let stream = engine
        .generate(address, request, SendPermit::always(), TIMEOUT)
        .await
        .expect("generate call failed");
    let events: Vec<_> = stream.collect().await;
    events
        .into_iter()
        .collect::<Result<_, _>>()
        .expect("the stream failed before its last token")
}

#[test_case(0; "from the first token")]
#[test_case(7; "resumed at token 7")]
#[tokio::test]
async fn a_resumed_answer_continues_with_the_same_tokens(resume_from: u32) {
    let (engine, address) = engine(EngineSettings::default()).await;
    let request = request("a", Priority::Online, resume_from);
    let events = read(&engine, address, &request).await;
    let (expected, finish) = expected_answer(&request.prompt, request.max_tokens);
    let before: String = (0..resume_from)
        .map(|index| swiftshunt_lab::engine::token_text(&request.prompt, index))
        .collect();
    let text: String = events.iter().map(|event| event.text.as_str()).collect();
    assert_eq!(before + &text, expected);
    let last = events.last().expect("no token was received");
    assert_eq!(last.finish, Some(finish));
    assert_eq!(last.index, natural_length(&request.prompt));
}

#[tokio::test]
async fn an_online_request_preempts_a_batch_request_which_then_completes() {
    let settings = EngineSettings {
        slots: 1,
        ..EngineSettings::default()
    };
    let (engine, address) = engine(settings).await;
    let batch = request("batch", Priority::Batch, 0);
    let mut running = engine
        .generate(address, &batch, SendPermit::always(), TIMEOUT)
        .await
        .expect("generate call failed");
    running
        .next()
        .await
        .expect("the stream ended without a token")
        .expect("the stream failed before its first token");
    let online = read(&engine, address, &request("online", Priority::Online, 0)).await;
    assert_eq!(
        online.last().expect("no token was received").finish,
        Some(FinishReason::Stop)
    );
    let rest: Vec<_> = running.collect().await;
    let last = rest
        .last()
        .expect("the preempted stream ended without a token")
        .as_ref()
        .expect("the preempted stream failed before its last token");
    assert_eq!(
        last.finish,
        Some(FinishReason::Stop),
        "the batch request did not complete after the online request"
    );
}

#[tokio::test]
async fn an_order_with_a_stale_fence_is_refused() {
    let (engine, address) = engine(EngineSettings::default()).await;
    let order = |term| LoadOrder {
        fence: Fence {
            generation: 1,
            term,
            sequence: 1,
        },
        model: "m".into(),
    };
    engine
        .order(address, &order(2), TIMEOUT)
        .await
        .expect("the first order was refused");
    assert!(engine.order(address, &order(1), TIMEOUT).await.is_err());
}
