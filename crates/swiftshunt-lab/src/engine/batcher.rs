//! Continuous batching: each step generates one token for every running request. Online requests are admitted
//! before batch requests and preempt them if no slot is free.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftshunt_backends::engine::{FinishReason, GenerateRequest, TokenEvent};
use swiftshunt_types::{Priority, RequestId, SoftwareVersion};
use tokio::sync::mpsc::{self, error::TrySendError};

use super::prefix_cache::PrefixCache;
use super::settings::EngineSettings;
use super::tokens::{natural_length, token_text, versioned_token_text};

/// A request that an engine accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// The whole prompt.
    pub prompt: String,
    /// Whether the request is online or batch work.
    pub priority: Priority,
    /// Number of steps that began while the request waited for its first step; `None` until that step.
    pub waited_steps: Option<u32>,
}

/// A running or waiting request.
struct Sequence {
    /// Index of the entry in the journal of the engine.
    journal_index: usize,
    waited_steps: u32,
    request: GenerateRequest,
    next_index: u32,
    /// Number of tokens of the whole output, including those before `resume_from`.
    length: u32,
    finish: FinishReason,
    events: mpsc::Sender<TokenEvent>,
    prefilled: bool,
    /// Whether the request is to be removed: cancelled, closed by its reader, or completed.
    cancelled: bool,
}

/// Numbers for the load report. `waiting` counts online requests only.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadCounts {
    pub(super) running: u32,
    pub(super) running_batch: u32,
    pub(super) waiting: u32,
}

/// Running and waiting requests of an engine, and the journal of all accepted requests.
pub(super) struct Batcher {
    settings: EngineSettings,
    cache: PrefixCache,
    running: Vec<Sequence>,
    waiting_online: VecDeque<Sequence>,
    waiting_batch: VecDeque<Sequence>,
    sent_events: u32,
    journal: Vec<AcceptedRequest>,
    tokens: TokenCounts,
}

/// Numbers of tokens that an engine has generated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenCounts {
    /// Tokens of online requests.
    pub online: u64,
    /// Tokens of batch requests.
    pub batch: u64,
}

impl Batcher {
    pub(super) fn new(settings: EngineSettings) -> Self {
        Self {
            cache: PrefixCache::new(settings.cache_blocks),
            settings,
            running: Vec::new(),
            waiting_online: VecDeque::new(),
            waiting_batch: VecDeque::new(),
            sent_events: 0,
            journal: Vec::new(),
            tokens: TokenCounts::default(),
        }
    }

    /// Queues a request. Returns false if the queue is full.
    pub(super) fn submit(
        &mut self,
        request: GenerateRequest,
        events: mpsc::Sender<TokenEvent>,
    ) -> bool {
        if self.waiting_online.len() + self.waiting_batch.len() >= self.settings.queue_limit {
            return false;
        }
        let natural = natural_length(&request.prompt);
        let finish = if natural <= request.max_tokens {
            FinishReason::Stop
        } else {
            FinishReason::Length
        };
        self.journal.push(AcceptedRequest {
            request: request.request.clone(),
            prompt: request.prompt.clone(),
            priority: request.priority,
            waited_steps: None,
        });
        let sequence = Sequence {
            journal_index: self.journal.len() - 1,
            waited_steps: 0,
            next_index: request.resume_from,
            length: natural.min(request.max_tokens),
            finish,
            events,
            prefilled: false,
            cancelled: false,
            request,
        };
        match sequence.request.priority {
            Priority::Online => self.waiting_online.push_back(sequence),
            Priority::Batch => self.waiting_batch.push_back(sequence),
        }
        true
    }

    /// Cancels a request. Returns whether it was running or waiting.
    pub(super) fn cancel(&mut self, request: &RequestId) -> bool {
        let mut found = false;
        let waiting = self
            .waiting_online
            .iter_mut()
            .chain(&mut self.waiting_batch);
        for sequence in self.running.iter_mut().chain(waiting) {
            if sequence.request.request == *request {
                sequence.cancelled = true;
                found = true;
            }
        }
        found
    }

    pub(super) fn tokens(&self) -> TokenCounts {
        self.tokens
    }

