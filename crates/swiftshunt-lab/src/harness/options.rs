//! What a test fleet is made of: programs, zones, pools, tokens.

use std::path::PathBuf;
use std::time::Duration;

/// Zones of the test fleet.
pub const ZONES: [&str; 3] = ["zg-a", "zg-b", "zg-c"];
/// The tenant's token.
pub const TENANT_TOKEN: &str = "tenant-token";
/// The operator's token.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// The pool of engines.
pub const POOL_ENGINES: &str = "stol-llm";
/// The pool of submission workers.
pub const POOL_SUBMISSIONS: &str = "stol-book";
/// The model that the engines serve.
pub const MODEL: &str = "stol-llm";

/// A model of the engines' pool that no engine has loaded at first, if engines name theirs.
pub const EXTRA_MODEL: &str = "stol-new";
/// A second pool of engines, for batch work alone in a fixed split.
pub const SECOND_POOL: &str = "stol-llm-batch";
/// The model of the second pool.
pub const SECOND_MODEL: &str = "stol-llm-batch";

/// The two programs.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// `swiftshunt`.
    pub node: PathBuf,
    /// `swiftshunt-lab`, built beside it.
    pub lab: PathBuf,
    /// `swiftshunt` of an earlier build; none if there is none.
    pub earlier_node: Option<PathBuf>,
}

impl Binaries {
    /// The programs beside the running `swiftshunt-lab`.
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

    /// The programs, given the path of `swiftshunt`.
    pub fn beside_node_program(node: &str) -> Self {
        let node = PathBuf::from(node);
        let lab = node.with_file_name("swiftshunt-lab");
        assert!(
            lab.exists(),
            "{} is not built: test the whole workspace",
            lab.display()
        );
        Self {
            node,
            lab,
            earlier_node: None,
        }
    }
}

/// What a test fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Name of the test, for log files.
    pub name: &'static str,
    /// Zones of the nodes that are started at first, as indices of [`ZONES`].
    pub node_zones: Vec<usize>,
    /// Engines, spread over the zones.
    pub engines: usize,
    /// How many of them, counted from the last, serve the second pool.
    pub engines_in_second_pool: usize,
    /// Further flags of each engine.
    pub engine_flags: Vec<String>,
    /// Submission workers, spread over the zones.
    pub workers: usize,
    /// How far the machine list lags.
    pub list_lag: Duration,
    /// How much nodes log.
    pub log_level: &'static str,
    /// Sections appended to each node's settings file.
    pub settings: String,
}

impl FleetOptions {
    /// Three nodes, three engines, two submission workers; recovery fast enough for a test.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            node_zones: vec![0, 1, 2],
            engines: 3,
            engines_in_second_pool: 0,
            engine_flags: Vec::new(),
            workers: 2,
            list_lag: Duration::ZERO,
            log_level: "debug",
            settings: "[ledger]\nrebuild_delay = \"4s\"\nreplace_delay = \"1s\"\n".to_owned(),
        }
    }
}
