//! The registers of limits, as they stand in the log: each version is a record of its own, and of those with the
//! same version the first counts. So a gateway that proposes a version reads back whether its own stands.

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

/// Between the limit, the version and the nonce in a record's key.
const SEPARATOR: char = '-';
/// Bytes of a digest that name a limit.
const NAME_BYTES: usize = 16;

/// Why a record is passed over.
#[derive(Debug, Display, Error)]
enum Unreadable {
    #[display("its key names no limit and version")]
    Key,
    #[display("its value is no register: {reason}")]
    Value { reason: String },
    #[display("its value has another version than its key")]
    AnotherVersion,
}

/// Names a limit in the log, which is kept in one place: tenants do not show.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LimitName(String);

impl LimitName {
    fn of(allowance: &Allowance) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(allowance.route.as_bytes());
        if let Some(tenant) = &allowance.tenant {
            // No route has this byte in its name.
            hasher.update(&[0]);
            hasher.update(tenant.as_str().as_bytes());
        }
        let digest = hasher.finalize();
        Self(hex::encode(&digest.as_bytes()[..NAME_BYTES]))
    }

    /// The partition of the topic that its registers lie in.
    fn partition(&self, partitions: u32) -> u32 {
        let digits = self.0.get(..8).unwrap_or_default();
        u32::from_str_radix(digits, 16).unwrap_or_default() % partitions.max(1)
    }
}

/// The registers of one limit.
#[derive(Default)]
struct LimitRecords {
    newest: Option<Register>,
    /// Keys of all records that are there.
    keys: Vec<Vec<u8>>,
}

/// A partition of the topic, as of the last read.
#[derive(Default)]
struct Partition {
    view: KeyedView,
    is_listed: bool,
    limits: HashMap<LimitName, LimitRecords>,
    /// When the last read that succeeded began.
    read_at: Option<Duration>,
}

/// What a read gave.
#[derive(Clone, Debug)]
pub(super) struct RegisterReading {
    /// The newest register of the limit; none if it has none.
    pub(super) register: Option<Register>,
    /// When the read began: what stood then is known.
    pub(super) read_at: Duration,
}

/// The registers.
pub(super) struct Registers {
    log: Arc<dyn Log>,
    clock: Clock,
    unreadable: Arc<UnreadableRecords>,
    partitions: Vec<tokio::sync::Mutex<Partition>>,
    /// The newest of each limit that was read.
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

    /// The newest register of a limit that was read; it may be old.
    pub(super) fn cached(&self, allowance: &Allowance) -> Option<Register> {
        lock(&self.cached).get(allowance).cloned()
    }

    /// Reads the register of a limit.
    pub(super) async fn read(&self, allowance: &Allowance) -> Result<RegisterReading, LogError> {
        let asked_at = self.clock.now();
        let name = LimitName::of(allowance);
        let number = name.partition(self.partitions.len() as u32);
        let mut partition = self.partitions[number as usize].lock().await;
        // Whoever had the turn before may have read after this was asked.
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

    /// Proposes a register, and reads which one stands.
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
        // Once this is appended, a register of its version stands, be it another one: those before are not needed.
        let dropped = superseded.into_iter().map(|key| (key, Bytes::new()));
        records.extend(dropped);
        let outcome = self.log.append(Topic::Limits, number, records).await;
        log::debug!(route = allowance.route.as_str(), version = proposal.version, outcome:? = outcome;
            "a register of a limit is proposed");
        self.read(allowance).await
    }

    /// Reads a partition up to its end; gives when the read began.
    async fn read_partition(
        &self,
        number: u32,
        partition: &mut Partition,
    ) -> Result<Duration, LogError> {
        let read_at = self.clock.now();
        let mut goal = None;
        loop {
            if !partition.is_listed {
                self.list(number, partition).await?;
            }
            let from = partition.view.next_offset();
            let read = self.log.read(Topic::Limits, number, from, Duration::ZERO);
            let ReadOutcome::Records { records, end } = read.await? else {
                // What came since the last read is gone from the tail.
                partition.is_listed = false;
                continue;
            };
            let goal = *goal.get_or_insert(end);
            let changes = partition.view.apply_tail(records);
            self.apply(partition, changes);
            if partition.view.next_offset() >= goal {
                partition.read_at = Some(read_at);
                return Ok(read_at);
            }
        }
    }

