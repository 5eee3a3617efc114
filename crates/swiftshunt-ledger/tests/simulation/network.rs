//! A simulated network that loses, duplicates, delays and reorders messages.

use std::collections::BTreeSet;

use rand::Rng;
use rand::rngs::SmallRng;
use swiftshunt_ledger::raft::Message;
use swiftshunt_ledger::state::LedgerState;
use swiftshunt_types::NodeId;

/// One in this many messages, on average, is a straggler, which may be delayed far longer than the
/// others. Without a delay setting there are none.
const STRAGGLER_ODDS: u32 = 40;
/// Maximum delay of a straggler, in steps.
const MAX_STRAGGLER_DELAY_STEPS: u32 = 250;

/// A message in flight.
pub struct InFlight {
    pub from: NodeId,
    pub to: NodeId,
    pub due: u32,
    pub message: Message<LedgerState>,
}

/// Messages in flight and isolated nodes.
#[derive(Default)]
pub struct Network {
    in_flight: Vec<InFlight>,
    pub isolated: BTreeSet<NodeId>,
}

impl Network {
    /// Sends a message with a random delay, and may lose it or send a duplicate.
    pub fn send(
        &mut self,
        message: InFlight,
        loss_percent: u32,
        duplication_percent: u32,
        max_delay: u32,
        random: &mut SmallRng,
    ) {
        let delay = |random: &mut SmallRng| {
            let is_straggler = max_delay > 0 && random.random_range(0..STRAGGLER_ODDS) == 0;
            let limit = if is_straggler {
                MAX_STRAGGLER_DELAY_STEPS
            } else {
                max_delay
            };
            1 + random.random_range(0..=limit)
        };
        if random.random_range(0..100) < duplication_percent {
            self.in_flight.push(InFlight {
                due: message.due + delay(random),
                message: message.message.clone(),
                ..message
            });
        }
        if random.random_range(0..100) >= loss_percent {
            let due = message.due + delay(random);
            self.in_flight.push(InFlight { due, ..message });
        }
    }

    /// Removes and returns the messages that are due at `step`, in random order. Before that, drops
    /// every message in flight from or to an isolated node.
    pub fn arrivals(&mut self, step: u32, random: &mut SmallRng) -> Vec<InFlight> {
        let isolated = &self.isolated;
        self.in_flight
            .retain(|message| !isolated.contains(&message.from) && !isolated.contains(&message.to));
        let mut arrived = Vec::new();
        let mut index = 0;
        while index < self.in_flight.len() {
            if self.in_flight[index].due <= step {
                arrived.push(self.in_flight.swap_remove(index));
            } else {
                index += 1;
            }
        }
        for index in (1..arrived.len()).rev() {
            arrived.swap(index, random.random_range(0..=index));
        }
        arrived
    }
}
