//! Clients for the services that swiftshunt depends on: log service, machine list, weight store, engines and
//! submission workers. All but the weight store are behind a narrow trait, so that another protocol only
//! needs another implementation of the trait.

pub mod engine;
pub mod log_service;
pub mod machine_list;
pub mod submission;
pub mod weights;

/// A boxed future, as returned by traits that are used as trait objects.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
