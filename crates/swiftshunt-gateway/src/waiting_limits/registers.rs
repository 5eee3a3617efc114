//! The registers of limits in the log. Each version of a register is a record of its own, and the first record of a
//! version is the valid one. A gateway that proposes a version therefore reads back which record is valid.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use rand::RngCore;
use swiftshunt_journal::{Change, KeyedView, Log, LogError, ReadOutcome, Topic};
use swiftshunt_scheduler::waiting_tokens::Register;

use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::listing::Listing;
use crate::messages::waiting::Allowance;
use crate::unreadable::UnreadableRecords;

/// Separates the limit, the version and the nonce in a record's key.
const SEPARATOR: char = '-';
/// Length in bytes of the digest that names a limit.
const NAME_BYTES: usize = 16;

/// The reason for ignoring a record.
#[derive(Debug, Display, Error)]
enum Unreadable {
    #[display("its key names no limit and version")]
    Key,
    #[display("its value is no register: {reason}")]
    Value { reason: String },
    #[display("its value has another version than its key")]
    AnotherVersion,
}

/// The name of a limit in the log: a digest, so that the log does not show tenants' names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LimitName(String);

impl LimitName {
    fn of(allowance: &Allowance) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(allowance.route.as_bytes());
        if let Some(tenant) = &allowance.tenant {
            // No route's name contains this byte.
            hasher.update(&[0]);
            hasher.update(tenant.as_str().as_bytes());
        }
        let digest = hasher.finalize();
        Self(hex::encode(&digest.as_bytes()[..NAME_BYTES]))
    }

    /// Returns the partition of the topic that holds the registers of the limit.
    fn partition(&self, partitions: u32) -> u32 {
        let digits = self.0.get(..8).unwrap_or_default();
        u32::from_str_radix(digits, 16).unwrap_or_default() % partitions.max(1)
    }
}

/// The registers of one limit.
#[derive(Default)]
struct LimitRecords {
    newest: Option<Register>,
    /// Keys of all records of the limit that are not yet dropped.
    keys: Vec<Vec<u8>>,
}

/// The state of a partition of the topic as of the last read.
#[derive(Default)]
struct PartitionState {
    view: KeyedView,
    is_listed: bool,
    limits: HashMap<LimitName, LimitRecords>,
    /// Start time of the last successful read.
    read_at: Option<Duration>,
}

/// The result of reading a register.
#[derive(Clone, Debug)]
pub(super) struct RegisterReading {
    /// The newest register of the limit; `None` if the limit has no register yet.
    pub(super) register: Option<Register>,
    /// When the read began; every record appended before this time is included.
    pub(super) read_at: Duration,
}

/// The registers of all limits, read from the log.
pub(super) struct Registers {
    log: Arc<dyn Log>,
    clock: Clock,
    unreadable: Arc<UnreadableRecords>,
    partitions: Vec<tokio::sync::Mutex<PartitionState>>,
    /// The newest register that was read, by limit.
    cached: std::sync::Mutex<HashMap<Allowance, Register>>,
}

impl Registers {
    pub(super) fn new(
        log: Arc<dyn Log>,
        partitions: u32,
        unreadable: Arc<UnreadableRecords>,
        clock: Clock,
    ) -> Self {
        let partitions = (0..partitions.max(1)).map(|_| tokio::sync::Mutex::default());
        Self {
            log,
            clock,
            unreadable,
            partitions: partitions.collect(),
            cached: std::sync::Mutex::default(),
        }
    }

    /// Returns the register of a limit as of the last read. It may be outdated.
    pub(super) fn cached(&self, allowance: &Allowance) -> Option<Register> {
        lock(&self.cached).get(allowance).cloned()
    }

