//! Clients for what stands outside swiftshunt: log service, machine list, weight store, engines and
//! submission workers, each behind a narrow trait, so that another protocol needs an adapter only.

pub mod engine;
pub mod log_service;
pub mod machine_list;
pub mod submission;
pub mod weights;

/// A boxed future, for traits that are used as objects.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
