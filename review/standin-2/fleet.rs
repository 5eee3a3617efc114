//! A small deployment: the store, gateways as processes, their settings, and the entry for new connections.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::store::Store;

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["zg-a", "zg-b", "zg-c"];
/// Partitions of a topic, as in the site files.
pub const PARTS: u32 = 12;
/// Interval of the questions for readiness.
const READY_INTERVAL: Duration = Duration::from_secs(1);

/// A gateway and its addresses.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
    /// Questions for readiness in a row that had no 200.
    misses: Mutex<u32>,
}

pub struct Fleet {
    pub store: Store,
    pub gateways: Vec<Arc<Gateway>>,
    pub folder: PathBuf,
}

/// Returns ports that are free for TCP and UDP, below those that the system gives to outgoing connections.
fn free_ports() -> impl Iterator<Item = u16> {
    let first = 20_000 + (std::process::id() % 100) as u16 * 100;
    (first..32_000).chain(10_000..first).filter(|port| {
        let address = ("127.0.0.1", *port);
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    })
}

impl Fleet {
    /// Starts the store and writes the settings of `count` gateways on machines of `memory_mb`, which run with the template of the deploy file.
    pub fn new(count: usize, memory_mb: u64) -> Self {
        let folder = std::env::temp_dir().join(format!("swiftshunt-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("no temporary folder");
        let store = Store::start(PARTS);
        let mut free = free_ports();
        let ports: Vec<[u16; 4]> = (0..count)
            .map(|_| [(); 4].map(|()| free.next().expect("no free port")))
            .collect();
        let seeds: Vec<String> = ports
            .iter()
            .take(3)
            .map(|ports| format!("127.0.0.1:{}", ports[2]))
            .collect();
        let template = fs::read_to_string("platform/gateway.template.toml").expect("no template");
        let gateways = ports.iter().enumerate().map(|(index, ports)| {
            let zone = ZONES[index % ZONES.len()];
            let name = format!("front-{zone}-{}", index / ZONES.len() + 1);
            let fields = fields(&name, zone, ports, &store, &seeds, memory_mb);
            let settings = folder.join(format!("{name}.toml"));
            fs::write(&settings, render(&template, &fields)).expect("cannot write settings");
            let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
            Arc::new(Gateway {
                callers: address(ports[0]),
                ready: address(ports[1]),
                settings,
                log: folder.join(format!("{name}.log")),
                name,
                process: Mutex::default(),
                misses: Mutex::new(2),
            })
        });
        let gateways = gateways.collect();
        Self {
            store,
            gateways,
            folder,
        }
    }

    /// Starts all gateways and the platform's questions for readiness, and waits until all are ready.
    pub fn start(&self) {
        for gateway in &self.gateways {
            gateway.start();
            let gateway = Arc::clone(gateway);
            thread::spawn(move || {
                loop {
                    gateway.ask_whether_ready();
                    thread::sleep(READY_INTERVAL);
                }
            });
        }
        let until = Instant::now() + Duration::from_secs(15);
        while self.entry().len() < self.gateways.len() {
            if Instant::now() > until {
                self.stop_all();
                crate::cannot_run("the gateways did not become ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the gateways that get new connections: those that have not missed two questions in a row, or all if
    /// fewer than half are in.
    pub fn entry(&self) -> Vec<Arc<Gateway>> {
        let is_in = |gateway: &&Arc<Gateway>| *gateway.misses.lock().unwrap() < 2;
        self.gateways.iter().filter(is_in).cloned().collect()
    }

    /// Ends all processes that were started here.
    pub fn stop_all(&self) {
        for gateway in &self.gateways {
            if let Some(mut child) = gateway.process.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// Ends all processes and removes the temporary folder.
    pub fn finish(&self) {
        self.stop_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

impl Gateway {
    /// Starts the process as the `run` line of the deploy file does.
    pub fn start(&self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("no log");
        let child = Command::new("target/release/swiftshunt")
            .args(["gateway", "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("no log"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            crate::cannot_run("target/release/swiftshunt does not start; build it first");
        };
        *self.process.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &*self.process.lock().unwrap() {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status();
        }
    }

    /// Kills the process. It is not started again.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.process.lock().unwrap().as_ref().map(Child::id)
    }

    pub fn has_ended(&self) -> bool {
        match &mut *self.process.lock().unwrap() {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        }
    }

    fn ask_whether_ready(&self) {
        let host = ("Host".to_owned(), "ready".to_owned());
        let close = ("Connection".to_owned(), "close".to_owned());
        let answer = call(
            self.ready,
            "GET",
            "/v1/ready",
            &[host, close],
            b"",
            Duration::from_millis(900),
        );
        let is_ready = answer.is_ok_and(|answer| answer.status() == 200);
        let mut misses = self.misses.lock().unwrap();
        *misses = if is_ready { 0 } else { *misses + 1 };
    }
}

/// The fields of DEPLOY.md that the template uses.
fn fields(
    name: &str,
    zone: &str,
    ports: &[u16; 4],
    store: &Store,
    seeds: &[String],
    memory_mb: u64,
) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut set = |key: &str, value: String| drop(fields.insert(key.to_owned(), value));
    set("nodeName", name.to_owned());
    set("zone", zone.to_owned());
    set("ip", "127.0.0.1".to_owned());
    set("listen.front", format!("127.0.0.1:{}", ports[0]));
    set("listen.ready", format!("127.0.0.1:{}", ports[1]));
    set("listen.control", format!("127.0.0.1:{}", ports[2]));
    set("portRange.0", ports[3].to_string());
    set("platform.address", store.address.to_string());
    set("platform.parts", PARTS.to_string());
    set("platform.record_bytes", "262144".to_owned());
    set("platform.call_bytes", "2097152".to_owned());
    set("platform.ttl_min_ms", "1000".to_owned());
    set("limits.memoryMb", memory_mb.to_string());
    set("seeds", seeds.join(","));
    for zone in ZONES {
        set(&format!("zones.{zone}"), "hr-central".to_owned());
    }
    for (bound, value) in crate::BOUNDS {
        set(&format!("bounds.{bound}"), (*value).to_owned());
    }
    fields
}

/// Fills a template in: gaps and sections, as DEPLOY.md describes them, as far as the template uses them.
fn render(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut filled = String::new();
    let mut rest = template;
    while let Some((before, behind)) = rest.split_once("{{") {
        filled.push_str(before);
        let (gap, behind) = behind.split_once("}}").expect("an open gap");
        rest = behind;
        if let Some(name) = gap.strip_prefix(['#', '^']) {
            let close = format!("{{{{/{name}}}}}");
            let (section, behind) = rest.split_once(close.as_str()).expect("an open section");
            rest = behind;
            filled.push_str(&render_section(gap.starts_with('#'), name, section, fields));
        } else {
            filled.push_str(fields.get(gap).map_or("", String::as_str));
        }
    }
    filled.push_str(rest);
    filled
}

fn render_section(
    is_positive: bool,
    name: &str,
    section: &str,
    fields: &BTreeMap<String, String>,
) -> String {
    let prefix = format!("{name}.");
    let rows = fields
        .iter()
        .filter_map(|(key, value)| Some((key.strip_prefix(&prefix)?, value.as_str())));
    let rows: Vec<(&str, &str)> = rows.collect();
    let value = fields
        .get(name)
        .map(String::as_str)
        .filter(|value| !matches!(*value, "" | "false"));
    let entries: Vec<(&str, &str)> = match value {
        Some(list) if section.contains("{{.}}") => {
            list.split(',').map(|entry| ("", entry)).collect()
        }
        Some(value) => vec![("", value)],
        None => rows,
    };
    if is_positive == entries.is_empty() {
        return String::new();
    }
    if !is_positive {
        return render(section, fields);
    }
    let last = entries.len() - 1;
    let filled = entries.iter().enumerate().map(|(index, (key, value))| {
        let mut of_entry = fields.clone();
        of_entry.insert("@".to_owned(), (*key).to_owned());
        of_entry.insert(".".to_owned(), (*value).to_owned());
        of_entry.insert(
            ",".to_owned(),
            if index < last { "," } else { "" }.to_owned(),
        );
        render(section, &of_entry)
    });
    filled.collect()
}

/// Whether a file exists, for a first check.
pub fn exists(path: &str) -> bool {
    Path::new(path).exists()
}
