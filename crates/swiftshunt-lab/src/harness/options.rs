//! Options of a test fleet: programs, zones, pools and tokens.

use std::path::PathBuf;
use std::time::Duration;

/// Names of the zones of the test fleet.
pub const ZONES: [&str; 3] = ["zg-a", "zg-b", "zg-c"];
/// Token of the tenant.
pub const TENANT_TOKEN: &str = "tenant-token";
/// Token of the operator.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Name of the first pool of engines.
pub const POOL_ENGINES: &str = "stol-llm";
/// Name of the pool of submission workers.
pub const POOL_SUBMISSIONS: &str = "stol-book";
/// Model that the engines serve.
pub const MODEL: &str = "stol-llm";

/// Additional model of the first pool of engines. An engine that is started with `--model` flags for other models
/// does not serve it until an order loads it.
pub const EXTRA_MODEL: &str = "stol-new";
/// Name of the second pool of engines. Experiments with a fixed split reserve its engines for batch work.
pub const SECOND_POOL: &str = "stol-llm-batch";
/// Model that the second pool serves.
pub const SECOND_MODEL: &str = "stol-llm-batch";

/// Paths of the programs that a test fleet runs.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// Path of `swiftshunt`.
    pub node: PathBuf,
    /// Path of `swiftshunt-lab`.
    pub lab: PathBuf,
    /// Path of an earlier build of `swiftshunt`, used for some gateways of a soak test; `None` without one.
    pub earlier_node: Option<PathBuf>,
}

impl Binaries {
    /// Finds the programs in the directory of the running `swiftshunt-lab`. Fails if `swiftshunt` is not there.
    pub fn beside_current_program() -> std::io::Result<Self> {
        let lab = std::env::current_exe()?;
        let node = lab.with_file_name("swiftshunt");
        if !node.exists() {
            let message = format!("{} is not built", node.display());
            return Err(std::io::Error::other(message));
        }
        Ok(Self {
            node,
            lab,
            earlier_node: None,
        })
    }

    /// Finds the programs in the directory of the `swiftshunt` at `node`. Panics if `swiftshunt-lab` is not there.
    pub fn beside_node_program(node: &str) -> Self {
        let node = PathBuf::from(node);
        let lab = node.with_file_name("swiftshunt-lab");
        assert!(
            lab.exists(),
            "{} is not built: run the tests of the whole workspace",
            lab.display()
        );
        Self {
            node,
            lab,
            earlier_node: None,
        }
    }
}

/// Options of a test fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Name of the test, used for the directory of its settings and log files.
    pub name: &'static str,
    /// Zones of the nodes that are started with the fleet, as indices into [`ZONES`].
    pub node_zones: Vec<usize>,
    /// Number of engines, distributed over the zones in turn.
    pub engines: usize,
    /// Number of engines, counted from the last, that belong to the second pool.
    pub engines_in_second_pool: usize,
    /// Additional command-line flags of each engine.
    pub engine_flags: Vec<String>,
    /// Software versions of the engines, assigned in turn by index. If empty, the engines name none.
    pub engine_software: Vec<&'static str>,
    /// Number of submission workers, distributed over the zones in turn.
    pub workers: usize,
    /// Lag with which updates of the machine list become visible.
    pub list_lag: Duration,
    /// Log level of the nodes.
    pub log_level: &'static str,
    /// TOML sections appended to the settings file of each node.
    pub settings: String,
}

impl FleetOptions {
    /// Creates options with three nodes, three engines and two submission workers. Delays of ledger recovery are
    /// shortened to suit a test.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            node_zones: vec![0, 1, 2],
            engines: 3,
            engines_in_second_pool: 0,
            engine_flags: Vec::new(),
            engine_software: Vec::new(),
            workers: 2,
            list_lag: Duration::ZERO,
            log_level: "debug",
            settings: "[ledger]\nrebuild_delay = \"4s\"\nreplace_delay = \"1s\"\n".to_owned(),
        }
    }
}
