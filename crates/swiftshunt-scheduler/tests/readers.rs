//! Which gateways read for others.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use swiftshunt_scheduler::readers::readers;

fn gateways(count: u8) -> Vec<SocketAddr> {
    let gateways = (0..count).map(|number| SocketAddr::from(([10, 0, 0, number], 80)));
    gateways.collect()
}

#[test]
fn few_gateways_read_for_themselves() {
    assert_eq!(readers(gateways(23), 24), Vec::<SocketAddr>::new());
}

#[test]
fn there_are_two_readers_or_one_for_so_many_gateways() {
    assert_eq!(readers(gateways(24), 24).len(), 2);
    assert_eq!(readers(gateways(240), 24).len(), 10);
}

#[test]
fn the_order_in_which_gateways_are_known_changes_nothing() {
    let mut reversed = gateways(100);
    reversed.reverse();
    assert_eq!(readers(gateways(100), 24), readers(reversed, 24));
}

#[test]
fn one_that_goes_changes_one_reader_at_most() {
    let all = gateways(100);
    let before: BTreeSet<_> = readers(all.clone(), 24).into_iter().collect();
    for gone in &all {
        let left: Vec<_> = all.iter().copied().filter(|it| it != gone).collect();
        let after: BTreeSet<_> = readers(left, 24).into_iter().collect();
        assert!(before.difference(&after).count() <= 1, "without {gone}");
    }
}
