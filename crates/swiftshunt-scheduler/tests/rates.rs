//! The counter's bucket of credits and the gateways' limiters.

use std::time::Duration;

use swiftshunt_scheduler::rates::bucket::{Bucket, CreditRequest, CreditResponse};
use swiftshunt_scheduler::rates::limiter::{AdmitDecision, TenantLimiter};
use swiftshunt_scheduler::rates::{CREDIT_TTL, Tolerance, Usage, gateway_share};
use swiftshunt_types::RateLimit;

const LIMIT: RateLimit = RateLimit {
    per_second: 10.0,
    burst: 20.0,
};
/// The tolerance is a tenth of what the limit allows: 7 requests for this limit.
const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    share: 0.1,
    requests: 0.0,
};
const START: Duration = Duration::from_secs(100);
const COUNTER: u64 = 7;

fn at(milliseconds: u64) -> Duration {
    START + Duration::from_millis(milliseconds)
}

fn needs(need: u32) -> CreditRequest {
    CreditRequest {
        need,
        ..CreditRequest::default()
    }
}

fn credits(response: CreditResponse) -> u32 {
    match response {
        CreditResponse::Granted { credits, .. } => credits,
        CreditResponse::Exhausted { .. } | CreditResponse::DecideAlone => 0,
    }
}

fn full_bucket() -> Bucket<u32> {
    Bucket::new(LIMIT, 1, TOLERANCE.capacity(LIMIT), START)
}

#[test]
fn a_bucket_grants_its_level_and_then_only_the_refill() {
    let mut bucket = full_bucket();
    let all: u32 = (0..40)
        .map(|_| credits(bucket.grant_credits(1, needs(1), &TOLERANCE, START)))
        .sum();
    assert_eq!(all, TOLERANCE.capacity(LIMIT) as u32);
    let refused = bucket.grant_credits(1, needs(1), &TOLERANCE, START);
    let CreditResponse::Exhausted { again_after, .. } = refused else {
        panic!("{refused:?}");
    };
    assert!(again_after <= Duration::from_millis(100), "{again_after:?}");
    assert_eq!(
        credits(bucket.grant_credits(1, needs(5), &TOLERANCE, at(300))),
        3
    );
}

/// Credits that a gateway holds must not be refilled while it may still spend them.
#[test]
fn credits_held_by_a_gateway_are_not_refilled() {
    let mut bucket = full_bucket();
    let capacity = TOLERANCE.capacity(LIMIT) as u32;
    let ahead = CreditRequest {
        ahead: 8,
        ..needs(1)
    };
    let held = credits(bucket.grant_credits(1, ahead, &TOLERANCE, START));
    assert_eq!(held, 9);
    // Much later, another gateway asks for all credits; the first may still spend the ones that it
    // holds.
    let later = START + CREDIT_TTL - Duration::from_millis(1);
    let others = (0..100).map(|_| credits(bucket.grant_credits(2, needs(1), &TOLERANCE, later)));
    // One of the credits was needed by a waiting request and is spent.
    assert!(others.sum::<u32>() + held - 1 <= capacity);
}

#[test]
fn unused_credits_return_to_the_bucket() {
    let mut bucket = full_bucket();
    let drained: u32 = (0..40)
        .map(|_| credits(bucket.grant_credits(1, needs(1), &TOLERANCE, START)))
        .sum();
    assert!(drained > 0);
    let request = CreditRequest {
        need: 2,
        unused: 2,
        ..CreditRequest::default()
    };
    assert_eq!(
        credits(bucket.grant_credits(1, request, &TOLERANCE, START)),
        2
    );
}

#[test]
fn prefetching_leaves_credits_for_waiting_requests() {
    let mut bucket = full_bucket();
    let greedy = CreditRequest {
        ahead: 1_000,
        ..CreditRequest::default()
    };
    let all: u32 = (0..10)
        .map(|gateway| credits(bucket.grant_credits(gateway, greedy, &TOLERANCE, START)))
        .sum();
    assert!(f64::from(all) <= TOLERANCE.capacity(LIMIT) / 2.0, "{all}");
    assert_eq!(
        credits(bucket.grant_credits(11, needs(3), &TOLERANCE, START)),
        3
    );
}

#[test]
fn a_lower_limit_applies_at_once_and_an_older_version_is_ignored() {
    let mut bucket = full_bucket();
    let lower = RateLimit {
        per_second: 1.0,
        burst: 2.0,
    };
    bucket.update_limit(lower, 2, &TOLERANCE, START);
    bucket.update_limit(LIMIT, 1, &TOLERANCE, START);
    let all: u32 = (0..40)
        .map(|_| credits(bucket.grant_credits(1, needs(1), &TOLERANCE, START)))
        .sum();
    assert_eq!(all, TOLERANCE.capacity(lower) as u32);
}

