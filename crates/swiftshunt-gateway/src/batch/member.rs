//! Names of the members of the group that shares the partitions. A name contains the gateway's address.

use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::Display;
use rand::RngCore;

/// One incarnation (process lifetime) of a gateway.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{address}/{incarnation:016x}")]
pub(crate) struct Member {
    /// Address at which other gateways reach this one.
    pub(crate) address: SocketAddr,
    /// Random number that tells restarts of the gateway at the same address apart.
    incarnation: u64,
}

/// The error for a text that is not a member name.
#[derive(Clone, Debug, Display, derive_more::Error, PartialEq, Eq)]
#[display("`{name}` does not name a gateway")]
pub(crate) struct InvalidMemberName {
    #[error(not(source))]
    name: String,
}

impl Member {
    /// Creates a member for a new incarnation of the gateway at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            incarnation: rand::rng().next_u64(),
        }
    }
}

impl FromStr for Member {
    type Err = InvalidMemberName;

    fn from_str(name: &str) -> Result<Self, InvalidMemberName> {
        let parsed = name.split_once('/').and_then(|(address, incarnation)| {
            let address = address.parse().ok()?;
            let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
            Some(Self {
                address,
                incarnation,
            })
        });
        parsed.ok_or_else(|| InvalidMemberName {
            name: name.to_owned(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::earlier_builds::{MEMBER, entry};

    #[test]
    fn member_name_of_an_earlier_build_is_parsed() {
        let name = String::from_utf8(entry("member")).expect("the stored name is UTF-8");
        let member = name
            .parse::<Member>()
            .expect("the stored name is a member name");
        assert_eq!(member.address, SocketAddr::from(([10, 0, 0, 2], 7_000)));
        assert_eq!(member.to_string(), MEMBER);
    }
}
