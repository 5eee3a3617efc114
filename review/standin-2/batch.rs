//! Rules Fault and LOST: batch jobs that were accepted before machines were lost.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{Fleet, Gateway, ZONES};
use crate::http::{call, respond_stream};
use crate::json::{self, Json, base64};
use crate::record::Record;
use crate::worker::{self, Behaviour, Runs};

const HOST: &str = "ficu95.example";
/// Machines, and those of them that are left where some are lost.
const MACHINES: usize = 6;
const LEFT: usize = 2;
/// What is played.
struct Scenario {
    /// Jobs. The body of each has 4.0 MB of the 4.19 MB that `maxBodyBytes` allows.
    jobs: usize,
    /// Events of an item.
    events: u64,
    /// Whether machines are lost behind the last job.
    loses_machines: bool,
}
/// Bytes of the body of an item.
const ITEM_BYTES: usize = 150_000;
/// Items of a job.
const ITEMS: usize = 20;
/// Pause between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(350);
/// Time between two events of an item.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Requests at once of a worker.
const SLOTS: u32 = 12;
const WORKERS: usize = 9;
/// `limits.memoryMb` of a machine.
const MEMORY_MB: u64 = 290;
/// Time that batch jobs get after the traffic (`finishS`), and some more.
const FINISH: Duration = Duration::from_secs(18 + 12);
/// Time for which jobs are read at the end, and how many are read at a time.
const READING: Duration = Duration::from_secs(12);
const READERS: usize = 4;
/// The last seconds of the rule, in which no worker had an item, and in which none was finished.
const CALM: Duration = Duration::from_secs(5);
const UNFINISHED: Duration = Duration::from_secs(3);

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r3\",\"host\":\"{HOST}\",\"pathPrefix\":\"/pule252/\",\
         \"kind\":\"batch\",\"timeoutMs\":30000,\"sloMs\":400,\"priority\":2,\"service\":\"llm\",\"maxAttempts\":3,\
         \"canResume\":true,\"completionTargetMs\":20000,\"maxWaitS\":600}}],\
         \"services\":[{{\"name\":\"llm\",\"maxConns\":200,\"healthPath\":\"/health\",\
         \"engine\":{{\"slots\":{SLOTS},\"kvCapacityTokens\":171000}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

/// The runs of an item.
#[derive(Clone, Copy)]
struct ItemRuns {
    begun: u32,
    under_way: u32,
    last_ended_at: Instant,
}

/// What the workers have had of the items.
#[derive(Default)]
struct Items {
    /// By item.
    runs: BTreeMap<String, ItemRuns>,
    finished_at: Option<Instant>,
}

fn begin_run(items: &mut Items, id: &str) {
    let run = items.runs.entry(id.to_owned()).or_insert(ItemRuns {
        begun: 0,
        under_way: 0,
        last_ended_at: Instant::now(),
    });
    run.begun += 1;
    run.under_way += 1;
}

/// Answers an item with a stream of events.
fn stream(items: Arc<Mutex<Items>>, events: u64) -> Behaviour {
    Arc::new(move |request, writer| {
        let id = request
            .header("swiftshunt-request-id")
            .unwrap_or("")
            .to_owned();
        begin_run(&mut items.lock().unwrap(), &id);
        let last: Option<u64> = request
            .header("last-event-id")
            .and_then(|last| last.parse().ok());
        let headers = format!(
            "Content-Type: text/event-stream\r\nSwiftshunt-Request-Id: {id}\r\nSwiftshunt-Response-Signature: 3e1b.{id}\r\n"
        );
        let events = (last.map_or(0, |last| last + 1)..events)
            .map(|number| format!("id: {number}\ndata: {id}-{number}\n\n"));
        let is_whole = respond_stream(writer, &headers, events, EVENT_INTERVAL);
        let now = Instant::now();
        let mut items = items.lock().unwrap();
        if let Some(run) = items.runs.get_mut(&id) {
            run.under_way -= 1;
            run.last_ended_at = now;
        }
        if is_whole {
            items.finished_at = Some(now);
        }
        is_whole
    })
}

fn item_id(job: &str, item: usize) -> String {
    format!("{job}{item:02x}")
}

fn job_body(job: &str) -> Vec<u8> {
    let items = (0..ITEMS).map(|item| {
        let bytes: Vec<u8> = (0..ITEM_BYTES).map(|at| (at * 31 + item * 7) as u8).collect();
        format!(
            "{{\"id\":\"{}\",\"path\":\"/pule252/3/{item}\",\"headers\":{{\"Swiftshunt-Model\":\"m\",\
             \"Swiftshunt-Token-Usage\":\"540,400\"}},\"body\":\"{}\",\"tokens\":940}}",
            item_id(job, item),
            base64(&bytes)
        )
    });
    format!("{{\"requests\":[{}]}}", items.collect::<Vec<_>>().join(",")).into_bytes()
}

