//! Authentication of callers by keys, and isolation of the jobs of tenants.

mod gateway;

use std::time::Duration;

use gateway::{
    EVENTS, ExclusiveFleet, NO_WAIT, assert_completed, expected_output, start, wait_for_all_results,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::{PlatformCaller, item_id};
use swiftshunt_lab::platform::fleet::{
    ASK, BATCH, ONCE, PlatformOptions, PublishedTenant, STREAM, eventually, first_configuration,
};
use swiftshunt_lab::platform::store::StoreFaults;
use swiftshunt_platform::words::headers;
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(6);
/// Time within which gateways must apply a change.
const APPLIED_WITHIN: Duration = Duration::from_secs(2);
/// Time in which gateways discover each other, and in which a gateway notices that the log does not answer it.
const SETTLED: Duration = Duration::from_millis(2_500);

const KEY_A: &str = "first-key-of-a";
const SECOND_KEY_A: &str = "second-key-of-a";
const KEY_B: &str = "the-key-of-b";

fn tenants() -> Vec<PublishedTenant> {
    vec![
        PublishedTenant::new("a", &[KEY_A, SECOND_KEY_A]),
        PublishedTenant::new("b", &[KEY_B]),
    ]
}

/// Starts a fleet with two tenants and waits until all gateways apply that configuration.
async fn start_with_tenants(options: PlatformOptions) -> ExclusiveFleet {
    let mut fleet = start(options).await;
    configure(&mut fleet, &tenants());
    let keyless_caller = fleet.caller.clone();
    for gateway in &fleet.gateways {
        eventually("the gateway requires a key", || async {
            status_of(&keyless_caller, gateway.callers, ASK, "r").await == StatusCode::UNAUTHORIZED
        })
        .await;
    }
    fleet
}

fn configure(fleet: &mut ExclusiveFleet, tenants: &[PublishedTenant]) {
    let mut configuration = first_configuration();
    for route in &mut configuration.routes {
        route.public = route.path_prefix == ONCE;
    }
    fleet.configure_with_tenants(configuration, Some(tenants));
}

async fn status_of(
    caller: &PlatformCaller,
    gateway: std::net::SocketAddr,
    path: &str,
    id: &str,
) -> StatusCode {
    let answer = caller.ask(gateway, path, id, DEADLINE).await;
    answer.expect("no response").status
}

/// Returns the values of the tenant header of each run of a request; asserts that no run received a key.
fn forwarded_tenants(fleet: &ExclusiveFleet, id: &str) -> Vec<Vec<String>> {
    let runs = fleet.runs_of(id).into_iter();
    let tenants = runs.map(|run| {
        assert!(!run.has_credentials, "{id}: a worker received a key");
        run.tenants
    });
    tenants.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn workers_receive_the_tenant_and_never_the_key() {
    let fleet = start_with_tenants(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    for (id, key, tenant) in [
        ("r1", KEY_A, "a"),
        ("r2", SECOND_KEY_A, "a"),
        ("r3", KEY_B, "b"),
    ] {
        for (path, kind) in [(ASK, "ask"), (STREAM, "stream")] {
            let id = format!("{id}-{kind}");
            let caller = fleet.caller.with_key(key);
            let spoofed = [(headers::TENANT, "another")];
            let answer = caller.ask_with_headers(gateway, path, &id, &spoofed).await;
            assert_eq!(answer.expect("no response").status, StatusCode::OK);
            assert_eq!(forwarded_tenants(&fleet, &id), [[tenant]]);
        }
    }
    // A public route needs no key, and a tenant header from a caller is removed.
    let spoofed = [(headers::TENANT, "a")];
    let answer = fleet.caller.ask_with_headers(gateway, ONCE, "p1", &spoofed);
    assert_eq!(answer.await.expect("no response").status, StatusCode::OK);
    assert_eq!(forwarded_tenants(&fleet, "p1"), [Vec::<String>::new()]);
}

#[test_case(&[]; "no key")]
#[test_case(&[("authorization", "Token no-such-key")]; "an unknown key")]
#[test_case(&[("authorization", "Bearer first-key-of-a")]; "another scheme")]
#[test_case(&[("authorization", "first-key-of-a")]; "no scheme")]
#[test_case(&[("authorization", "Token first-key-of-a"), ("authorization", "Token first-key-of-a")]; "two keys")]
#[test_case(&[("proxy-authorization", "Token first-key-of-a")]; "key in another header")]
#[test_case(&[("authorization", "Token  first-key-of-a")]; "two spaces")]
#[tokio::test(flavor = "multi_thread")]
async fn callers_without_a_known_key_are_refused(
    credentials: &'static [(&'static str, &'static str)],
) {
    let fleet = start_with_tenants(PlatformOptions {
        gateways: 1,
        ..PlatformOptions::default()
    })
    .await;
    let gateway = fleet.gateways[0].callers;
    for (path, id) in [
        (ASK, "r1"),
        (STREAM, "r2"),
        (BATCH, "r3"),
        ("/v1/lots/r4", "r4"),
    ] {
        let answer = fleet
            .caller
            .ask_with_headers(gateway, path, id, credentials)
            .await;
        let answer = answer.expect("no response");
        let expected = if path.starts_with("/v1/") && id == "r4" {
            // Job resources do not support this method.
            StatusCode::BAD_REQUEST
        } else {
            StatusCode::UNAUTHORIZED
        };
        assert_eq!(answer.status, expected, "{path}");
        assert!(fleet.runs_of(id).is_empty(), "{path}");
    }
    let asked = fleet.caller.results(gateway, "job", 0, NO_WAIT).await;
    assert_eq!(asked.expect("no response").0, StatusCode::UNAUTHORIZED);
    // The route is looked up before the key.
    let nowhere = fleet
        .caller
        .ask_with_headers(gateway, "/nowhere/", "r5", credentials);
    assert_eq!(
        nowhere.await.expect("no response").status,
        StatusCode::NOT_FOUND
    );
}

/// A revoked key is refused by all gateways within `APPLIED_WITHIN`, also by one that cannot reach the log, while
/// the tenant's other key stays valid. The revoked key stays refused after a restart of all gateways; if it
/// is later assigned to another tenant, it authenticates that tenant.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_refused_everywhere_within_the_bound() {
    let mut fleet = start_with_tenants(PlatformOptions {
        gateways: 3,
        ..PlatformOptions::default()
    })
    .await;
    let [revoked, valid] = [KEY_A, SECOND_KEY_A].map(|key| fleet.caller.with_key(key));
    // The gateways discover each other first, so that one without the log can read through another.
    tokio::time::sleep(SETTLED).await;
    fleet.gateways[1]
        .store_listener
        .set_faults(gateway::unresponsive_log());
    tokio::time::sleep(SETTLED).await;
    let mut changed = tenants();
    changed[0].api_keys.remove(0);
    configure(&mut fleet, &changed);
    tokio::time::sleep(APPLIED_WITHIN).await;
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        let revoked_status = status_of(&revoked, gateway.callers, ASK, &format!("g{index}")).await;
        assert_eq!(revoked_status, StatusCode::UNAUTHORIZED, "gateway {index}");
        let served = status_of(&valid, gateway.callers, ASK, &format!("k{index}")).await;
        assert_eq!(served, StatusCode::OK, "gateway {index}");
    }
    fleet.gateways[1]
        .store_listener
        .set_faults(StoreFaults::default());
    for index in 0..3 {
        fleet.restart(index).expect("the gateway did not start");
    }
    for gateway in &fleet.gateways {
        eventually("the gateway serves again", || async {
            status_of(&valid, gateway.callers, ASK, "again").await == StatusCode::OK
        })
        .await;
        let revoked_status = status_of(&revoked, gateway.callers, ASK, "gone").await;
        assert_eq!(revoked_status, StatusCode::UNAUTHORIZED);
    }
    changed[1].api_keys.push(KEY_A.to_owned());
    configure(&mut fleet, &changed);
    tokio::time::sleep(APPLIED_WITHIN).await;
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        let id = format!("moved-{index}");
        assert_eq!(
            status_of(&revoked, gateway.callers, ASK, &id).await,
            StatusCode::OK
        );
        assert_eq!(forwarded_tenants(&fleet, &id), [["b"]]);
    }
}

