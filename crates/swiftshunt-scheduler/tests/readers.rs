//! Which gateways read for others.

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
fn few_gateways_read_for_themselves() {
    assert_eq!(select_readers(gateways(23), 24), Vec::<SocketAddr>::new());
}

#[test]
fn there_are_two_readers_or_one_for_so_many_gateways() {
    assert_eq!(select_readers(gateways(24), 24).len(), 2);
    assert_eq!(select_readers(gateways(240), 24).len(), 10);
}

#[test]
fn the_order_in_which_gateways_are_known_changes_nothing() {
    let mut reversed = gateways(100);
    reversed.reverse();
    assert_eq!(
        select_readers(gateways(100), 24),
        select_readers(reversed, 24)
    );
}

#[test]
fn one_that_goes_changes_one_reader_at_most() {
    let all = gateways(100);
    let before: BTreeSet<_> = select_readers(all.clone(), 24).into_iter().collect();
    for gone in &all {
        let left: Vec<_> = all.iter().copied().filter(|it| it != gone).collect();
        let after: BTreeSet<_> = select_readers(left, 24).into_iter().collect();
        assert!(before.difference(&after).count() <= 1, "without {gone}");
    }
}

#[test]
fn one_gateway_reads_a_subject_for_its_region() {
    let region = gateways(36);
    for subject in 0..64_u32 {
        let asked = |own| rank_region_readers(&subject, own, region.clone(), |_| false, 3);
        let reading = region
            .iter()
            .filter(|own| asked(**own)[0] == RegionReader::Own);
        assert_eq!(reading.count(), 1, "of {subject}");
    }
}

#[test]
fn a_gateway_reads_itself_once_all_before_it_are_in_doubt() {
    let region = gateways(36);
    for own in &region {
        let asked = rank_region_readers(&7_u32, *own, region.clone(), |_| true, 3);
        assert_eq!(asked, vec![RegionReader::Own]);
    }
}

#[test]
fn nobody_is_asked_behind_the_gateway_itself() {
    let region = gateways(36);
    let order = top_ranked(&7_u32, region.clone(), 3);
    let asked = rank_region_readers(&7_u32, order[1], region, |_| false, 3);
    assert_eq!(
        asked,
        vec![RegionReader::Other(order[0]), RegionReader::Own]
    );
}
