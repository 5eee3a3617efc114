//! Test tooling: stand-ins for the platform services and their workers, a fault-injecting proxy, an API client,
//! experiments, the soak test, and a harness that runs real processes.

pub mod caller;
pub mod engine;
pub mod experiment;
pub mod harness;
pub mod log_service;
pub mod machine_list;
pub mod platform;
pub mod proxy;
pub mod quickstart;
pub mod soak;
pub mod stand_in;
pub mod submission_worker;
pub mod weight_store;