/// For another tenant a job does not exist, at the gateway that owns it and at those that forward calls to
/// the owner. Two tenants may use the same identifier for different jobs.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_invisible_to_other_tenants() {
    const ITEMS: usize = 3;
    let fleet = start_with_tenants(PlatformOptions {
        gateways: 3,
        ..PlatformOptions::default()
    })
    .await;
    let [owner, other] = [KEY_A, KEY_B].map(|key| fleet.caller.with_key(key));
    let first = fleet.gateways[0].callers;
    let submitted = owner.submit(first, BATCH, "job", ITEMS).await;
    assert_eq!(submitted.expect("no response"), StatusCode::ACCEPTED);
    for gateway in &fleet.gateways {
        let gateway = gateway.callers;
        let item = item_id("job", 0);
        eventually("the owner can read the job", || async {
            let read = owner.results(gateway, "job", 0, NO_WAIT).await;
            read.is_ok_and(|(status, page)| status == StatusCode::OK && page.total == ITEMS)
        })
        .await;
        let read = other.results(gateway, "job", 0, NO_WAIT).await;
        assert_eq!(read.expect("no response").0, StatusCode::NOT_FOUND);
        let body = other.item(gateway, "job", &item).await;
        assert_eq!(body.expect("no response").0, StatusCode::NOT_FOUND);
        let ended = other.end(gateway, "job").await;
        assert_eq!(ended.expect("no response"), StatusCode::NOT_FOUND);
        let without_key = fleet.caller.results(gateway, "job", 0, NO_WAIT).await;
        assert_eq!(
            without_key.expect("no response").0,
            StatusCode::UNAUTHORIZED
        );
    }
    let again = other
        .submit(fleet.gateways[1].callers, BATCH, "job", 1)
        .await;
    assert_eq!(again.expect("no response"), StatusCode::ACCEPTED);
    eventually("both jobs are completed", || async {
        let of_owner = owner.results(first, "job", 0, NO_WAIT).await;
        let of_other = other.results(first, "job", 0, NO_WAIT).await;
        let lengths = (
            of_owner.expect("no response").1,
            of_other.expect("no response").1,
        );
        lengths.0.results.len() == ITEMS && lengths.1.results.len() == 1
    })
    .await;
    let (_, page) = owner
        .results(first, "job", 0, NO_WAIT)
        .await
        .expect("no response");
    assert_completed(&page.results, "job", ITEMS);
}

