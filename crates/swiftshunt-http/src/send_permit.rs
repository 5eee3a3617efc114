//! Permits to send, which can expire. A request may wait for a connection, and the process may be
//! suspended in the meantime; the permit is checked again right before the request is written.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, SizeHint};

/// A check whether a request may still be written.
#[derive(Clone, Default)]
pub struct SendPermit(Option<Arc<dyn Fn() -> bool + Send + Sync>>);

impl SendPermit {
    /// A permit that never expires.
    pub fn always() -> Self {
        Self(None)
    }

    /// A permit that is valid while `holds` returns true.
    pub fn while_true(holds: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self(Some(Arc::new(holds)))
    }

    /// Returns whether the permit is valid now.
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

/// The permit had expired when the body was to be written.
#[derive(Debug, Display, Error)]
#[display("the permit to send is over")]
pub struct PermitOver;

impl PermitOver {
    /// Returns whether `error` or one of its causes is a `PermitOver`.
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

/// A request body in one frame, which is only yielded if its permit is valid at that time. The HTTP library
/// writes the head together with the first frame, so that an expired permit withholds the whole request.
pub struct PermittedBody {
    /// The content of the body; `None` if it is empty or has been yielded.
    piece: Option<Bytes>,
    permit: SendPermit,
}

impl PermittedBody {
    /// Creates a body that is withheld once `permit` has expired. An empty body is never withheld.
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
        let frame = if body.permit.holds() {
            Ok(Frame::data(piece))
        } else {
            Err(PermitOver)
        };
        Poll::Ready(Some(frame))
    }

    fn is_end_stream(&self) -> bool {
        self.piece.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.piece.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(length as u64)
    }
}
