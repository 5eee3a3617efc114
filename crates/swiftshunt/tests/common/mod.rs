//! Helpers shared by the process tests of nodes.

use std::path::Path;

use swiftshunt_lab::harness::{Binaries, Fleet, FleetOptions};
use tokio::sync::{Mutex, MutexGuard};

/// Runs one fleet at a time: the tests have time limits that fail on an overloaded machine.
static ONE_FLEET: Mutex<()> = Mutex::const_new(());

/// A fleet that holds the lock until it is dropped, so that no other test of this program runs a fleet.
pub struct ExclusiveFleet {
    fleet: Fleet,
    _guard: MutexGuard<'static, ()>,
}

impl std::ops::Deref for ExclusiveFleet {
    type Target = Fleet;

    fn deref(&self) -> &Fleet {
        &self.fleet
    }
}

impl std::ops::DerefMut for ExclusiveFleet {
    fn deref_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
}

/// Waits for its turn and starts a fleet of node processes.
pub async fn start_fleet(options: FleetOptions) -> ExclusiveFleet {
    let guard = ONE_FLEET.lock().await;
    let binaries = Binaries::beside_node_program(env!("CARGO_BIN_EXE_swiftshunt"));
    let scratch = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let fleet = Fleet::start(binaries, scratch, options).await;
    ExclusiveFleet {
        fleet: fleet.expect("the fleet did not start"),
        _guard: guard,
    }
}