fn submit(gateway: &Gateway, job: &str) -> u16 {
    let headers = [
        ("Host", HOST.to_owned()),
        ("Swiftshunt-Request-Id", job.to_owned()),
        ("Swiftshunt-Deadline-Ms", "4000".to_owned()),
        ("Content-Type", "application/json".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    let headers = headers.map(|(name, value)| (name.to_owned(), value));
    let target = format!("/pule252/{}", &job[..6]);
    let answer = call(
        gateway.callers,
        "POST",
        &target,
        &headers,
        &job_body(job),
        Duration::from_secs(4),
    );
    answer.map_or(0, |answer| answer.status())
}

/// Reads a job from the start. Returns the last status and the items that are listed.
fn listed(gateway: &Gateway, job: &str) -> (u16, BTreeSet<String>) {
    let headers = [
        ("Host".to_owned(), HOST.to_owned()),
        ("Connection".to_owned(), "close".to_owned()),
    ];
    let mut found = BTreeSet::new();
    loop {
        let target = format!("/v1/lots/{job}?afterRev={}", found.len());
        let answer = call(
            gateway.callers,
            "GET",
            &target,
            &headers,
            b"",
            Duration::from_millis(2_500),
        );
        let Ok(answer) = answer else {
            return (0, found);
        };
        let page = json::parse(&answer.body);
        let results = page
            .as_ref()
            .and_then(|page| page.get("results"))
            .map_or(&[][..], Json::list);
        if answer.status() != 200 || results.is_empty() {
            return (answer.status(), found);
        }
        found.extend(
            results
                .iter()
                .filter_map(|result| Some(result.get("id")?.text().to_owned())),
        );
    }
}

fn resident_mb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes / 1_024)
}

/// The machines, as the platform treats them.
#[derive(Default)]
struct Machines {
    lost: Mutex<BTreeSet<String>>,
    /// How often each went over its memory.
    ends: Mutex<BTreeMap<String, u32>>,
    peaks: Mutex<BTreeMap<String, u64>>,
    is_over: AtomicBool,
}

impl Machines {
    /// Kills processes that take more memory than their machine has, and starts them again.
    fn enforce_memory(self: Arc<Self>, fleet: Arc<Fleet>, record: Arc<Record>) {
        thread::spawn(move || {
            while !self.is_over.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(50));
                for gateway in &fleet.gateways {
                    if !self.lost.lock().unwrap().contains(&gateway.name) {
                        self.check(gateway, &record);
                    }
                }
            }
        });
    }

    fn check(&self, gateway: &Gateway, record: &Record) {
        let Some(resident) = gateway.pid().and_then(resident_mb) else {
            return;
        };
        let mut peaks = self.peaks.lock().unwrap();
        let peak = peaks.entry(gateway.name.clone()).or_default();
        *peak = (*peak).max(resident);
        drop(peaks);
        if resident <= MEMORY_MB {
            return;
        }
        record.add(
            Instant::now(),
            format!(
                "{} takes {resident} MB, more than memoryMb: killed",
                gateway.name
            ),
        );
        *self
            .ends
            .lock()
            .unwrap()
            .entry(gateway.name.clone())
            .or_default() += 1;
        gateway.kill();
        thread::sleep(Duration::from_millis(300));
        gateway.start();
        record.add(
            Instant::now(),
            format!("{} was started again", gateway.name),
        );
    }
}

/// Four of six machines are lost after large jobs were accepted, which have 330 MB of the 400 MB that the store keeps.
pub fn large_jobs(folder: &str, has_trouble: bool) -> Outcome {
    let scenario = Scenario {
        jobs: 110,
        events: 60,
        loses_machines: has_trouble,
    };
    play(folder, &scenario)
}

fn play(folder: &str, scenario: &Scenario) -> Outcome {
    let record = Arc::new(Record::new(folder));
    let fleet = Arc::new(Fleet::new(MACHINES, MEMORY_MB));
    let items = Arc::new(Mutex::new(Items::default()));
    fleet.store.put("keyed.op", "config", &configuration());
    for index in 0..WORKERS {
        let id = format!("i-{index}f3a91c2");
        let behaviour = stream(Arc::clone(&items), scenario.events);
        worker::start(
            &fleet.store,
            "llm",
            &id,
            ZONES[index % 3],
            SLOTS,
            Runs::default(),
            behaviour,
        );
    }
    fleet.start();
    thread::sleep(Duration::from_secs(2));
    let machines = Arc::new(Machines::default());
    Arc::clone(&machines).enforce_memory(Arc::clone(&fleet), Arc::clone(&record));
    let mut accepted = Vec::new();
    for number in 0..scenario.jobs {
        let job = format!("{number:06x}c14da6f3");
        let gateways = fleet.entry();
        let Some(gateway) = gateways.get(number % gateways.len().max(1)) else {
            continue;
        };
        let at = Instant::now();
        let status = submit(gateway, &job);
        record.add(
            at,
            format!("job {job} is sent to {}: {status}", gateway.name),
        );
        if status == 202 {
            accepted.push(job);
        }
        thread::sleep(JOB_INTERVAL.saturating_sub(at.elapsed()));
    }
    let note = |text: String| record.add(Instant::now(), text);
    note(format!(
        "{} jobs are accepted; the store keeps {} MB",
        accepted.len(),
        fleet.store.megabytes()
    ));
    if scenario.loses_machines {
        for lost in &fleet.gateways[LEFT..] {
            machines.lost.lock().unwrap().insert(lost.name.clone());
            note(format!("the machine of {} is lost", lost.name));
            lost.kill();
        }
    }
    thread::sleep(FINISH);
    note("finishS is over".to_owned());
    let outcome = judge(&fleet, &record, &machines, &items, &accepted);
    machines.is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(600));
    fleet.finish();
    outcome
}

