//! Stand-ins of the platform and its clients for the cases of a review. Each case is a command:
//!
//! `standin CASE FOLDER` plays the case and writes `FOLDER/record.txt`. It exits with 1 if the rule was broken, with 0 if
//! it held and with 2 if the case could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod batch;
mod fleet;
mod http;
mod json;

mod record;
mod stop;
mod store;
mod worker;

use std::process::exit;

/// Bounds of the deployment that the template uses: those of the site `stolnica-zg`.
const BOUNDS: &[(&str, &str)] = &[
    ("drainMs", "2000"),
    ("graceS", "8"),
    ("statusS", "120"),
    ("quotaBurst", "0.1"),
];

/// Ends a case that cannot be played.
fn cannot_run(reason: &str) -> ! {
    eprintln!("the case cannot run: {reason}");
    exit(2);
}

/// How a case ended.
enum Outcome {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        cannot_run("usage: standin CASE FOLDER");
    };
    if !fleet::exists("target/release/swiftshunt") {
        cannot_run("target/release/swiftshunt is missing; run the build of the deploy file");
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "large-jobs" => batch::large_jobs(folder, has_trouble),
        "stop" => stop::silent_store(folder, has_trouble),
        _ => cannot_run("there is no such case"),
    };
    exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
    });
}