    async fn list(&self, number: u32, partition: &mut Partition) -> Result<(), LogError> {
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

    fn apply(&self, partition: &mut Partition, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Set(record) => match read_record(&record.key, &record.value) {
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

impl Partition {
    fn newest(&self, name: &LimitName) -> Option<Register> {
        self.limits.get(name)?.newest.clone()
    }

    /// Keys of records of a limit's versions before one.
    fn keys_before(&self, name: &LimitName, version: u64) -> Vec<Vec<u8>> {
        let keys = self.limits.get(name).map(|records| &records.keys);
        let is_before = |key: &&Vec<u8>| read_key(key).is_ok_and(|(_, at)| at < version);
        let keys = keys.into_iter().flatten().filter(is_before);
        keys.cloned().collect()
    }

    /// The first record of a version that is newer counts.
    fn apply_register(&mut self, name: LimitName, register: Register, key: Vec<u8>) {
        let records = self.limits.entry(name).or_default();
        records.keys.push(key);
        let newest = records.newest.as_ref().map_or(0, |it| it.version);
        if register.version > newest {
            records.newest = Some(register);
        }
    }

    fn remove_key(&mut self, key: &[u8]) {
        let Ok((name, _)) = read_key(key) else {
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
        log::error!("a register of a limit has no form: {error}");
    }
    (key.into_bytes(), value.into())
}

fn read_key(key: &[u8]) -> Result<(LimitName, u64), Unreadable> {
    let key = std::str::from_utf8(key).map_err(|_| Unreadable::Key)?;
    let mut parts = key.split(SEPARATOR);
    let mut next = || parts.next().ok_or(Unreadable::Key);
    let (name, version) = (next()?, next()?);
    let version = u64::from_str_radix(version, 16).map_err(|_| Unreadable::Key)?;
    Ok((LimitName(name.to_owned()), version))
}

fn read_record(key: &[u8], value: &[u8]) -> Result<(LimitName, Register), Unreadable> {
    let (name, version) = read_key(key)?;
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

    /// Reads a record as the log gives it.
    fn take(partition: &mut Partition, register: &Register) -> Vec<u8> {
        let (key, value) = record(&name(), register);
        let (name, register) = read_record(&key, &value).expect("a register");
        partition.apply_register(name, register, key.clone());
        key
    }

    #[test]
    fn of_two_that_take_over_at_once_the_first_counts_and_a_late_one_changes_nothing() {
        let mut partition = Partition::default();
        let first = Register::first("life-1", 1_000);
        take(&mut partition, &first);
        let winner = first.taken_over("life-2", 1_000);
        take(&mut partition, &winner);
        take(&mut partition, &first.taken_over("life-3", 1_000));
        assert_eq!(partition.newest(&name()), Some(winner.clone()));
        let newest = winner.taken_over("life-4", 1_000);
        take(&mut partition, &newest);
        take(&mut partition, &first.taken_over("life-5", 1_000));
        assert_eq!(partition.newest(&name()), Some(newest));
    }

    #[test]
    fn a_proposal_drops_the_versions_before_it_and_never_one_that_may_stand() {
        let mut partition = Partition::default();
        let first = Register::first("life-1", 1_000);
        let superseded = take(&mut partition, &first);
        take(&mut partition, &first.taken_over("life-2", 1_000));
        let own = first.taken_over("life-3", 1_000);
        let dropped = partition.keys_before(&name(), own.version);
        assert_eq!(dropped, std::slice::from_ref(&superseded));
        partition.remove_key(&superseded);
        assert!(partition.keys_before(&name(), own.version).is_empty());
    }

    #[test]
    fn a_record_that_names_another_version_is_passed_over() {
        let (key, _) = record(&name(), &Register::first("life-1", 1_000));
        let next = Register::first("life-1", 1_000).taken_over("life-2", 1_000);
        let (_, value) = record(&name(), &next);
        assert!(read_record(&key, &value).is_err());
    }
}
