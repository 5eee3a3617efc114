//! Matching of routes, versions of the configuration, weighted splits and regions of jobs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_routing::{
    Configuration, ConfigurationError, CurrentConfiguration, Installed, Limits, Repeat, Route,
    RouteKind, Share, SplitState,
};
use swiftshunt_topology::Residency;
use swiftshunt_types::RegionName;

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, u32)]) -> Arc<Route> {
    let shares = shares.iter().map(|(service, weight)| Share {
        service: (*service).to_owned(),
        weight: *weight,
    });
    Arc::new(Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Unary,
        repeat: Repeat::Allowed,
        resumable: false,
        shares: shares.collect(),
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_attempts: 2,
        priority: 0,
        is_public: false,
        pause_target: None,
        completion_target: None,
        give_up_after: None,
        waiting_tokens: None,
        residency: Residency::anywhere(),
    })
}

fn configuration(version: u64, routes: Vec<Arc<Route>>) -> Configuration {
    Configuration {
        version,
        routes,
        services: BTreeMap::new(),
        limits: Limits::default(),
        tenants: None,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "a.example", "/x/", &[("s", 1)]),
        route("long", "a.example", "/x/y/", &[("s", 1)]),
        route("other", "b.example", "/x/y/z/", &[("s", 1)]),
    ];
    let configuration = configuration(1, routes);
    let name = |host, path| configuration.route(host, path).map(|route| &*route.name);
    assert_eq!(name("a.example", "/x/1"), Some("short"));
    assert_eq!(name("A.Example", "/x/y/z/1"), Some("long"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("a.example", "/z/"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn an_equal_or_older_version_is_not_installed() {
    let mut versioned = CurrentConfiguration::default();
    assert!(versioned.current().is_none());
    for (offered, outcome) in [
        (7, Installed::Taken),
        (5, Installed::NotNewer),
        (7, Installed::NotNewer),
        (9, Installed::Taken),
    ] {
        assert_eq!(
            versioned.install(configuration(offered, Vec::new())),
            outcome
        );
    }
    assert_eq!(versioned.current().map(|current| current.version), Some(9));
}

#[test]
fn a_bad_prefix_or_a_route_without_weights_is_rejected() {
    let bad = configuration(1, vec![route("r", "h", "/x", &[("s", 1)])]);
    assert!(matches!(
        bad.validate(),
        Err(ConfigurationError::Prefix { .. })
    ));
    let bad = configuration(1, vec![route("r", "h", "/x/", &[("s", 0)])]);
    let error = bad.validate().expect_err("the only share has weight 0");
    assert!(error.to_string().contains("routes.r"));
}

#[test]
fn every_ten_requests_are_split_by_weight() {
    let route = route("r", "h", "/", &[("a", 90), ("b", 10)]);
    let mut split = SplitState::default();
    for run in 0..20 {
        let to_b = (0..10)
            .filter(|_| split.next(&route, |_| true) == "b")
            .count();
        assert_eq!(to_b, 1, "run {run}");
    }
}

#[test]
fn an_unusable_service_leaves_its_share_to_the_others() {
    let route = route("r", "h", "/", &[("a", 1), ("b", 1)]);
    let mut split = SplitState::default();
    for _ in 0..10 {
        assert_eq!(split.next(&route, |service| service == "b"), "b");
    }
    let all_gone = split.next(&route, |_| false);
    assert!(["a", "b"].contains(&all_gone));
}

/// Jobs of all routes share partitions, so they run only in regions that every batch route allows; a route that
/// has no region in common with the earlier ones is skipped.
#[test]
fn jobs_run_in_regions_that_every_batch_route_allows() {
    let region = |name: &str| RegionName(name.to_owned());
    let deployment = ["east", "north", "south"].map(region);
    let batch = |name: &str, regions: &[&str]| {
        let any = route(name, "a.example", &format!("/{name}/"), &[("s", 1)]);
        let regions = regions.iter().map(|name| region(name));
        Arc::new(Route {
            kind: RouteKind::Batch,
            residency: Residency::within(regions),
            ..Route::clone(&any)
        })
    };
    let regions = |routes| {
        let regions = configuration(1, routes).regions_of_jobs(&deployment);
        let names = regions.into_iter().map(|region| region.0);
        names.collect::<Vec<_>>().join(" ")
    };
    assert_eq!(regions(vec![batch("any", &[])]), "east north south");
    let two = batch("two", &["north", "south"]);
    assert_eq!(regions(vec![Arc::clone(&two)]), "north south");
    let one = batch("one", &["south"]);
    assert_eq!(regions(vec![Arc::clone(&two), one]), "south");
    // This route has no region in common with the one before it, so it does not narrow the regions.
    let apart = batch("apart", &["east"]);
    assert_eq!(regions(vec![two, apart]), "north south");
}
