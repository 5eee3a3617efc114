//! Split of a route's requests among services: smooth weighted round robin, so that even a short run of
//! requests is divided in proportion to the weights.

use std::collections::HashMap;

use crate::{Route, Share};

/// Round-robin credits of the services of each route, by the route's name.
#[derive(Debug, Default)]
pub struct SplitState {
    credits: HashMap<String, Vec<(String, i64)>>,
}

impl SplitState {
    /// Selects the service for the next request of `route`, among those that have a weight above zero and that
    /// `usable` accepts; among all services of the route if there is none.
    pub fn next<'r>(&mut self, route: &'r Route, usable: impl Fn(&str) -> bool) -> &'r str {
        if let [only] = route.shares.as_slice() {
            return &only.service;
        }
        let candidates: Vec<&Share> = route
            .shares
            .iter()
            .filter(|share| share.weight > 0 && usable(&share.service))
            .collect();
        let candidates = if candidates.is_empty() {
            route.shares.iter().collect()
        } else {
            candidates
        };
        let credits = self.credits.entry(route.name.clone()).or_default();
        credits.retain(|(service, _)| route.shares.iter().any(|share| share.service == *service));
        let total: i64 = candidates.iter().map(|share| i64::from(share.weight)).sum();
        let mut best: Option<(&Share, i64)> = None;
        for share in candidates {
            let credit = credit_of(credits, &share.service);
            *credit += i64::from(share.weight);
            if best.is_none_or(|(_, most)| *credit > most) {
                best = Some((share, *credit));
            }
        }
        let Some((chosen, _)) = best else {
            return &route.shares[0].service;
        };
        *credit_of(credits, &chosen.service) -= total;
        &chosen.service
    }
}

/// Returns the credit of a service; adds one of 0 if the service has none.
fn credit_of<'c>(credits: &'c mut Vec<(String, i64)>, service: &str) -> &'c mut i64 {
    let position = credits.iter().position(|(name, _)| name == service);
    let position = position.unwrap_or_else(|| {
        credits.push((service.to_owned(), 0));
        credits.len() - 1
    });
    &mut credits[position].1
}