/// Items run on behalf of the tenant that submitted them, even after the tenant and its keys were removed.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_removed_tenant_still_run_on_its_behalf() {
    const ITEMS: usize = 4;
    let mut fleet = start_with_tenants(PlatformOptions {
        event_interval: Duration::from_millis(400),
        ..PlatformOptions::default()
    })
    .await;
    let owner = fleet.caller.with_key(KEY_A);
    let gateway = fleet.gateways[0].callers;
    let submitted = owner.submit(gateway, BATCH, "job", ITEMS).await;
    assert_eq!(submitted.expect("no response"), StatusCode::ACCEPTED);
    configure(&mut fleet, &tenants()[1..]);
    tokio::time::sleep(APPLIED_WITHIN).await;
    let read = owner.results(gateway, "job", 0, NO_WAIT).await;
    assert_eq!(read.expect("no response").0, StatusCode::UNAUTHORIZED);
    eventually("all items have run", || async {
        let has_completed_run = |item| {
            let runs = fleet.runs_of(&item_id("job", item));
            runs.iter().any(|run| run.completed)
        };
        (0..ITEMS).all(has_completed_run)
    })
    .await;
    for item in 0..ITEMS {
        for tenants in forwarded_tenants(&fleet, &item_id("job", item)) {
            assert_eq!(tenants, ["a"]);
        }
    }
    // The results are readable with a new key of the same tenant.
    configure(&mut fleet, &[PublishedTenant::new("a", &["a-later-key"])]);
    tokio::time::sleep(APPLIED_WITHIN).await;
    let later = fleet.caller.with_key("a-later-key");
    let (status, page) = later
        .results(gateway, "job", 0, NO_WAIT)
        .await
        .expect("no response");
    assert_eq!((status, page.results.len()), (StatusCode::OK, ITEMS));
    assert_eq!(
        page.results[0].text,
        expected_output(&page.results[0].id, EVENTS)
    );
}

