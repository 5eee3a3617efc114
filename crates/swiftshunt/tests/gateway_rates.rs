//! The request rate limit of a tenant, which holds for all gateways together.

mod gateway;

use std::time::Duration;

use gateway::{ExclusiveFleet, start};
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use swiftshunt_lab::platform::fleet::{
    ASK, PlatformOptions, PublishedTenant, eventually, first_configuration,
};
use test_case::test_case;
use tokio::time::Instant;

const DEADLINE: Duration = Duration::from_secs(6);
/// Time in which gateways discover each other.
const SETTLED: Duration = Duration::from_millis(2_500);
const LIMITED_KEY: &str = "key-of-the-limited";
const UNLIMITED_KEY: &str = "key-of-the-free";
/// Requests per second of the limited tenant.
const RATE: f64 = 10.0;
/// Number of requests that it may send in a burst in addition.
const BURST: f64 = 10.0;
/// Length of the window over which served requests are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of served requests in a window: the limit (10 per second for 5 s, plus a burst of 10), a
/// tenth more, and 20.
const MAX_SERVED: usize = 86;
const SETTINGS: &str = "[tenants]\nwindow = \"5s\"\ntolerance = 0.1\ntolerated_requests = 20";

async fn limited_fleet() -> ExclusiveFleet {
    let mut fleet = start(PlatformOptions {
        gateways: 3,
        extra_settings: SETTINGS.to_owned(),
        ..PlatformOptions::default()
    })
    .await;
    let tenants = [
        PublishedTenant::new("limited", &[LIMITED_KEY]).with_rate_limit(RATE, BURST),
        PublishedTenant::new("free", &[UNLIMITED_KEY]),
    ];
    fleet.configure_with_tenants(first_configuration(), Some(&tenants));
    tokio::time::sleep(SETTLED).await;
    let free = fleet.caller.with_key(UNLIMITED_KEY);
    for gateway in &fleet.gateways {
        eventually("the gateway accepts the keys", || async {
            let answer = free.ask(gateway.callers, ASK, "known", DEADLINE).await;
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }
    fleet
}

/// A request with the time at which it was sent and the status of its response.
struct SentRequest {
    sent_at: Instant,
    status: Option<StatusCode>,
    has_retry_after: bool,
}

/// Sends `per_second` requests a second for `duration`, to each gateway in turn; gateways may be down.
async fn send_all(
    fleet: &ExclusiveFleet,
    key: &str,
    per_second: u32,
    duration: Duration,
    name: &str,
) -> Vec<SentRequest> {
    let began = Instant::now();
    let interval = Duration::from_secs(1) / per_second;
    let mut sent = Vec::new();
    for number in 0..(duration.as_secs_f64() * f64::from(per_second)) as u32 {
        tokio::time::sleep_until(began + interval * number).await;
        let caller = fleet.caller.with_key(key);
        let gateway = fleet.gateways[number as usize % fleet.gateways.len()].callers;
        let id = format!("{name}-{number}");
        sent.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let answer = caller.ask(gateway, ASK, &id, DEADLINE).await.ok();
            SentRequest {
                sent_at,
                status: answer.as_ref().map(|answer| answer.status),
                has_retry_after: answer.is_some_and(|it| it.headers.contains_key(RETRY_AFTER)),
            }
        }));
    }
    let mut all = Vec::new();
    for one in sent {
        all.push(one.await.expect("the task panicked"));
    }
    all
}

/// Returns the maximum number of served requests that were sent within one window.
fn max_served_in_window(requests: &[SentRequest]) -> usize {
    let served = requests.iter();
    let served = served.filter(|one| one.status == Some(StatusCode::OK));
    let mut times: Vec<Instant> = served.map(|one| one.sent_at).collect();
    times.sort();
    let within = |first: &Instant| {
        let after = times.iter().filter(|at| *at >= first);
        after.filter(|at| **at < *first + WINDOW).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// A tenant that sends six times its limit through three gateways is served at its limit. Its other requests
/// get 429 with `retry-after`, and no other tenant is refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_tenant_beyond_its_limit_is_served_at_its_limit() {
    let fleet = limited_fleet().await;
    let hot = send_all(&fleet, LIMITED_KEY, 60, Duration::from_secs(7), "hot");
    let others = send_all(&fleet, UNLIMITED_KEY, 30, Duration::from_secs(7), "free");
    let (hot, others) = tokio::join!(hot, others);
    let most = max_served_in_window(&hot);
    println!("most in a window: {most}");
    assert!(
        (48..=MAX_SERVED).contains(&most),
        "{most} requests were served in one window"
    );
    for one in &hot {
        let refused = one.status == Some(StatusCode::TOO_MANY_REQUESTS) && one.has_retry_after;
        assert!(
            refused || one.status == Some(StatusCode::OK),
            "{:?}",
            one.status
        );
    }
    assert!(others.iter().all(|one| one.status == Some(StatusCode::OK)));
}

/// All requests of a tenant within its limit are served, although they alternate between gateways.
#[tokio::test(flavor = "multi_thread")]
async fn a_tenant_within_its_limit_is_never_refused() {
    let fleet = limited_fleet().await;
    let sent = send_all(&fleet, LIMITED_KEY, 8, Duration::from_secs(6), "usual").await;
    assert!(sent.iter().all(|one| one.status == Some(StatusCode::OK)));
}

#[derive(Clone, Copy, Debug)]
enum Failure {
    /// All gateways are killed and restarted: requests served before the restart must still count.
    AllRestart,
    /// Each gateway in turn is paused for a second, including the one that counts the requests.
    EachPaused,
    /// The gateways are killed and restarted one after the other.
    EachRestarts,
}

#[test_case(Failure::AllRestart; "all restart")]
#[test_case(Failure::EachPaused; "each is paused")]
#[test_case(Failure::EachRestarts; "each restarts")]
#[tokio::test(flavor = "multi_thread")]
async fn the_limit_holds_while_gateways_fail(failure: Failure) {
    let mut fleet = limited_fleet().await;
    let mut all = send_all(&fleet, LIMITED_KEY, 60, Duration::from_secs(2), "before").await;
    match failure {
        Failure::AllRestart => {
            for index in 0..3 {
                fleet.restart(index).expect("the gateway did not start");
            }
            all.extend(send_all(&fleet, LIMITED_KEY, 60, Duration::from_secs(5), "after").await);
        }
        Failure::EachPaused => {
            for index in 0..3 {
                fleet.gateways[index].process.pause();
                let name = format!("still-{index}");
                let asking = send_all(&fleet, LIMITED_KEY, 60, Duration::from_millis(1_500), &name);
                let resume_later = async {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                    fleet.gateways[index].process.resume();
                };
                let (sent, ()) = tokio::join!(asking, resume_later);
                all.extend(sent);
            }
        }
        Failure::EachRestarts => {
            for index in 0..3 {
                fleet.restart(index).expect("the gateway did not start");
                let name = format!("restart-{index}");
                let sent = send_all(&fleet, LIMITED_KEY, 60, Duration::from_millis(1_500), &name);
                all.extend(sent.await);
            }
        }
    }
    let most = max_served_in_window(&all);
    println!("most in a window, {failure:?}: {most}");
    assert!(
        most <= MAX_SERVED,
        "{most} requests were served in one window"
    );
    let served = all.iter().filter(|one| one.status == Some(StatusCode::OK));
    assert!(served.count() >= 30, "fewer than 30 requests were served");
}
