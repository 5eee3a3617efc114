//! Failure detection and the list of members, without I/O.
//!
//! The protocol is SWIM. In each probe interval a node probes one member. A failed probe is repeated through other
//! members. If those fail, too, the member is suspected, and it is declared dead unless it refutes the suspicion in
//! time. Updates are piggybacked on the probes, so the number of messages per node does not grow with the fleet.

mod config;
mod dissemination;
mod member;
mod membership;

pub use config::{MembershipConfig, MembershipConfigError};
pub use dissemination::Dissemination;
pub use member::{Incarnation, Member, MemberRecord, MemberState};
pub use membership::{Change, Membership, ProbePlan};
