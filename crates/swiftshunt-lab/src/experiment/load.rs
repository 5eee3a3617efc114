//! Load of one run: online requests in an open loop, and batch work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftshunt_http::HttpError;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::plan::{BatchPlan, OnlinePlan};
use crate::caller::{Caller, batch_lines, prompt_for};
use crate::engine::expected_answer;
use crate::stand_in::lock;

/// Results of the online requests of one run.
pub(super) struct OnlineTally {
    pub(super) arrived: u64,
    pub(super) answered: u64,
    pub(super) refused: u64,
    pub(super) refused_without_retry_after: u64,
    pub(super) failed: u64,
    /// Time from arrival to first token, in microseconds.
    pub(super) first_token: Histogram<u64>,
    /// Time from arrival to refusal, in microseconds.
    pub(super) refusal: Histogram<u64>,
}

const SIGNIFICANT_DIGITS: u8 = 3;

impl Default for OnlineTally {
    fn default() -> Self {
        // The library supports 0 to 5 significant digits, so this cannot fail.
        let histogram = || Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!());
        Self {
            arrived: 0,
            answered: 0,
            refused: 0,
            refused_without_retry_after: 0,
            failed: 0,
            first_token: histogram(),
            refusal: histogram(),
        }
    }
}

/// Nodes and models that the load is sent to, and the API client that sends it.
#[derive(Clone)]
pub(super) struct Target {
    pub(super) nodes: Vec<SocketAddr>,
    pub(super) tenant: Caller,
    pub(super) online_model: &'static str,
    pub(super) batch_model: &'static str,
}

/// Returns the arrival times of online requests as offsets from the start, in order. Arrivals form a Poisson process,
/// to which each burst adds another.
fn arrivals(plan: &OnlinePlan, duration: Duration, seed: u64) -> Vec<Duration> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut arrival_times = poisson_arrivals(
        plan.requests_per_second,
        Duration::ZERO,
        duration,
        &mut random,
    );
    for burst in &plan.bursts {
        let end = (burst.at + burst.duration).min(duration);
        arrival_times.extend(poisson_arrivals(
            burst.requests_per_second,
            burst.at,
            end,
            &mut random,
        ));
    }
    arrival_times.sort_unstable();
    arrival_times
}

fn poisson_arrivals(
    requests_per_second: f64,
    from: Duration,
    to: Duration,
    random: &mut SmallRng,
) -> Vec<Duration> {
    let mut arrival_times = Vec::new();
    let mut at = from;
    loop {
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / requests_per_second);
        if at >= to {
            return arrival_times;
        }
        arrival_times.push(at);
    }
}

/// Sends each online request at its arrival time, without waiting for earlier responses, and returns the results once
/// all requests have ended.
pub(super) async fn run_online(
    target: Target,
    plan: OnlinePlan,
    duration: Duration,
    seed: u64,
) -> OnlineTally {
    let tally = Arc::new(Mutex::new(OnlineTally::default()));
    let began = Instant::now();
    let mut requests = JoinSet::new();
    for (number, offset) in arrivals(&plan, duration, seed).into_iter().enumerate() {
        let arrival = began + offset;
        tokio::time::sleep_until(arrival).await;
        lock(&tally).arrived += 1;
        let (target, tally) = (target.clone(), Arc::clone(&tally));
        requests.spawn(async move {
            send_online_request(&target, &tally, number, plan.max_tokens, arrival).await;
        });
    }
    while requests.join_next().await.is_some() {}
    let mut tally = lock(&tally);
    std::mem::take(&mut *tally)
}

async fn send_online_request(
    target: &Target,
    tally: &Mutex<OnlineTally>,
    number: usize,
    max_tokens: u32,
    arrival: Instant,
) {
    let node = target.nodes[number % target.nodes.len()];
    let content = format!("online request {number}");
    let (expected, _) = expected_answer(&prompt_for(&content), max_tokens);
    let send_delay = arrival.elapsed();
    let answer = target
        .tenant
        .chat_stream(node, target.online_model, &content, max_tokens)
        .await;
    let elapsed = arrival.elapsed();
    let mut tally = lock(tally);
    match answer {
        Ok(streamed) if streamed.text == expected => {
            tally.answered += 1;
            let first = send_delay + streamed.time_to_first_token.unwrap_or_default();
            // The histogram resizes itself, so that no value is out of range.
            tally.first_token.record(first.as_micros() as u64).ok();
        }
        Err(HttpError::Status {
            status: 503,
            body,
            retry_after,
            ..
        }) if body.contains("not_run") => {
            tally.refused += 1;
            tally.refused_without_retry_after += u64::from(retry_after.is_none());
            tally.refusal.record(elapsed.as_micros() as u64).ok();
        }
        _ => tally.failed += 1,
    }
}

/// Creates batch jobs at the interval of the plan until `duration` has passed.
pub(super) async fn run_jobs(target: Target, plan: BatchPlan, duration: Duration) {
    let began = Instant::now();
    let mut round = 0;
    while began.elapsed() < duration {
        for job in 0..plan.jobs {
            let contents: Vec<String> = (0..plan.items)
                .map(|item| format!("heap {round} job {job} item {item}"))
                .collect();
            let lines = batch_lines(target.batch_model, &contents, plan.max_tokens);
            let node = target.nodes[job % target.nodes.len()];
            let Ok(file) = target.tenant.upload(node, &lines).await else {
                continue;
            };
            if let Some(file) = file.json()["id"].as_str() {
                drop(target.tenant.create_batch(node, file, None).await);
            }
        }
        round += 1;
        tokio::time::sleep_until(began + plan.interval * round).await;
    }
}

/// Sends batch work as online requests with `concurrency` requests at a time until `duration` has passed, and adds the
/// generated tokens to `tokens`. Engines do not preempt this work, unlike batch jobs, so the run shows a fleet
/// without preemption.
pub(super) async fn run_without_preemption(
    target: Target,
    plan: BatchPlan,
    duration: Duration,
    concurrency: usize,
    tokens: Arc<AtomicU64>,
) {
    let began = Instant::now();
    let mut senders = JoinSet::new();
    for sender in 0..concurrency {
        let (target, plan, tokens) = (target.clone(), plan.clone(), Arc::clone(&tokens));
        senders.spawn(async move {
            for item in 0.. {
                if began.elapsed() >= duration {
                    return;
                }
                let node = target.nodes[sender % target.nodes.len()];
                let content = format!("unyielding {sender} item {item}");
                let model = target.batch_model;
                if let Ok(answer) = target
                    .tenant
                    .chat(node, model, &content, plan.max_tokens)
                    .await
                {
                    let generated = answer.json()["usage"]["completion_tokens"].as_u64();
                    tokens.fetch_add(generated.unwrap_or_default(), Ordering::Relaxed);
                }
            }
        });
    }
    while senders.join_next().await.is_some() {}
}
