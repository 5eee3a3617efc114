//! Permits that end: a request that waits for a connection, in a process that may be stopped meanwhile, is
//! written only if it still may be.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, SizeHint};

/// Whether a request may still be written.
#[derive(Clone, Default)]
pub struct SendPermit(Option<Arc<dyn Fn() -> bool + Send + Sync>>);

impl SendPermit {
    /// A permit that never ends.
    pub fn always() -> Self {
        Self(None)
    }

    /// A permit that holds as long as `holds` says so.
    pub fn while_true(holds: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self(Some(Arc::new(holds)))
    }

    /// Whether it holds now.
    pub fn holds(&self) -> bool {
        self.0.as_ref().is_none_or(|holds| holds())
    }
}

impl fmt::Debug for SendPermit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(if self.0.is_some() {
            "limited"
        } else {
            "always"
        })
    }
}

/// The permit was over when the body was to be written.
#[derive(Debug, Display, Error)]
#[display("the permit to send is over")]
pub struct PermitOver;

impl PermitOver {
    /// Whether it is among the causes of `error`.
    pub fn caused(error: &(dyn std::error::Error + 'static)) -> bool {
        let mut cause = Some(error);
        while let Some(error) = cause {
            if error.is::<Self>() {
                return true;
            }
            cause = error.source();
        }
        false
    }
}

/// A body in one piece, given out while its permit holds. The head is written together with it.
pub struct PermittedBody {
    piece: Option<Bytes>,
    permit: SendPermit,
}

impl PermittedBody {
    /// A body that is withheld once `permit` is over. An empty one is not.
    pub fn new(body: Bytes, permit: SendPermit) -> Self {
        let piece = (!body.is_empty()).then_some(body);
        Self { piece, permit }
    }
}

impl Body for PermittedBody {
    type Data = Bytes;
    type Error = PermitOver;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PermitOver>>> {
        let body = self.get_mut();
        let Some(piece) = body.piece.take() else {
            return Poll::Ready(None);
        };
        let given = if body.permit.holds() {
            Ok(Frame::data(piece))
        } else {
            Err(PermitOver)
        };
        Poll::Ready(Some(given))
    }

    fn is_end_stream(&self) -> bool {
        self.piece.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.piece.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(length as u64)
    }
}