    /// Reads the register of a limit.
    pub(super) async fn read(&self, allowance: &Allowance) -> Result<RegisterReading, LogError> {
        let asked_at = self.clock.now();
        let name = LimitName::of(allowance);
        let number = name.partition(self.partitions.len() as u32);
        let mut partition = self.partitions[number as usize].lock().await;
        // The task that held the lock before may have started its read after this call began.
        let read_at = match partition.read_at.filter(|at| *at >= asked_at) {
            Some(read_at) => read_at,
            None => self.read_partition(number, &mut partition).await?,
        };
        let register = partition.newest(&name);
        if let Some(register) = &register {
            lock(&self.cached).insert(allowance.clone(), register.clone());
        }
        Ok(RegisterReading { register, read_at })
    }

    /// Appends a proposed register and returns the register that is valid after that.
    pub(super) async fn propose(
        &self,
        allowance: &Allowance,
        proposal: &Register,
    ) -> Result<RegisterReading, LogError> {
        let name = LimitName::of(allowance);
        let number = name.partition(self.partitions.len() as u32);
        let partition = self.partitions[number as usize].lock().await;
        let superseded = partition.keys_before(&name, proposal.version);
        drop(partition);
        let mut records = vec![record(&name, proposal)];
        // Once the proposal is appended, some register of its version is valid, so earlier versions can be dropped.
        let dropped = superseded.into_iter().map(|key| (key, Bytes::new()));
        records.extend(dropped);
        let outcome = self.log.append(Topic::Limits, number, records).await;
        log::debug!(route = allowance.route.as_str(), version = proposal.version, outcome:? = outcome;
            "proposed a register of a limit");
        self.read(allowance).await
    }

    /// Reads a partition up to its end. Returns when the read began.
    async fn read_partition(
        &self,
        number: u32,
        partition: &mut PartitionState,
    ) -> Result<Duration, LogError> {
        let read_at = self.clock.now();
        let mut target_offset = None;
        loop {
            if !partition.is_listed {
                self.list(number, partition).await?;
            }
            let from = partition.view.next_offset();
            let read = self.log.read(Topic::Limits, number, from, Duration::ZERO);
            let ReadOutcome::Records { records, end } = read.await? else {
                // The log no longer has all records since the last read, so the partition is listed anew.
                partition.is_listed = false;
                continue;
            };
            let target_offset = *target_offset.get_or_insert(end);
            let changes = partition.view.apply_tail(records);
            self.apply(partition, changes);
            if partition.view.next_offset() >= target_offset {
                partition.read_at = Some(read_at);
                return Ok(read_at);
            }
        }
    }

    async fn list(&self, number: u32, partition: &mut PartitionState) -> Result<(), LogError> {
        let page = |after, _| self.log.newest(Topic::Limits, number, after);
        let pages = Listing::default().read(page).await?;
        partition.view.abandon_listing();
        let pages = pages.into_iter();
        let changes: Vec<Change> = pages
            .flat_map(|page| partition.view.apply_page(page))
            .collect();
        self.apply(partition, changes);
        partition.is_listed = true;
        Ok(())
    }

    fn apply(&self, partition: &mut PartitionState, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Set(record) => match decode_record(&record.key, &record.value) {
                    Ok((name, register)) => partition.apply_register(name, register, record.key),
                    Err(error) => {
                        self.unreadable
                            .record_unreadable(Topic::Limits, &record.key, &error)
                    }
                },
                Change::Dropped(key) => {
                    self.unreadable.mark_readable(Topic::Limits, &key);
                    partition.remove_key(&key);
                }
            }
        }
    }
}

impl PartitionState {
    fn newest(&self, name: &LimitName) -> Option<Register> {
        self.limits.get(name)?.newest.clone()
    }

    /// Returns the keys of records of a limit with versions before the given one.
    fn keys_before(&self, name: &LimitName, version: u64) -> Vec<Vec<u8>> {
        let keys = self.limits.get(name).map(|records| &records.keys);
        let is_before = |key: &&Vec<u8>| parse_key(key).is_ok_and(|(_, at)| at < version);
        let keys = keys.into_iter().flatten().filter(is_before);
        keys.cloned().collect()
    }

    /// Adds a record. The first record of a version is valid; later ones of the same version change nothing.
    fn apply_register(&mut self, name: LimitName, register: Register, key: Vec<u8>) {
        let records = self.limits.entry(name).or_default();
        records.keys.push(key);
        let newest = records.newest.as_ref().map_or(0, |it| it.version);
        if register.version > newest {
            records.newest = Some(register);
        }
    }

