//! Identification of callers by their keys, and validation of tenants.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_routing::{
    Caller, Configuration, Credentials, KeyDigest, Limits, Rejected, Repeat, Route, RouteKind,
    Share, Tenant, TenantError, Tenants,
};
use swiftshunt_topology::Residency;
use swiftshunt_types::RateLimit;
use test_case::test_case;

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        priority: 0,
        rate: None,
        residency: Residency::anywhere(),
    }
}

fn limited(per_second: f64, burst: f64) -> Tenant {
    Tenant {
        rate: Some(RateLimit { per_second, burst }),
        ..tenant("a", &["k"])
    }
}

fn route(kind: RouteKind, is_public: bool) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        kind,
        repeat: Repeat::Allowed,
        resumable: false,
        shares: vec![Share {
            service: "s".to_owned(),
            weight: 1,
        }],
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        max_attempts: 1,
        priority: 0,
        is_public,
        pause_target: None,
        completion_target: None,
        give_up_after: None,
        waiting_tokens: None,
        residency: Residency::anywhere(),
    }
}

fn configuration(tenants: Option<Vec<Tenant>>, routes: Vec<Route>) -> Configuration {
    Configuration {
        version: 1,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: BTreeMap::new(),
        limits: Limits::default(),
        tenants: tenants.map(Tenants::new),
    }
}

fn key(text: &str) -> Credentials {
    Credentials::Key(KeyDigest::of(text))
}

fn name_of(caller: Result<Caller, Rejected>) -> Result<Option<String>, Rejected> {
    caller.map(|caller| caller.tenant_name().map(|name| name.as_str().to_owned()))
}

#[test_case(false, key("one") => Ok(Some("a".to_owned())))]
#[test_case(false, key("two") => Ok(Some("a".to_owned())); "second key")]
#[test_case(false, key("three") => Ok(Some("b".to_owned())); "another tenant")]
#[test_case(false, key("thre") => Err(Rejected::UnknownKey); "a part of a key")]
#[test_case(false, key("") => Err(Rejected::UnknownKey); "an empty key")]
#[test_case(false, Credentials::Missing => Err(Rejected::NoKey); "no key")]
#[test_case(false, Credentials::Unreadable => Err(Rejected::Unreadable); "no readable key")]
#[test_case(true, key("one") => Ok(Some("a".to_owned())); "a public route, a known key")]
#[test_case(true, key("x") => Ok(None); "a public route, an unknown key")]
#[test_case(true, Credentials::Missing => Ok(None); "a public route, no key")]
fn callers_are_identified_by_their_keys(
    is_public: bool,
    credentials: Credentials,
) -> Result<Option<String>, Rejected> {
    let tenants = vec![tenant("a", &["one", "two"]), tenant("b", &["three"])];
    let configuration = configuration(Some(tenants), Vec::new());
    name_of(configuration.caller(&route(RouteKind::Unary, is_public), &credentials))
}

#[test_case(key("one"))]
#[test_case(Credentials::Missing; "no key")]
#[test_case(Credentials::Unreadable; "no readable key")]
fn without_tenants_no_key_is_checked(credentials: Credentials) {
    let configuration = configuration(None, Vec::new());
    let caller = configuration.caller(&route(RouteKind::Unary, false), &credentials);
    assert_eq!(caller, Ok(Caller::Unchecked));
    assert_eq!(
        configuration.job_caller(&credentials),
        Ok(Caller::Unchecked)
    );
}

#[test]
fn with_an_empty_list_of_tenants_every_key_is_rejected() {
    let configuration = configuration(Some(Vec::new()), Vec::new());
    let caller = configuration.caller(&route(RouteKind::Unary, false), &key("one"));
    assert_eq!(caller, Err(Rejected::UnknownKey));
}

#[test_case(false, Credentials::Missing => Err(Rejected::NoKey); "no key")]
#[test_case(false, key("x") => Err(Rejected::UnknownKey); "an unknown key")]
#[test_case(false, key("k") => Ok(Some("a".to_owned())); "a known key")]
#[test_case(true, Credentials::Missing => Ok(None); "public jobs, no key")]
#[test_case(true, key("x") => Err(Rejected::UnknownKey); "public jobs, an unknown key")]
fn callers_of_job_requests_are_identified_by_their_keys(
    is_public: bool,
    credentials: Credentials,
) -> Result<Option<String>, Rejected> {
    let routes = vec![route(RouteKind::Batch, is_public)];
    let configuration = configuration(Some(vec![tenant("a", &["k"])]), routes);
    name_of(configuration.job_caller(&credentials))
}

#[test_case(vec![tenant("a", &["k"]), tenant("b", &["k"])], "key belongs to"; "a key of two tenants")]
#[test_case(vec![tenant("a", &["k"]), tenant("a", &["l"])], "two of that name"; "two tenants of one name")]
#[test_case(vec![tenant("", &["k"])], "has no name"; "no name")]
#[test_case(vec![tenant("a\r\nb", &["k"])], "control characters"; "a name with control characters")]
#[test_case(vec![limited(-1.0, 0.0)], "limit of requests"; "a rate below zero")]
#[test_case(vec![limited(f64::NAN, 0.0)], "limit of requests"; "a rate that is not a number")]
#[test_case(vec![limited(1.0, f64::INFINITY)], "limit of requests"; "an infinite burst")]
fn invalid_tenants_are_rejected(tenants: Vec<Tenant>, reason: &str) {
    let error = configuration(Some(tenants), Vec::new()).validate();
    let error = error
        .expect_err("invalid tenants were accepted")
        .to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_tenant_without_keys_is_valid_and_matches_no_caller() {
    let configuration = configuration(Some(vec![tenant("a", &[])]), Vec::new());
    assert_eq!(configuration.validate(), Ok(()));
    let caller = configuration.caller(&route(RouteKind::Unary, false), &key(""));
    assert_eq!(caller, Err(Rejected::UnknownKey));
}

#[test]
fn a_tenant_may_list_the_same_key_twice() {
    let configuration = configuration(Some(vec![tenant("a", &["k", "k"])]), Vec::new());
    assert_eq!(configuration.validate(), Ok(()));
}

#[test]
fn a_digest_does_not_reveal_its_key_and_is_restored_from_hex() {
    let digest = KeyDigest::of("secret-key");
    assert!(!format!("{digest:?} {}", digest.to_hex()).contains("secret"));
    assert_eq!(KeyDigest::from_hex(&digest.to_hex()), Some(digest));
    assert_eq!(KeyDigest::from_hex("secret-key"), None);
    let error = TenantError::SharedKey {
        tenant: "a".into(),
        other: "b".into(),
    };
    assert!(!error.to_string().contains("secret"));
}
