//! The evacuation of a zone: written to the platform's log, and withdrawn.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use swiftshunt_platform::PlatformLog;
use swiftshunt_platform::operators::{WriteOutcome, write_evacuation};

use crate::{EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE, fail, runtime};

/// Time of one call to the log, and of all tries together.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What is to become of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Its workers get nothing new.
    Evacuate,
    /// They may get something again.
    Withdraw,
}

pub(crate) fn run(log: SocketAddr, order: Order, zone: &str) -> ExitCode {
    if zone.is_empty() {
        return fail(EXIT_USAGE, "a zone has a name");
    }
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(error) => return fail(EXIT_USAGE, error),
    };
    let log = PlatformLog::new(log, CALL_TIMEOUT);
    match runtime.block_on(write(&log, order, zone)) {
        WriteOutcome::Acknowledged => {
            match order {
                Order::Evacuate => println!("zone {zone} is evacuated"),
                Order::Withdraw => println!("the evacuation of zone {zone} is withdrawn"),
            }
            ExitCode::SUCCESS
        }
        WriteOutcome::Refused => fail(EXIT_REFUSED, "the log did not take it: nothing has changed"),
        WriteOutcome::Unknown => fail(
            EXIT_UNREACHABLE,
            "the log did not answer: whether it is written is not known, write it again",
        ),
    }
}

/// Writes until the log acknowledges it.
async fn write(log: &PlatformLog, order: Order, zone: &str) -> WriteOutcome {
    let began = Instant::now();
    let mut may_stand = false;
    loop {
        match write_evacuation(log, zone, order == Order::Evacuate).await {
            WriteOutcome::Acknowledged => return WriteOutcome::Acknowledged,
            WriteOutcome::Refused => {}
            WriteOutcome::Unknown => may_stand = true,
        }
        if began.elapsed() + RETRY_PAUSE >= TIMEOUT {
            return if may_stand {
                WriteOutcome::Unknown
            } else {
                WriteOutcome::Refused
            };
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
