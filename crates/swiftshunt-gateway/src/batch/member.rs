//! Names of members of the group that shares the partitions: they tell where a gateway is reached.

use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::Display;
use rand::RngCore;

/// One life of a gateway.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{address}/{life:016x}")]
pub(crate) struct Member {
    /// Where other gateways reach it.
    pub(crate) address: SocketAddr,
    /// Another life of the same machine is another member.
    life: u64,
}

/// Why a text names no member.
#[derive(Clone, Debug, Display, derive_more::Error, PartialEq, Eq)]
#[display("`{name}` does not name a gateway")]
pub(crate) struct InvalidMemberName {
    /// The text.
    #[error(not(source))]
    name: String,
}

impl Member {
    /// A new life of the gateway at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            life: rand::rng().next_u64(),
        }
    }
}

impl FromStr for Member {
    type Err = InvalidMemberName;

    fn from_str(name: &str) -> Result<Self, InvalidMemberName> {
        let parsed = name.split_once('/').and_then(|(address, life)| {
            let address = address.parse().ok()?;
            let life = u64::from_str_radix(life, 16).ok()?;
            Some(Self { address, life })
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
    fn a_name_of_the_build_in_production_is_read() {
        let name = String::from_utf8(entry("member")).expect("a text");
        let member = name.parse::<Member>().expect("a member");
        assert_eq!(member.address, SocketAddr::from(([10, 0, 0, 2], 7_000)));
        assert_eq!(member.to_string(), MEMBER);
    }
}
