//! Starts the gateway processes of a fleet: allocates addresses and writes settings files.

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

/// Starts a gateway with a settings file, at the log level of a deployment: what a gateway does must not depend on it. Its
/// log is the file beside the settings file with the extension `log`.
pub(crate) fn start_gateway(binary: &Path, settings: &Path) -> Result<Process, HarnessError> {
    let arguments = [
        "gateway".to_owned(),
        "--config".to_owned(),
        settings.display().to_string(),
    ];
    Process::start(binary, &arguments, &settings.with_extension("log"))
}

/// Addresses that a gateway keeps across restarts, since other processes are configured with them.
#[derive(Clone, Copy)]
pub(crate) struct GatewayAddresses {
    /// Address to listen on for other gateways.
    pub(crate) peers: SocketAddr,
    /// Address to listen on for requests for metrics.
    pub(crate) metrics: SocketAddr,
}

/// Maximum number of starts of a gateway, each with other addresses.
const MAX_STARTS: usize = 5;
/// Text in the log of a gateway that could not bind an address because another process uses it.
const ADDRESS_IN_USE: &str = "in use";

/// Starts a gateway for the first time, with the settings that `text` returns for its addresses. If another process
/// binds one of them between the check that it is free and the start, tries again with other addresses.
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
            Err(error) if start >= MAX_STARTS || !is_address_in_use(settings) => return Err(error),
            Err(_) => eprintln!(
                "an address in {} is in use by another process; starting the gateway with other addresses",
                settings.display()
            ),
        }
    }
    Err(std::io::Error::from(std::io::ErrorKind::AddrInUse).into())
}

fn is_address_in_use(settings: &Path) -> bool {
    let log = std::fs::read_to_string(settings.with_extension("log"));
    log.is_ok_and(|log| log.contains(ADDRESS_IN_USE))
}

/// Ports outside the range from which the system assigns ports to sockets bound to port 0.
const NON_EPHEMERAL_PORTS: Range<u16> = 20_000..30_000;

/// Number of ports in a block.
const PORTS_PER_BLOCK: u16 = 50;
/// Subdirectory of the directory for temporary files, with a lock file for each block. The process that holds the lock
/// owns the block's ports, also those of gateways that do not listen yet or are about to restart.
const PORT_LOCK_DIRECTORY: &str = "swiftshunt-lab-ports";

/// Allocates ports that no other test program uses that runs at the same time.
struct PortAllocator {
    /// Ports of the last reserved block that are not allocated yet.
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

    /// Reserves a block that no other process holds, until this process exits.
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

/// Returns an address that was free for TCP and UDP when checked, at a port that no other test program allocates.
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

/// Values of a gateway's settings file.
pub(crate) struct GatewaySettingsText<'t> {
    pub(crate) index: usize,
    pub(crate) zone_layout: &'t ZoneLayout,
    /// Address to listen on for other gateways.
    pub(crate) peers: SocketAddr,
    /// Address to listen on for requests for metrics.
    pub(crate) metrics: SocketAddr,
    pub(crate) store: SocketAddr,
    pub(crate) partitions: u32,
    pub(crate) lease: Duration,
    /// Lines to append to the `[directory]` table.
    pub(crate) extra_directory_lines: &'t str,
    /// Lines to append to the file.
    pub(crate) extra_lines: &'t str,
}

/// Returns the content of a gateway's settings file.
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
