//! Rule LOST: streams at a machine that is stopped by plan while the platform's store is down.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{Fleet, ZONES};
use crate::http::{Connection, respond_stream};
use crate::record::Record;
use crate::worker::{self, Behaviour, Runs};

const HOST: &str = "ficu95.example";
/// Events of a stream, and the time between two.
const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(80);
/// Time for which the store is down, as in the site file.
const OUTAGE: Duration = Duration::from_millis(6_000);
/// Time from the begin of the outage to SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(300);
/// When the clients send, from SIGTERM on, in milliseconds.
const SENT_AT: [u64; 14] = [
    500, 1_000, 1_500, 2_000, 2_500, 3_100, 3_300, 3_500, 3_700, 3_900, 4_100, 4_400, 4_700, 5_200,
];

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r1\",\"host\":\"{HOST}\",\"pathPrefix\":\"/lohu930/\",\
         \"kind\":\"streaming\",\"timeoutMs\":8000,\"sloMs\":300,\"priority\":0,\"service\":\"llm\",\
         \"maxAttempts\":1,\"canResume\":false,\"gapTargetMs\":500}}],\
         \"services\":[{{\"name\":\"llm\",\"maxConns\":300,\"healthPath\":\"/health\",\
         \"engine\":{{\"slots\":19,\"kvCapacityTokens\":171000}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

/// Answers with a stream, which is short for requests whose path ends in `short`.
fn stream() -> Behaviour {
    Arc::new(|request, writer| {
        let id = request
            .header("swiftshunt-request-id")
            .unwrap_or("")
            .to_owned();
        let headers = format!(
            "Content-Type: text/event-stream\r\nSwiftshunt-Request-Id: {id}\r\nSwiftshunt-Response-Signature: 3e1b.{id}\r\n"
        );
        let count = if request.path().ends_with("short") {
            2
        } else {
            EVENTS
        };
        let events = (0..count).map(|number| format!("id: {number}\ndata: {id}-{number}\n\n"));
        respond_stream(writer, &headers, events, EVENT_INTERVAL)
    })
}

/// Sends a request on a kept connection. Returns what became of it, for the record, and whether it counts as cut.
fn ask(connection: &mut Connection, id: &str, path: &str) -> (String, bool) {
    let headers = [
        ("Host", HOST),
        ("Swiftshunt-Request-Id", id),
        ("Swiftshunt-Model", "m"),
        ("Swiftshunt-Token-Usage", "540,120"),
        ("Swiftshunt-Deadline-Ms", "8000"),
    ];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
    let answer = connection.call("POST", path, &headers, b"a prompt", Duration::from_secs(9));
    match answer {
        Err(error) => (format!("no answer ({error})"), false),
        Ok(answer) if answer.is_whole => (format!("{}, whole", answer.status()), false),
        Ok(answer) => {
            let events = answer
                .body
                .windows(2)
                .filter(|window| window == b"\n\n")
                .count();
            (
                format!("{}, cut after {events} of {EVENTS} events", answer.status()),
                true,
            )
        }
    }
}

/// A machine gets SIGTERM just after the store has fallen silent. Clients go on with connections that they kept.
pub fn silent_store(folder: &str, has_trouble: bool) -> Outcome {
    let record = Arc::new(Record::new(folder));
    let fleet = Fleet::new(3, 290);
    let runs = Runs::default();
    fleet.store.put("keyed.op", "config", &configuration());
    for index in 0..6 {
        let id = format!("i-{index}f3a91c2");
        worker::start(
            &fleet.store,
            "llm",
            &id,
            ZONES[index % 3],
            19,
            Arc::clone(&runs),
            stream(),
        );
    }
    fleet.start();
    thread::sleep(Duration::from_secs(6));
    let gateway = Arc::clone(&fleet.gateways[0]);
    let connections: Vec<Connection> = (0..SENT_AT.len())
        .filter_map(|number| {
            let mut connection = Connection::open(gateway.callers, Duration::from_secs(1)).ok()?;
            let (answer, _) = ask(
                &mut connection,
                &format!("{number:08x}00000000"),
                "/lohu930/short",
            );
            answer.starts_with("200, whole").then_some(connection)
        })
        .collect();
    if connections.len() < SENT_AT.len() {
        fleet.finish();
        crate::cannot_run("a first request was not served");
    }
    if has_trouble {
        record.add(Instant::now(), "the store falls silent".to_owned());
        fleet.store.set_silent(true);
    }
    thread::sleep(BEFORE_STOP);
    let stopped_at = Instant::now();
    record.add(stopped_at, format!("SIGTERM of {}", gateway.name));
    gateway.signal("TERM");
    let cut: Mutex<Vec<u64>> = Mutex::default();
    thread::scope(|scope| {
        for (mut connection, after) in connections.into_iter().zip(SENT_AT) {
            let (record, runs, cut) = (&record, &runs, &cut);
            scope.spawn(move || {
                let due = stopped_at + Duration::from_millis(after);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let id = format!("{after:08x}c14da6f3");
                let sent_at = Instant::now();
                let (answer, is_cut) = ask(&mut connection, &id, "/lohu930/2f");
                let ended = sent_at.elapsed().as_millis();
                let run = runs
                    .lock()
                    .unwrap()
                    .iter()
                    .find(|run| run.request == id)
                    .cloned();
                let ran = run.map_or("not run".to_owned(), |run| format!("run by {}", run.worker));
                record.add(
                    sent_at,
                    format!(
                        "{id}, sent {after} ms after SIGTERM: {ran}; after {ended} ms {answer}"
                    ),
                );
                // Requests sent in the first 3 s may be cut in the last sixth of graceS.
                if is_cut && after > 3_000 {
                    cut.lock().unwrap().push(after);
                }
            });
        }
        if has_trouble {
            thread::sleep(OUTAGE - BEFORE_STOP);
            fleet.store.set_silent(false);
            record.add(Instant::now(), "the store answers again".to_owned());
        }
        while !gateway.has_ended() && stopped_at.elapsed() < Duration::from_secs(10) {
            thread::sleep(Duration::from_millis(20));
        }
        record.add(Instant::now(), format!("{} has ended", gateway.name));
    });
    fleet.finish();
    let mut cut = cut.into_inner().unwrap();
    cut.sort();
    let is_broken = !cut.is_empty();
    record.write(&format!(
        "LOST {}: streams that were sent more than 3 s after SIGTERM, read whole, passed on and cut: {} (sent {cut:?} ms \
         after it).",
        if is_broken { "BROKEN" } else { "held" },
        cut.len(),
    ));
    if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
