//! Bodies of the items of accepted jobs.
//!
//! They are most of what a job takes, and may be more than the gateways that are left have memory for. So they are kept
//! within a limit, apart from the rest of the job, and read back from the journal when they are needed again.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use derive_more::{Display, Error};
use swiftshunt_jobs::JobRecord;
use swiftshunt_journal::{Assembly, FramingError, Log, LogError, Topic, record_prefix};

use crate::fleet_state::lock;

/// Why a body cannot be read back.
#[derive(Debug, Display, Error)]
pub(super) enum BodyError {
    /// The log does not answer.
    #[display("{_0}")]
    Log(LogError),
    /// A frame cannot be decoded.
    #[display("{_0}")]
    Framing(FramingError),
    /// The log no longer has the job's acceptance, or that has no such item.
    #[display("the journal does not have the body")]
    Missing,
}

/// Partition and identifier of a job.
type JobKey = (u32, String);

/// The bodies of a job's items, in the order of the items.
type JobBodies = Arc<[Bytes]>;

struct Kept {
    bodies: JobBodies,
    bytes: usize,
    /// Number of the last use.
    used: u64,
}

/// The bodies that are kept, with the limit of their size.
struct Cache {
    jobs: BTreeMap<JobKey, Kept>,
    bytes: usize,
    capacity: usize,
    uses: u64,
}

impl Cache {
    fn get(&mut self, job: &JobKey) -> Option<JobBodies> {
        self.uses += 1;
        let kept = self.jobs.get_mut(job)?;
        kept.used = self.uses;
        Some(Arc::clone(&kept.bodies))
    }

    /// Adds the bodies of a job, and removes those that were not used for longest until the others fit. Bodies that are
    /// larger than the limit are not kept.
    fn insert(&mut self, job: JobKey, bodies: JobBodies) {
        self.remove(&job);
        let bytes = bodies.iter().map(Bytes::len).sum();
        if bytes > self.capacity {
            return;
        }
        while self.bytes + bytes > self.capacity {
            let oldest = self.jobs.iter().min_by_key(|(_, kept)| kept.used);
            let Some(oldest) = oldest.map(|(job, _)| job.clone()) else {
                break;
            };
            self.remove(&oldest);
        }
        self.uses += 1;
        self.bytes += bytes;
        let used = self.uses;
        self.jobs.insert(
            job,
            Kept {
                bodies,
                bytes,
                used,
            },
        );
    }

    /// Makes the bodies of a job the first to give way.
    fn release(&mut self, job: &JobKey) {
        if let Some(kept) = self.jobs.get_mut(job) {
            kept.used = 0;
        }
    }

    fn remove(&mut self, job: &JobKey) {
        if let Some(kept) = self.jobs.remove(job) {
            self.bytes -= kept.bytes;
        }
    }
}

/// The bodies of the items of the jobs that this gateway knows.
pub(crate) struct ItemBodies {
    log: Arc<dyn Log>,
    cache: Mutex<Cache>,
    /// Held while a job is read back, which takes several times the memory of its bodies.
    reading: tokio::sync::Mutex<()>,
}

impl ItemBodies {
    /// Creates a store that keeps at most `capacity` bytes and reads the others from `log`.
    pub(super) fn new(log: Arc<dyn Log>, capacity: usize) -> Self {
        Self {
            log,
            cache: Mutex::new(Cache {
                jobs: BTreeMap::new(),
                bytes: 0,
                capacity,
                uses: 0,
            }),
            reading: tokio::sync::Mutex::default(),
        }
    }

    /// Keeps the bodies of a job as far as they fit.
    pub(super) fn keep(&self, partition: u32, job: &str, bodies: Vec<Bytes>) {
        let job = (partition, job.to_owned());
        lock(&self.cache).insert(job, bodies.into());
    }

    /// Lets the bodies of a closed job give way before those of open ones.
    pub(super) fn release(&self, partition: u32, job: &str) {
        lock(&self.cache).release(&(partition, job.to_owned()));
    }

    /// Drops the bodies of a job that is forgotten.
    pub(super) fn drop_job(&self, partition: u32, job: &str) {
        lock(&self.cache).remove(&(partition, job.to_owned()));
    }