/// Near the limit, shares of silent gateways must not be granted to others.
#[test]
fn shares_of_silent_gateways_are_reserved_near_the_limit() {
    let mut bucket = full_bucket();
    for gateway in 0..10 {
        let request = CreditRequest {
            recent: 10,
            ..needs(5)
        };
        bucket.grant_credits(gateway, request, &TOLERANCE, at(6_000));
    }
    assert!(bucket.is_near_limit(&TOLERANCE));
    bucket.reserve_for_silent(&[7, 8, 9], 10, &TOLERANCE, at(6_000));
    let granted: u32 = (0..100)
        .map(|step| credits(bucket.grant_credits(1, needs(5), &TOLERANCE, at(10_000 + step * 100))))
        .sum();
    // 14 s at seven tenths of the rate, less the requests that three gateways may have saved up.
    assert!((70..=98).contains(&granted), "{granted}");
}

#[test]
fn a_request_spends_a_credit_or_asks_the_counter() {
    let mut limiter = TenantLimiter::default();
    assert_eq!(limiter.admit(LIMIT, 4, START), AdmitDecision::AskCounter);
    let request = limiter.credit_request(1, COUNTER, START);
    assert_eq!((request.need, request.held), (1, 0));
    let granted = CreditResponse::Granted {
        credits: 2,
        recent: 5,
        left: 9,
    };
    limiter.apply_response(granted, COUNTER, 4, START, START);
    assert_eq!(limiter.admit(LIMIT, 4, START), AdmitDecision::Admitted);
    assert_eq!(limiter.admit(LIMIT, 4, START), AdmitDecision::Admitted);
    assert_eq!(limiter.admit(LIMIT, 4, START), AdmitDecision::AskCounter);
    let figures = limiter.figures(START);
    assert_eq!((figures.here, figures.by_all), (2, Some(5)));
}

#[test]
fn credits_expire_counted_from_the_time_of_their_request() {
    let mut limiter = TenantLimiter::default();
    let granted = CreditResponse::Granted {
        credits: 2,
        recent: 0,
        left: 9,
    };
    limiter.apply_response(granted, COUNTER, 4, START, at(2_900));
    assert_eq!(limiter.admit(LIMIT, 4, at(2_950)), AdmitDecision::Admitted);
    assert_eq!(
        limiter.admit(LIMIT, 4, START + CREDIT_TTL),
        AdmitDecision::AskCounter
    );
    assert_eq!(
        limiter
            .credit_request(1, COUNTER, START + CREDIT_TTL)
            .unused,
        1
    );
}

#[test]
fn an_exhausted_tenant_is_refused_locally_until_the_retry_time() {
    let mut limiter = TenantLimiter::default();
    let again_after = Duration::from_millis(70);
    let exhausted = CreditResponse::Exhausted {
        again_after,
        recent: 70,
    };
    limiter.apply_response(exhausted, COUNTER, 4, START, START);
    let refused = AdmitDecision::Refused { again_after };
    assert_eq!(limiter.admit(LIMIT, 4, START), refused);
    assert_eq!(limiter.admit(LIMIT, 4, at(70)), AdmitDecision::AskCounter);
}

#[test]
fn a_refunded_credit_is_spent_by_the_next_request() {
    let mut limiter = TenantLimiter::default();
    let granted = CreditResponse::Granted {
        credits: 1,
        recent: 0,
        left: 9,
    };
    limiter.apply_response(granted, COUNTER, 4, START, START);
    assert_eq!(limiter.admit(LIMIT, 4, START), AdmitDecision::Admitted);
    limiter.refund_credit(START);
    assert_eq!(limiter.admit(LIMIT, 4, START), AdmitDecision::Admitted);
    assert_eq!(limiter.admit(LIMIT, 4, START), AdmitDecision::AskCounter);
}

/// The bucket of a counter that was unreachable fills while another counter grants credits. The next
/// request must tell it how many credits that counter had left.
#[test]
fn successive_counters_grant_no_more_than_one_counter() {
    let mut limiter = TenantLimiter::default();
    let granted = CreditResponse::Granted {
        credits: 1,
        recent: 30,
        left: 4,
    };
    limiter.apply_response(granted, COUNTER, 4, START, START);
    assert_eq!(
        limiter.credit_request(1, COUNTER, at(100)).left_elsewhere,
        None
    );
    let request = limiter.credit_request(1, COUNTER + 1, at(100));
    assert!(request.left_elsewhere.is_some());
    let mut bucket = full_bucket();
    let first = credits(bucket.grant_credits(1, request, &TOLERANCE, at(100)));
    let rest: u32 = (0..40)
        .map(|_| credits(bucket.grant_credits(1, needs(1), &TOLERANCE, at(100))))
        .sum();
    assert_eq!(first + rest, 5);
}

