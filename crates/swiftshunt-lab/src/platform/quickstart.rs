//! Runs two gateways with stand-ins for the platform on the loopback interface, and prints a curl command for
//! each kind of call.

use std::time::Duration;

use swiftshunt_platform::words::{headers, paths, queries};

use super::caller::HOST;
use super::fleet::{ASK, BATCH, PlatformFleet, PlatformOptions, STREAM};
use crate::harness::{Binaries, HarnessError};

/// Starts the fleet, prints the commands and runs until the process is interrupted (Ctrl-C).
pub async fn run(binaries: &Binaries) -> Result<(), HarnessError> {
    let options = PlatformOptions {
        event_interval: Duration::from_millis(100),
        ..PlatformOptions::default()
    };
    let scratch = std::env::temp_dir().join("swiftshunt-quickstart");
    let fleet = PlatformFleet::start(&binaries.node, &scratch, options).await?;
    print!("{}", commands(&fleet));
    tokio::signal::ctrl_c().await?;
    Ok(())
}

/// Returns the commands to print.
fn commands(fleet: &PlatformFleet) -> String {
    let [one, two] = [&fleet.gateways[0], &fleet.gateways[1]];
    let (caller, other) = (one.callers, two.callers);
    let request_id = headers::REQUEST_ID;
    let job = "job-1";
    let items = r#"{"requests":[{"id":"i1","path":"/batch/1","body":"aGVsbG8=","tokens":20}]}"#;
    format!(
        "gateways: {caller} and {other}; logs: {logs}\n\
         \n\
         a request:\n  curl -i -H 'Host: {HOST}' -H '{request_id}: r1' -d hello http://{caller}{ASK}\n\
         a stream:\n  curl -iN -H 'Host: {HOST}' -H '{request_id}: s1' -d hello http://{caller}{STREAM}\n\
         a batch job:\n  curl -i -H 'Host: {HOST}' -H '{request_id}: {job}' -d '{items}' http://{caller}{BATCH}\n\
         its results, from the other gateway:\n  curl -i -H 'Host: {HOST}' 'http://{other}{jobs}{job}?{after}=0'\n\
         the body of an item:\n  curl -i -H 'Host: {HOST}' 'http://{other}{items_path}{job}?{item}=i1'\n\
         its end:\n  curl -i -X DELETE -H 'Host: {HOST}' http://{other}{jobs}{job}\n\
         readiness:\n  curl -i http://{ready}/v1/ready\n",
        logs = fleet.log_directory().display(),
        after = queries::AFTER,
        item = queries::ITEM,
        jobs = paths::JOBS,
        items_path = paths::ITEMS,
        ready = one.ready,
    )
}
