//! The workers that an item's next attempt avoids.

/// Most workers that are remembered. An item that each worker fails goes round among the others.
const MAX_AVOIDED_WORKERS: usize = 8;

/// Workers at which the latest attempts of an item ended without an event. A worker that fails everything at once always has
/// free slots, so that an item would be sent there again and again beside sound workers.
#[derive(Debug, Default)]
pub(super) struct AvoidedWorkers {
    /// Incarnations, the latest last.
    incarnations: Vec<String>,
}

impl AvoidedWorkers {
    /// Records that an attempt at a worker ended without an event.
    pub(super) fn record_failure(&mut self, incarnation: &str) {
        self.incarnations.retain(|avoided| avoided != incarnation);
        if self.incarnations.len() == MAX_AVOIDED_WORKERS {
            self.incarnations.remove(0);
        }
        self.incarnations.push(incarnation.to_owned());
    }

    /// Forgets all workers, since one has made progress.
    pub(super) fn clear(&mut self) {
        self.incarnations.clear();
    }

    /// Returns the incarnations of the workers to avoid.
    pub(super) fn incarnations(&self) -> &[String] {
        &self.incarnations
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_latest_workers_are_avoided() {
        let mut avoided = AvoidedWorkers::default();
        for worker in 0..=MAX_AVOIDED_WORKERS {
            avoided.record_failure(&format!("worker-{worker}"));
        }
        avoided.record_failure("worker-1");
        assert_eq!(avoided.incarnations().len(), MAX_AVOIDED_WORKERS);
        assert_eq!(avoided.incarnations()[0], "worker-2");
        assert_eq!(
            avoided.incarnations().last().map(String::as_str),
            Some("worker-1")
        );
        avoided.clear();
        assert!(avoided.incarnations().is_empty());
    }
}
