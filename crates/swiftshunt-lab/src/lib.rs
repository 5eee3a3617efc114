//! Everything that is not the product: stand-ins for the platform and its workers, the
//! fault-injecting proxy, a caller's client, and the harness that runs real processes.

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
