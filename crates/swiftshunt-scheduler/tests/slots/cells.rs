//! Assignment of workers to cells and of cells to owners.

use std::net::SocketAddr;

use swiftshunt_scheduler::slots::cell::{Cell, cell_count, owner};
use test_case::test_case;

use crate::support::gateway;

#[test_case(1, 1)]
#[test_case(16, 1)]
#[test_case(17, 2)]
#[test_case(89, 8)]
#[test_case(710, 64)]
fn cells_have_at_most_sixteen_workers_on_average(count: usize, cells: u32) {
    assert_eq!(cell_count(count), cells);
}

#[test]
fn only_cells_of_a_leaving_gateway_change_owner() {
    let all: Vec<SocketAddr> = (0..9).map(gateway).collect();
    let cells = (0..64).map(|index| Cell {
        region: None,
        service: "engine".to_owned(),
        count: 64,
        index,
    });
    let mut moved = 0;
    for cell in cells {
        let before = owner(&cell, all.iter().copied()).expect("the cell should have an owner");
        let left = all.iter().copied().filter(|it| *it != gateway(4));
        let after = owner(&cell, left).expect("the cell should have an owner");
        if before == gateway(4) {
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!((1..32).contains(&moved), "{moved} of 64 cells moved");
}