    /// Returns all requests accepted so far, in order of arrival.
    pub(super) fn journal(&self) -> &[AcceptedRequest] {
        &self.journal
    }

    pub(super) fn counts(&self) -> LoadCounts {
        let batch = self.running.iter().filter(|sequence| sequence.is_batch());
        LoadCounts {
            running: self.running.len() as u32,
            running_batch: batch.count() as u32,
            waiting: self.waiting_online.len() as u32,
        }
    }

    /// Admits waiting requests and returns the duration of the step; `None` if no request is running.
    pub(super) fn begin_step(&mut self) -> Option<Duration> {
        self.remove_ended();
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut duration = self.settings.step_base;
        duration += self.settings.step_per_request * self.running.len() as u32;
        for sequence in self
            .waiting_online
            .iter_mut()
            .chain(&mut self.waiting_batch)
        {
            sequence.waited_steps += 1;
        }
        for sequence in &mut self.running {
            let entry = &mut self.journal[sequence.journal_index];
            entry.waited_steps.get_or_insert(sequence.waited_steps);
            if !sequence.prefilled {
                sequence.prefilled = true;
                let missing_blocks = self.cache.access_prompt(&sequence.request.prompt);
                duration += self.settings.prefill_per_block * missing_blocks;
            }
        }
        Some(duration)
    }

    /// Ends the step: sends the next token, or the end of the output, to the reader of every running request.
    pub(super) fn end_step(&mut self) {
        let duplicate_event_interval = self.settings.duplicate_event_interval;
        for sequence in &mut self.running {
            let ended = sequence.next_index >= sequence.length;
            let event = sequence.event(ended, self.settings.software.as_ref());
            self.sent_events += 1;
            if duplicate_event_interval > 0
                && self.sent_events.is_multiple_of(duplicate_event_interval)
            {
                drop(sequence.events.try_send(event.clone()));
            }
            match sequence.events.try_send(event) {
                // The buffer of a slow reader is full: only its own request stalls.
                Err(TrySendError::Full(_)) => continue,
                Err(TrySendError::Closed(_)) => sequence.cancelled = true,
                Ok(()) => {}
            }
            if !ended {
                match sequence.request.priority {
                    Priority::Online => self.tokens.online += 1,
                    Priority::Batch => self.tokens.batch += 1,
                }
            }
            sequence.next_index += 1;
            sequence.cancelled |= ended;
        }
        self.remove_ended();
    }

    fn remove_ended(&mut self) {
        let is_active = |sequence: &Sequence| !sequence.cancelled && !sequence.events.is_closed();
        self.running.retain(is_active);
        self.waiting_online.retain(is_active);
        self.waiting_batch.retain(is_active);
    }

    fn admit(&mut self) {
        let slots = self.settings.slots as usize;
        while let Some(sequence) = self.waiting_online.pop_front() {
            if self.running.len() >= slots && !self.preempt_batch_request() {
                self.waiting_online.push_front(sequence);
                break;
            }
            self.running.push(sequence);
        }
        while self.running.len() < slots {
            let Some(sequence) = self.waiting_batch.pop_front() else {
                break;
            };
            self.running.push(sequence);
        }
    }

    /// Moves the batch request that was admitted last to the front of the batch queue. Returns false if no batch
    /// request is running.
    fn preempt_batch_request(&mut self) -> bool {
        let Some(index) = self.running.iter().rposition(Sequence::is_batch) else {
            return false;
        };
        let sequence = self.running.remove(index);
        self.waiting_batch.push_front(sequence);
        true
    }
}

impl Sequence {
    fn is_batch(&self) -> bool {
        self.request.priority == Priority::Batch
    }

    fn event(&self, ended: bool, software: Option<&SoftwareVersion>) -> TokenEvent {
        let is_first = self.next_index == self.request.resume_from;
        let prompt = &self.request.prompt;
        let text = match software {
            _ if ended => String::new(),
            Some(software) => versioned_token_text(prompt, self.next_index, software),
            None => token_text(prompt, self.next_index),
        };
        TokenEvent {
            request: self.request.request.clone(),
            index: self.next_index,
            text,
            finish: ended.then_some(self.finish),
            software: software.filter(|_| is_first).cloned(),
        }
    }
}
