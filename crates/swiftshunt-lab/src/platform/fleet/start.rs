//! Gateway processes of a fleet: their addresses, their settings files, their start.

use std::fs::{File, TryLockError};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::PORT_ATTEMPTS;
use crate::harness::{HarnessError, Process};
use crate::platform::zone_layout::ZoneLayout;
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
pub(crate) struct GatewayAddresses {
    /// Where it listens for other gateways.
    pub(crate) peers: SocketAddr,
    /// Where it listens for who asks for its figures.
    pub(crate) metrics: SocketAddr,
}

/// Times that a gateway is started with other addresses before it is given up.
const MAX_STARTS: usize = 5;
/// What the log of a gateway says whose address another process took first.
const ADDRESS_IN_USE: &str = "in use";

/// Starts a gateway for the first time, by the settings that `text` makes of its addresses. Another test program may
/// take one of them between a look at it and the start: then others are drawn.
pub(crate) fn start_gateway_on_free_addresses(
    program: &Path,
    settings: &Path,
    text: impl Fn(GatewayAddresses) -> String,
) -> Result<(Process, GatewayAddresses), HarnessError> {
    for start in 1.. {
        let addresses = GatewayAddresses {
            peers: free_address()?,
            metrics: free_address()?,
        };
        std::fs::write(settings, text(addresses))?;
        match start_gateway(program, settings) {
            Ok(process) => return Ok((process, addresses)),
            Err(error) if start >= MAX_STARTS || !is_address_in_use(settings) => {
                return Err(error);
            }
            Err(_) => eprintln!("an address of {} was taken", settings.display()),
        }
    }
    Err(std::io::Error::from(std::io::ErrorKind::AddrInUse).into())
}

fn is_address_in_use(settings: &Path) -> bool {
    let log = std::fs::read_to_string(settings.with_extension("log"));
    log.is_ok_and(|log| log.contains(ADDRESS_IN_USE))
}

/// Ports that the system gives to nobody by itself.
const NON_EPHEMERAL_PORTS: Range<u16> = 20_000..30_000;

/// Ports of a block.
const PORTS_PER_BLOCK: u16 = 50;
/// Directory, beside other temporary files, of a file for each block: who holds its lock has the block's ports, also
/// for gateways that do not listen yet, or are to start again.
const PORT_LOCK_DIRECTORY: &str = "swiftshunt-lab-ports";

/// The ports of this process, among other test programs that run beside it.
struct PortAllocator {
    /// Those of the newest block that were not given to a gateway yet.
    unused: Range<u16>,
    locks: Vec<File>,
}

static PORT_ALLOCATOR: Mutex<PortAllocator> = Mutex::new(PortAllocator {
    unused: 0..0,
    locks: Vec::new(),
});

impl PortAllocator {
    fn next(&mut self) -> std::io::Result<u16> {
        loop {
            if let Some(port) = self.unused.next() {
                return Ok(port);
            }
            self.reserve_block()?;
        }
    }

    /// Takes a block that no other process has, until this process ends.
    fn reserve_block(&mut self) -> std::io::Result<()> {
        let directory = std::env::temp_dir().join(PORT_LOCK_DIRECTORY);
        std::fs::create_dir_all(&directory)?;
        let mut first_ports: Vec<u16> = NON_EPHEMERAL_PORTS
            .step_by(PORTS_PER_BLOCK.into())
            .collect();
        first_ports.shuffle(&mut rand::rng());
        for first in first_ports {
            let file = File::create(directory.join(first.to_string()))?;
            match file.try_lock() {
                Ok(()) => {
                    self.unused = first..first + PORTS_PER_BLOCK;
                    self.locks.push(file);
                    return Ok(());
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(error)) => return Err(error),
            }
        }
        Err(std::io::Error::from(std::io::ErrorKind::AddrInUse))
    }
}

/// An address that nobody listens at, and that no other test program takes.
fn free_address() -> std::io::Result<SocketAddr> {
    let mut last = std::io::Error::from(std::io::ErrorKind::AddrInUse);
    for _ in 0..PORT_ATTEMPTS {
        let port = lock(&PORT_ALLOCATOR).next()?;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let stream = std::net::TcpListener::bind(address);
        match stream.and_then(|_| std::net::UdpSocket::bind(address)) {
            Ok(_) => return Ok(address),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// What a gateway's settings file says.
pub(crate) struct GatewaySettingsText<'t> {
    pub(crate) index: usize,
    pub(crate) zone_layout: &'t ZoneLayout,
    /// Where it listens for other gateways.
    pub(crate) peers: SocketAddr,
    /// Where it listens for who asks for its figures.
    pub(crate) metrics: SocketAddr,
    pub(crate) store: SocketAddr,
    pub(crate) partitions: u32,
    pub(crate) lease: Duration,
    /// More lines of its part on the directory.
    pub(crate) extra_directory_lines: &'t str,
    /// More lines.
    pub(crate) extra_lines: &'t str,
}

/// The settings file of a gateway.
pub(crate) fn settings_text(settings: &GatewaySettingsText<'_>) -> String {
    let GatewaySettingsText {
        index,
        zone_layout,
        peers,
        metrics,
        store,
        partitions,
        extra_directory_lines,
        extra_lines,
        ..
    } = settings;
    let lease = settings.lease.as_millis();
    let zone = zone_layout.zone(*index);
    let zones = zone_layout.settings_toml();
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
{extra_directory_lines}

[batch]
lease = "{lease}ms"

{extra_lines}
"#
    )
}
