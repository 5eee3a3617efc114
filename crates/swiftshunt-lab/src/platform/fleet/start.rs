//! Gateway processes of a fleet: their addresses, their settings files, their start.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

use super::PORT_TRIES;
use crate::harness::{HarnessError, Process};
use crate::platform::places::Places;
use crate::stand_in::lock;

/// Starts a gateway by a settings file; its log lies beside that.
pub(crate) fn start_gateway(binary: &Path, settings: &Path) -> Result<Process, HarnessError> {
    let arguments = [
        "gateway".to_owned(),
        "--config".to_owned(),
        settings.display().to_string(),
        "--log-level".to_owned(),
        "debug".to_owned(),
    ];
    Process::start(binary, &arguments, &settings.with_extension("log"))
}

/// Addresses that a gateway keeps when it starts again: others know it by them.
#[derive(Clone, Copy)]
pub(crate) struct KeptAddresses {
    /// Where it listens for other gateways.
    pub(crate) peers: SocketAddr,
    /// Where it listens for who asks for its figures.
    pub(crate) metrics: SocketAddr,
}

/// Times that a gateway is started with other addresses before it is given up.
const STARTS: usize = 5;
/// What the log of a gateway says whose address another process took first.
const ADDRESS_TAKEN: &str = "in use";

/// Starts a gateway for the first time, by the settings that `text` makes of its addresses. Another test program may
/// take one of them between a look at it and the start: then others are drawn.
pub(crate) fn start_gateway_anew(
    program: &Path,
    settings: &Path,
    text: impl Fn(KeptAddresses) -> String,
) -> Result<(Process, KeptAddresses), HarnessError> {
    for start in 1.. {
        let addresses = KeptAddresses {
            peers: free_address()?,
            metrics: free_address()?,
        };
        std::fs::write(settings, text(addresses))?;
        match start_gateway(program, settings) {
            Ok(process) => return Ok((process, addresses)),
            Err(error) if start >= STARTS || !is_address_taken(settings) => return Err(error),
            Err(_) => eprintln!("an address of {} was taken", settings.display()),
        }
    }
    Err(std::io::Error::from(std::io::ErrorKind::AddrInUse).into())
}

fn is_address_taken(settings: &Path) -> bool {
    let log = std::fs::read_to_string(settings.with_extension("log"));
    log.is_ok_and(|log| log.contains(ADDRESS_TAKEN))
}

/// Ports that the system gives to nobody by itself.
const FIXED_PORTS: std::ops::Range<u16> = 20_000..30_000;

/// Ports that were given to gateways of this process.
static GIVEN_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// An address that nobody listens at.
fn free_address() -> std::io::Result<SocketAddr> {
    let mut last = std::io::Error::from(std::io::ErrorKind::AddrInUse);
    for _ in 0..PORT_TRIES {
        let port = rand::random_range(FIXED_PORTS);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let stream = std::net::TcpListener::bind(address);
        match stream.and_then(|_| std::net::UdpSocket::bind(address)) {
            // Another fleet of this process may hold it for a gateway that does not listen yet.
            Ok(_) if lock(&GIVEN_PORTS).insert(port) => return Ok(address),
            Ok(_) => {}
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// What a gateway's settings file says.
pub(crate) struct GatewaySettingsText<'t> {
    pub(crate) index: usize,
    pub(crate) places: &'t Places,
    /// Where it listens for other gateways.
    pub(crate) peers: SocketAddr,
    /// Where it listens for who asks for its figures.
    pub(crate) metrics: SocketAddr,
    pub(crate) store: SocketAddr,
    pub(crate) partitions: u32,
    pub(crate) lease: Duration,
    /// More lines of its part on the directory.
    pub(crate) directory: &'t str,
    /// More lines.
    pub(crate) more: &'t str,
}

/// The settings file of a gateway.
pub(crate) fn settings_text(settings: &GatewaySettingsText<'_>) -> String {
    let GatewaySettingsText {
        index,
        places,
        peers,
        metrics,
        store,
        partitions,
        directory,
        more,
        ..
    } = settings;
    let lease = settings.lease.as_millis();
    let zone = places.zone(*index);
    let zones = places.settings();
    format!(
        r#"name = "gateway-{index}"
zone = "{zone}"

{zones}
[listen]
callers = "127.0.0.1:0"
ready = "127.0.0.1:0"
peers = "{peers}"
metrics = "{metrics}"

[log]
address = "{store}"
partitions = {partitions}
record_bytes = 262144
append_bytes = 2097152
shortest_lease = "{lease}ms"

[directory]
obey_within = "2s"
{directory}

[batch]
lease = "{lease}ms"

{more}
"#
    )
}