    /// Returns the body of an item of a job whose acceptance is recorded under `frame_key`, the key of any of its frames.
    pub(super) async fn body(
        &self,
        partition: u32,
        job: &str,
        frame_key: &[u8],
        item: usize,
    ) -> Result<Bytes, BodyError> {
        let key = (partition, job.to_owned());
        let kept = lock(&self.cache).get(&key);
        let bodies = match kept {
            Some(bodies) => bodies,
            None => self.read_back(key, frame_key).await?,
        };
        bodies.get(item).cloned().ok_or(BodyError::Missing)
    }

    async fn read_back(&self, job: JobKey, frame_key: &[u8]) -> Result<JobBodies, BodyError> {
        let _reading = self.reading.lock().await;
        // Another item of the job may have waited for the same bodies.
        if let Some(bodies) = lock(&self.cache).get(&job) {
            return Ok(bodies);
        }
        let bodies = self.read_acceptance(job.0, frame_key).await?;
        let bodies = JobBodies::from(bodies);
        log::debug!(job = job.1.as_str(), partition = job.0; "bodies of a job were read back from the journal");
        lock(&self.cache).insert(job, Arc::clone(&bodies));
        Ok(bodies)
    }

    /// Reads the frames of a job's acceptance, which follow each other in the order of their keys.
    async fn read_acceptance(
        &self,
        partition: u32,
        frame_key: &[u8],
    ) -> Result<Vec<Bytes>, BodyError> {
        let prefix = record_prefix(frame_key).ok_or(BodyError::Missing)?;
        let mut assembly = Assembly::default();
        let mut after = prefix.to_vec();
        loop {
            let page = self.log.newest(Topic::Jobs, partition, Some(after.clone()));
            let page = page.await.map_err(BodyError::Log)?;
            let last = page.records.last().map(|record| record.key.clone());
            for record in page.records {
                if !record.key.starts_with(prefix) {
                    return Err(BodyError::Missing);
                }
                let added = assembly.add_frame::<JobRecord>(record.key, &record.value);
                if let Some(logical) = added.map_err(BodyError::Framing)? {
                    return match logical.record {
                        JobRecord::Accepted(mut spec) => Ok(spec.take_bodies()),
                        _ => Err(BodyError::Missing),
                    };
                }
            }
            match last {
                Some(last) if page.more && last > after => after = last,
                _ => return Err(BodyError::Missing),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cache(capacity: usize) -> Cache {
        Cache {
            jobs: BTreeMap::new(),
            bytes: 0,
            capacity,
            uses: 0,
        }
    }

    fn job(number: u32) -> JobKey {
        (number, format!("job-{number}"))
    }

    fn bodies(bytes: usize) -> JobBodies {
        vec![Bytes::from(vec![0; bytes])].into()
    }

    #[test]
    fn bodies_that_were_not_used_for_longest_give_way() {
        let mut cache = cache(10);
        cache.insert(job(0), bodies(5));
        cache.insert(job(1), bodies(5));
        assert!(cache.get(&job(0)).is_some());
        cache.insert(job(2), bodies(5));
        let is_kept = [0, 1, 2].map(|number| cache.get(&job(number)).is_some());
        assert_eq!(is_kept, [true, false, true]);
        assert_eq!(cache.bytes, 10);
        cache.remove(&job(0));
        assert_eq!(cache.bytes, 5);
    }

    #[test]
    fn bodies_of_closed_jobs_give_way_first() {
        let mut cache = cache(10);
        cache.insert(job(0), bodies(5));
        cache.insert(job(1), bodies(5));
        cache.release(&job(1));
        cache.insert(job(2), bodies(5));
        let is_kept = [0, 1, 2].map(|number| cache.get(&job(number)).is_some());
        assert_eq!(is_kept, [true, false, true]);
    }

    #[test]
    fn bodies_that_are_larger_than_the_limit_are_not_kept() {
        let mut cache = cache(10);
        cache.insert(job(0), bodies(5));
        cache.insert(job(1), bodies(11));
        assert!(cache.get(&job(0)).is_some());
        assert!(cache.get(&job(1)).is_none());
    }
}
