//! Streams that may run only once: continued, when their worker is lost, at the worker that keeps a
//! copy of their run's memory. Going on there counts as the same run.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngCore;
use swiftshunt_routing::{Route, RouteKind};
use swiftshunt_scheduler::selection::Chosen;

use crate::attempt::{Answer, Dispatcher, Leg, Outgoing, Patience, SendFailure};

/// What a continued run needs, whichever worker it is at.
#[derive(Clone, Copy)]
pub(crate) struct Continued<'j> {
    pub(crate) route: &'j Route,
    pub(crate) outgoing: &'j Outgoing,
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
    pub(crate) patience: Patience,
}

/// An answer, and the worker that keeps a copy of the run that makes it.
pub(crate) struct Guarded {
    pub(crate) answer: Answer,
    pub(crate) backup: Option<Chosen>,
}

impl Dispatcher {
    /// Where a copy of a run at `chosen` is kept; none if a lost run can go on without one, or not
    /// at all.
    pub(crate) fn backup_for(&self, route: &Route, chosen: &Chosen) -> Option<Chosen> {
        if route.kind != RouteKind::Stream || route.resumable {
            return None;
        }
        let configuration = self.beliefs.configuration()?;
        let service = configuration.services.get(&chosen.service)?;
        if !service.engine.is_some_and(|engine| engine.backs_up) {
            return None;
        }
        let salt = rand::rng().next_u64();
        let now = self.clock.now();
        let selector = self.beliefs.selector();
        selector.choose_backup(chosen, salt, now)
    }

    /// Goes on with a run at the worker that has a copy of its memory.
    pub(crate) async fn go_on_at(
        &self,
        copy: &Chosen,
        run: Continued<'_>,
    ) -> Result<Guarded, SendFailure> {
        if !self.beliefs.selector().is_ready(&copy.incarnation) {
            return Err(SendFailure::NotSent {
                reason: "the worker with the copy takes nothing new".to_owned(),
            });
        }
        let backup = self.backup_for(run.route, copy);
        let leg = Leg {
            last_event: run.last_event,
            backup: address_of(&backup),
            copy_at: Some(copy.address),
        };
        let sent = self.send(copy, run.outgoing, leg, run.patience).await;
        log::info!(request = run.outgoing.id.as_deref().unwrap_or(""),
            worker = copy.incarnation.as_str(), last_event:? = run.last_event,
            failure:? = sent.as_ref().err(); "a run was to go on at its copy");
        Ok(Guarded {
            answer: sent?,
            backup,
        })
    }

    /// Sends to a worker; while it leaves the request without an answer, asks the one that keeps a
    /// copy whether the run can go on there. The first one is left only for an answer.
    pub(crate) async fn send_guarded(
        &self,
        chosen: &Chosen,
        backup: Chosen,
        run: Continued<'_>,
        silence: Duration,
    ) -> Result<Guarded, SendFailure> {
        let leg = Leg {
            last_event: run.last_event,
            backup: Some(backup.address),
            copy_at: None,
        };
        let first = self.send(chosen, run.outgoing, leg, run.patience);
        tokio::pin!(first);
        let kept = |answer: Answer| Guarded {
            answer,
            backup: Some(backup.clone()),
        };
        loop {
            tokio::select! {
                outcome = &mut first => return outcome.map(kept),
                () = self.left_waiting(chosen, silence) => {}
            }
            let continued = self.go_on_at(&backup, run);
            tokio::pin!(continued);
            tokio::select! {
                outcome = &mut first => match outcome {
                    Ok(answer) => return Ok(kept(answer)),
                    // The copy serves once: whoever was asked last is waited for.
                    Err(failure) => return continued.await.map_err(|_| failure),
                },
                outcome = &mut continued => {
                    if let Ok(guarded) = outcome && guarded.answer.is_vouched_success() {
                        return Ok(guarded);
                    }
                }
            }
        }
    }
}

/// The address of a worker, if there is one.
pub(crate) fn address_of(worker: &Option<Chosen>) -> Option<SocketAddr> {
    worker.as_ref().map(|worker| worker.address)
}
