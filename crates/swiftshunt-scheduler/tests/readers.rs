//! Tests the choice of the gateways that read for others.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use swiftshunt_scheduler::readers::{
    RegionReader, rank_region_readers, select_readers, top_ranked,
};

fn gateways(count: u8) -> Vec<SocketAddr> {
    let gateways = (0..count).map(|number| SocketAddr::from(([10, 0, 0, number], 80)));
    gateways.collect()
}

#[test]
fn no_readers_are_chosen_below_the_minimum_of_gateways() {
    assert_eq!(select_readers(gateways(23), 24), Vec::<SocketAddr>::new());
}

#[test]
fn the_number_of_readers_follows_the_gateways_and_is_at_least_two() {
    assert_eq!(select_readers(gateways(24), 24).len(), 2);
    assert_eq!(select_readers(gateways(240), 24).len(), 10);
}

#[test]
fn the_choice_does_not_depend_on_the_order_of_gateways() {
    let mut reversed = gateways(100);
    reversed.reverse();
    assert_eq!(
        select_readers(gateways(100), 24),
        select_readers(reversed, 24)
    );
}

#[test]
fn a_gateway_that_leaves_changes_at_most_one_reader() {
    let all = gateways(100);
    let before: BTreeSet<_> = select_readers(all.clone(), 24).into_iter().collect();
    for leaving in &all {
        let remaining: Vec<_> = all.iter().copied().filter(|it| it != leaving).collect();
        let after: BTreeSet<_> = select_readers(remaining, 24).into_iter().collect();
        assert!(
            before.difference(&after).count() <= 1,
            "more than one reader changed without gateway {leaving}"
        );
    }
}

#[test]
fn exactly_one_gateway_of_a_region_reads_a_subject_itself() {
    let region = gateways(36);
    for subject in 0..64_u32 {
        let ranked = |own| rank_region_readers(&subject, own, region.clone(), |_| false, 3);
        let reading = region
            .iter()
            .filter(|own| ranked(**own)[0] == RegionReader::Own);
        assert_eq!(
            reading.count(),
            1,
            "gateways that read subject {subject} themselves"
        );
    }
}

#[test]
fn a_gateway_reads_itself_if_all_others_are_suspected() {
    let region = gateways(36);
    for own in &region {
        let ranked = rank_region_readers(&7_u32, *own, region.clone(), |_| true, 3);
        assert_eq!(ranked, vec![RegionReader::Own]);
    }
}

#[test]
fn no_gateway_ranked_behind_the_own_one_is_asked() {
    let region = gateways(36);
    let order = top_ranked(&7_u32, region.clone(), 3);
    let ranked = rank_region_readers(&7_u32, order[1], region, |_| false, 3);
    assert_eq!(
        ranked,
        vec![RegionReader::Other(order[0]), RegionReader::Own]
    );
}