/// Keys appear neither in logs of any level nor in metrics, also when a gateway reads the configuration
/// through another one.
#[tokio::test(flavor = "multi_thread")]
async fn no_key_appears_in_any_output() {
    let mut fleet = start_with_tenants(PlatformOptions {
        gateways: 3,
        extra_directory_settings: "gateways_per_reader = 2".to_owned(),
        ..PlatformOptions::default()
    })
    .await;
    let caller = fleet.caller.with_key(KEY_A);
    let gateway = fleet.gateways[0].callers;
    let submitted = caller.submit(gateway, BATCH, "job", 2).await;
    assert_eq!(submitted.expect("no response"), StatusCode::ACCEPTED);
    fleet.gateways[1]
        .store_listener
        .set_faults(gateway::unresponsive_log());
    configure(&mut fleet, &tenants());
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        status_of(&caller, gateway.callers, ASK, &format!("r{index}")).await;
        status_of(&caller, gateway.callers, STREAM, &format!("s{index}")).await;
        let unknown = fleet.caller.with_key("unknown-secret-key");
        status_of(&unknown, gateway.callers, ASK, &format!("u{index}")).await;
        drop(caller.results(gateway.callers, "job", 0, NO_WAIT).await);
        let metrics = fleet.caller.metrics(gateway.metrics).await;
        assert!(metrics.contains("swiftshunt_rejected_keys"));
        assert_contains_no_key(&metrics);
    }
    wait_for_two_results(&fleet, &caller).await;
    let logs = std::fs::read_dir(fleet.log_directory()).expect("the log directory is unreadable");
    let mut read = 0;
    for file in logs {
        let path = file.expect("the log directory is unreadable").path();
        if path.extension().is_some_and(|extension| extension == "log") {
            let text =
                String::from_utf8_lossy(&std::fs::read(&path).expect("the log file is unreadable"))
                    .into_owned();
            assert!(
                text.contains("a caller's key is not taken"),
                "{}",
                path.display()
            );
            assert_contains_no_key(&text);
            read += 1;
        }
    }
    assert_eq!(read, 3);
}

async fn wait_for_two_results(fleet: &ExclusiveFleet, caller: &PlatformCaller) {
    eventually("the job is completed", || async {
        let read = caller
            .results(fleet.gateways[2].callers, "job", 0, NO_WAIT)
            .await;
        read.is_ok_and(|(_, page)| page.results.len() == 2)
    })
    .await;
}

fn assert_contains_no_key(text: &str) {
    for key in [KEY_A, SECOND_KEY_A, KEY_B, "unknown-secret-key"] {
        assert!(!text.contains(key), "the output contains a key");
    }
}

/// A gateway that cannot confirm its configuration for longer than `confirm_within` refuses callers with keys
/// if `strict` is set. Otherwise it serves them by the last known configuration.
#[test_case("", StatusCode::OK; "served by the last known configuration")]
#[test_case("[tenants]\nstrict = true\nconfirm_within = \"2s\"", StatusCode::SERVICE_UNAVAILABLE; "refused if strict")]
#[tokio::test(flavor = "multi_thread")]
async fn an_unconfirmed_configuration_serves_or_refuses_keys_as_set(
    settings: &str,
    expected: StatusCode,
) {
    let fleet = start_with_tenants(PlatformOptions {
        extra_settings: settings.to_owned(),
        ..PlatformOptions::default()
    })
    .await;
    let caller = fleet.caller.with_key(KEY_A);
    for gateway in &fleet.gateways {
        gateway
            .store_listener
            .set_faults(gateway::unresponsive_log());
    }
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    let gateway = fleet.gateways[0].callers;
    assert_eq!(status_of(&caller, gateway, ASK, "r1").await, expected);
    assert_eq!(
        status_of(&fleet.caller, gateway, ONCE, "p1").await,
        StatusCode::OK
    );
    fleet.gateways[0]
        .store_listener
        .set_faults(StoreFaults::default());
    eventually("the gateway serves again", || async {
        status_of(&caller, gateway, ASK, "r2").await == StatusCode::OK
    })
    .await;
}

/// Without tenants in the configuration, credentials are forwarded to workers, and requests and jobs are
/// served without authentication.
#[tokio::test(flavor = "multi_thread")]
async fn without_tenants_keys_are_forwarded_and_not_checked() {
    let fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    let caller = fleet.caller.with_key("anything");
    assert_eq!(status_of(&caller, gateway, ASK, "r1").await, StatusCode::OK);
    let run = &fleet.runs_of("r1")[0];
    assert!(run.has_credentials && run.tenants.is_empty());
    let submitted = caller.submit(gateway, BATCH, "job", 2).await;
    assert_eq!(submitted.expect("no response"), StatusCode::ACCEPTED);
    wait_for_all_results(&fleet, fleet.gateways[1].callers, "job", 2).await;
}