/// Reads all jobs at the machines that are left, some at a time, and each again and again for some seconds.
fn read_all(left: &[&Arc<Gateway>], jobs: &[String]) -> BTreeMap<String, (u16, BTreeSet<String>)> {
    let seen: Mutex<BTreeMap<String, (u16, BTreeSet<String>)>> = Mutex::default();
    let until = Instant::now() + READING;
    thread::scope(|scope| {
        for reader in 0..READERS {
            let (seen, own) = (&seen, jobs.iter().skip(reader).step_by(READERS));
            scope.spawn(move || {
                let mut open: Vec<&String> = own.collect();
                let mut tries = left.iter().cycle().skip(reader);
                while !open.is_empty() && Instant::now() < until {
                    open.retain(|job| {
                        let (status, found) =
                            listed(tries.next().expect("no machine is left"), job);
                        let mut seen = seen.lock().unwrap();
                        let known = seen.entry((*job).clone()).or_default();
                        known.0 = status;
                        known.1.extend(found);
                        known.1.len() < ITEMS
                    });
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    seen.into_inner().unwrap()
}

fn judge(
    fleet: &Fleet,
    record: &Record,
    machines: &Machines,
    items: &Mutex<Items>,
    accepted: &[String],
) -> Outcome {
    let over_at = Instant::now();
    let (runs, finished_at) = {
        let items = items.lock().unwrap();
        (items.runs.clone(), items.finished_at)
    };
    let busy: u32 = runs.values().map(|run| run.under_way).sum();
    let had_lately = |item: &str| {
        runs.get(item)
            .is_some_and(|run| run.under_way > 0 || over_at < run.last_ended_at + CALM)
    };
    let is_quiet = busy < SLOTS * WORKERS as u32 / 2
        && finished_at.is_none_or(|at| over_at >= at + UNFINISHED);
    let left: Vec<&Arc<Gateway>> = {
        let lost = machines.lost.lock().unwrap();
        fleet
            .gateways
            .iter()
            .filter(|gateway| !lost.contains(&gateway.name))
            .collect()
    };
    let (mut unlisted, mut lost_items) = (0, 0);
    for (job, (status, found)) in read_all(&left, accepted) {
        let missing: Vec<String> = (0..ITEMS)
            .map(|item| item_id(&job, item))
            .filter(|id| !found.contains(id))
            .collect();
        let begun: u32 = (0..ITEMS)
            .filter_map(|item| runs.get(&item_id(&job, item)))
            .map(|run| run.begun)
            .sum();
        let had = missing.iter().any(|item| had_lately(item));
        unlisted += missing.len();
        if is_quiet && !had {
            lost_items += missing.len();
        }
        record.add(
            Instant::now(),
            format!(
                "job {job}: {status}, {} of {ITEMS} items are listed; workers began {begun} runs of them",
                found.len()
            ),
        );
    }
    let ends = machines.ends.lock().unwrap().clone();
    let peaks = machines.peaks.lock().unwrap().clone();
    let crashing = ends.values().filter(|ends| **ends >= 3).count();
    let is_lost = lost_items > 0;
    let is_fault = crashing >= 2;
    let word = |is_broken: bool| if is_broken { "BROKEN" } else { "held" };
    record.write(&format!(
        "LOST {}: of {} accepted jobs, {unlisted} items are not listed when finishS is over; {lost_items} of them are counted: \
         no worker had an item of their job in the last 5 s, {busy} of {} slots are taken, and no item was finished in the \
         last 3 s.\nFault {}: processes that went over {MEMORY_MB} MB with no disruption there, and how often: {ends:?}. \
         Most resident memory in MB: {peaks:?}.",
        word(is_lost),
        accepted.len(),
        SLOTS * WORKERS as u32,
        word(is_fault),
    ));
    if is_lost || is_fault {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