    fn remove_key(&mut self, key: &[u8]) {
        let Ok((name, _)) = parse_key(key) else {
            return;
        };
        if let Some(records) = self.limits.get_mut(&name) {
            records.keys.retain(|known| known != key);
        }
    }
}

fn record(name: &LimitName, register: &Register) -> (Vec<u8>, Bytes) {
    let nonce = rand::rng().next_u64();
    let key = format!(
        "{}{SEPARATOR}{:x}{SEPARATOR}{nonce:016x}",
        name.0, register.version
    );
    let mut value = Vec::new();
    if let Err(error) = ciborium::into_writer(register, &mut value) {
        log::error!("cannot serialize the register of a limit: {error}");
    }
    (key.into_bytes(), value.into())
}

fn parse_key(key: &[u8]) -> Result<(LimitName, u64), Unreadable> {
    let key = std::str::from_utf8(key).map_err(|_| Unreadable::Key)?;
    let mut parts = key.split(SEPARATOR);
    let mut next = || parts.next().ok_or(Unreadable::Key);
    let (name, version) = (next()?, next()?);
    let version = u64::from_str_radix(version, 16).map_err(|_| Unreadable::Key)?;
    Ok((LimitName(name.to_owned()), version))
}

fn decode_record(key: &[u8], value: &[u8]) -> Result<(LimitName, Register), Unreadable> {
    let (name, version) = parse_key(key)?;
    let register: Register = ciborium::from_reader(value).map_err(|error| Unreadable::Value {
        reason: error.to_string(),
    })?;
    if register.version != version {
        return Err(Unreadable::AnotherVersion);
    }
    Ok((name, register))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn name() -> LimitName {
        LimitName::of(&Allowance {
            route: "batch".to_owned(),
            tenant: None,
        })
    }

    /// Encodes a register as a record, decodes the record and applies it. Returns the record's key.
    fn encode_and_apply(partition: &mut PartitionState, register: &Register) -> Vec<u8> {
        let (key, value) = record(&name(), register);
        let (name, register) =
            decode_record(&key, &value).expect("cannot decode the record of a register");
        partition.apply_register(name, register, key.clone());
        key
    }

    #[test]
    fn first_of_two_concurrent_takeovers_is_valid_and_a_late_takeover_changes_nothing() {
        let mut partition = PartitionState::default();
        let first = Register::first("life-1", 1_000);
        encode_and_apply(&mut partition, &first);
        let winner = first.taken_over("life-2", 1_000);
        encode_and_apply(&mut partition, &winner);
        encode_and_apply(&mut partition, &first.taken_over("life-3", 1_000));
        assert_eq!(partition.newest(&name()), Some(winner.clone()));
        let newest = winner.taken_over("life-4", 1_000);
        encode_and_apply(&mut partition, &newest);
        encode_and_apply(&mut partition, &first.taken_over("life-5", 1_000));
        assert_eq!(partition.newest(&name()), Some(newest));
    }

    #[test]
    fn a_proposal_drops_earlier_versions_but_no_version_that_may_be_valid() {
        let mut partition = PartitionState::default();
        let first = Register::first("life-1", 1_000);
        let superseded = encode_and_apply(&mut partition, &first);
        encode_and_apply(&mut partition, &first.taken_over("life-2", 1_000));
        let own = first.taken_over("life-3", 1_000);
        let dropped = partition.keys_before(&name(), own.version);
        assert_eq!(dropped, std::slice::from_ref(&superseded));
        partition.remove_key(&superseded);
        assert!(partition.keys_before(&name(), own.version).is_empty());
    }

    #[test]
    fn a_record_whose_value_has_another_version_than_its_key_is_rejected() {
        let (key, _) = record(&name(), &Register::first("life-1", 1_000));
        let next = Register::first("life-1", 1_000).taken_over("life-2", 1_000);
        let (_, value) = record(&name(), &next);
        assert!(decode_record(&key, &value).is_err());
    }
}
