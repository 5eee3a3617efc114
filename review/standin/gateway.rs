//! Gateways as separate processes, with the command of the deploy file and the settings of its template.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::exchange;
use crate::store::PARTITIONS;

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Time within which a gateway has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Gateway {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
}

fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

fn folder() -> Result<PathBuf, String> {
    let mut folder = FOLDER.lock().unwrap();
    if let Some(folder) = &*folder {
        return Ok(folder.clone());
    }
    let path = std::env::temp_dir().join(format!("swiftshunt-review-{}", std::process::id()));
    fs::create_dir_all(&path).map_err(|error| error.to_string())?;
    *folder = Some(path.clone());
    Ok(path)
}

pub fn keep(child: Child) -> u32 {
    let id = child.id();
    CHILDREN.lock().unwrap().push(child);
    id
}

/// Ends the standard input of one of the processes, by which it ends.
pub fn end(id: u32) {
    for child in CHILDREN
        .lock()
        .unwrap()
        .iter_mut()
        .filter(|child| child.id() == id)
    {
        drop(child.stdin.take());
        drop(child.wait());
    }
}

/// Kills one of the processes.
pub fn kill(id: u32) {
    for child in CHILDREN
        .lock()
        .unwrap()
        .iter_mut()
        .filter(|child| child.id() == id)
    {
        drop(child.kill());
        drop(child.wait());
    }
}

/// Kills all processes and removes the temporary folder.
pub fn end_all() {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        drop(child.kill());
        drop(child.wait());
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        drop(fs::remove_dir_all(folder));
    }
}

impl Gateway {
    /// Starts a gateway that reaches the store at `store`.
    pub fn start(name: &str, store: SocketAddr) -> Result<Self, String> {
        let gateway = Self {
            callers: free_address()?,
            ready: free_address()?,
            peers: free_address()?,
        };
        let settings = format!(
            "name = \"{name}\"\nzone = \"zone-a\"\n\n[zones]\n\"zone-a\" = \"region-a\"\n\n\
             [listen]\ncallers = \"{}\"\nready = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\n\n\
             [log]\naddress = \"{store}\"\npartitions = {PARTITIONS}\nrecord_bytes = 262144\n\
             append_bytes = 2097152\nshortest_lease = \"1000ms\"\n\n\
             [directory]\nobey_within = \"2000ms\"\n\n[gateways]\nseeds = [\"{}\"]\n\n\
             [batch]\nkeep_results = \"120s\"\n\n[tenants]\nstrict = false\ntolerance = 0.1\n\n\
             [stop]\ngrace = \"8s\"\n",
            gateway.callers,
            gateway.ready,
            gateway.peers,
            free_address()?,
            gateway.peers,
        );
        let path = folder()?.join(format!("{name}.toml"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = fs::File::create(folder()?.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let copy = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new("target/release/swiftshunt")
            .args(["gateway", "--config"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn();
        keep(child.map_err(|error| format!("target/release/swiftshunt: {error}"))?);
        Ok(gateway)
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        while Instant::now() < until {
            let answer = exchange(
                self.ready,
                "GET",
                "/v1/ready",
                &[("Host", "x")],
                b"",
                Duration::from_secs(1),
            );
            if answer.is_some_and(|answer| answer.status == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("the gateway at {} is not ready", self.callers))
    }
}

/// Copies the logs of the gateways into a folder, for a reader of the record.
fn save_logs(into: &str) {
    let Ok(folder) = folder() else { return };
    for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
        let name = entry.file_name();
        if name.to_string_lossy().ends_with(".log") {
            drop(fs::copy(entry.path(), PathBuf::from(into).join(name)));
        }
    }
}

/// Saves the logs of the gateways if the variable `SAVE_LOGS` is set.
pub fn save_logs_if_asked(into: &str) {
    if std::env::var_os("SAVE_LOGS").is_some() {
        save_logs(into);
    }
}
