//! Stand-ins of the platform's store, its workers and its clients for the cases in this folder, and the cases
//! themselves. Only the standard library is used; `review/build.sh` builds it.
//!
//! `standin CASE FOLDER` plays a case and writes `FOLDER/record.txt`. Exit status: 0 the rule held, 1 it was broken,
//! 2 the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod gateway;
mod http;
mod record;
mod store;
mod worker;

use std::process::exit;
use std::time::Duration;

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("the case did not end in time");
        gateway::end_all();
        exit(2);
    });
    let play = || match words[..] {
        ["surplus-refusal", folder] => cases::surplus_refusal(folder, trouble),
        ["stale-route", folder] => cases::stale_route(folder, trouble),
        ["crash-in-answer", folder] => cases::crash_in_answer(folder, trouble),
        ["release", folder] => cases::release(folder, trouble),
        ["worker", address, id, unframed_streams] => {
            worker::run_process(address, id, unframed_streams)
        }
        _ => Err("usage: standin CASE FOLDER".to_owned()),
    };
    let outcome = std::panic::catch_unwind(play).unwrap_or_else(|_| Err("it panicked".to_owned()));
    gateway::end_all();
    match outcome {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            exit(2);
        }
    }
}
