//! Writes the evacuation of a zone, or its withdrawal, to the platform's log.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use swiftshunt_platform::PlatformLog;
use swiftshunt_platform::operators::{WriteOutcome, write_evacuation};

use crate::{EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE, fail, runtime};

/// Time limit of one call to the log.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of all attempts together.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The change of a zone's evacuation that the operator requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvacuationChange {
    /// Workers of the zone receive no new requests or items.
    Evacuate,
    /// Workers of the zone may receive requests and items again.
    Withdraw,
}

pub(crate) fn run(log: SocketAddr, change: EvacuationChange, zone: &str) -> ExitCode {
    if zone.is_empty() {
        return fail(EXIT_USAGE, "the name of the zone must not be empty");
    }
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(error) => return fail(EXIT_USAGE, error),
    };
    let log = PlatformLog::new(log, CALL_TIMEOUT);
    match runtime.block_on(write(&log, change, zone)) {
        WriteOutcome::Acknowledged => {
            match change {
                EvacuationChange::Evacuate => println!("zone {zone} is evacuated"),
                EvacuationChange::Withdraw => {
                    println!("the evacuation of zone {zone} is withdrawn")
                }
            }
            ExitCode::SUCCESS
        }
        WriteOutcome::Refused => fail(
            EXIT_REFUSED,
            "the log refused the write: nothing has changed",
        ),
        WriteOutcome::Unknown => fail(
            EXIT_UNREACHABLE,
            "the log did not answer: the change may or may not be written; run the command again",
        ),
    }
}

/// Repeats the write until the log acknowledges it or `TIMEOUT` is over. Returns `Refused` only if
/// every attempt was refused, since an unanswered attempt may have been written.
async fn write(log: &PlatformLog, change: EvacuationChange, zone: &str) -> WriteOutcome {
    let began = Instant::now();
    let mut may_be_written = false;
    loop {
        match write_evacuation(log, zone, change == EvacuationChange::Evacuate).await {
            WriteOutcome::Acknowledged => return WriteOutcome::Acknowledged,
            WriteOutcome::Refused => {}
            WriteOutcome::Unknown => may_be_written = true,
        }
        if began.elapsed() + RETRY_PAUSE >= TIMEOUT {
            return if may_be_written {
                WriteOutcome::Unknown
            } else {
                WriteOutcome::Refused
            };
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