/// Without a counter a gateway admits its share of the rate. It has saved up nothing at its start.
#[test]
fn without_a_counter_a_gateway_admits_its_own_share() {
    let mut limiter = TenantLimiter::default();
    assert!(!limiter.admit_from_own_share(LIMIT, 10, START));
    let admitted =
        (0..600_u64).filter(|step| limiter.admit_from_own_share(LIMIT, 10, at(step * 100)));
    // A tenth of 10 requests per second, for a minute.
    let admitted = admitted.count();
    assert!((55..=61).contains(&admitted), "{admitted}");
}

#[test]
fn shares_of_all_gateways_add_up_to_one() {
    let here = [0_u32, 3, 0, 12, 1];
    let all = here.iter().sum();
    let shares: f64 = here.iter().map(|here| gateway_share(*here, all, 5)).sum();
    assert!((shares - 1.0).abs() < 1e-9, "{shares}");
}

#[test]
fn usage_forgets_what_is_older_than_its_window() {
    let mut usage = Usage::default();
    for step in 0..20 {
        usage.add(at(step * 500));
    }
    assert_eq!(usage.total(at(9_500)), 10);
    assert_eq!(usage.total(at(12_100)), 5);
    assert_eq!(usage.total(at(60_000)), 0);
}

/// Returns the bucket of a counter that takes over, which begins at level 0.
fn empty_bucket() -> Bucket<u32> {
    Bucket::new(LIMIT, 1, 0.0, START)
}

fn granted_within(bucket: &mut Bucket<u32>, from: u64, until: u64) -> u32 {
    (from / 100..until / 100)
        .map(|step| credits(bucket.grant_credits(1, needs(5), &TOLERANCE, at(step * 100))))
        .sum()
}

#[test]
fn requests_admitted_from_the_own_share_are_deducted_once() {
    let mut bucket = full_bucket();
    bucket.grant_credits(1, needs(0), &TOLERANCE, at(6_000));
    let request = CreditRequest {
        spent_alone: 12,
        ..needs(0)
    };
    // The answer to the first request is lost.
    bucket.grant_credits(2, request, &TOLERANCE, at(6_000));
    bucket.grant_credits(2, request, &TOLERANCE, at(6_020));
    let granted = credits(bucket.grant_credits(1, needs(40), &TOLERANCE, at(6_020)));
    let capacity = TOLERANCE.capacity(LIMIT) as u32;
    assert!(
        (capacity - 13..=capacity - 12).contains(&granted),
        "{granted}"
    );
}

#[test]
fn a_new_counter_reserves_the_unclaimed_share_for_silent_gateways() {
    let mut bucket = empty_bucket();
    for gateway in 0..4 {
        let request = CreditRequest {
            share: Some(0.1),
            ..needs(1)
        };
        bucket.grant_credits(gateway, request, &TOLERANCE, START);
    }
    bucket.reserve_for_silent(&[4], 5, &TOLERANCE, START);
    let granted = granted_within(&mut bucket, 0, 10_000);
    // Four tenths of the rate: the gateway that never asked here may have the rest.
    assert!((30..=41).contains(&granted), "{granted}");
}

#[test]
fn requests_saved_up_before_a_reservation_are_deducted_again() {
    let mut bucket = full_bucket();
    for gateway in 0..2 {
        let request = CreditRequest {
            recent: 25,
            by_all: 50,
            ..needs(11)
        };
        bucket.grant_credits(gateway, request, &TOLERANCE, at(6_000));
    }
    bucket.reserve_for_silent(&[0], 2, &TOLERANCE, at(6_000));
    bucket.release_reserved(&TOLERANCE, at(6_100));
    let near_limit = bucket.grant_credits(1, needs(20), &TOLERANCE, at(9_000));
    assert!(credits(near_limit) >= 15, "{near_limit:?}");
    bucket.reserve_for_silent(&[0], 2, &TOLERANCE, at(9_000));
    // The silent gateway may have saved up half of the burst again.
    assert_eq!(granted_within(&mut bucket, 9_000, 10_000), 0);
}

#[test]
fn an_exhausted_counter_clears_the_saved_own_share() {
    let mut limiter = TenantLimiter::default();
    assert!(!limiter.admit_from_own_share(LIMIT, 1, START));
    let refused = CreditResponse::Exhausted {
        again_after: Duration::from_millis(50),
        recent: 0,
    };
    limiter.apply_response(refused, COUNTER, 1, at(5_000), at(5_000));
    assert!(!limiter.admit_from_own_share(LIMIT, 1, at(5_000)));
}
