//! Application of received updates, and the report of those that are refused.

use std::net::SocketAddr;

use kingcuplift_config::{
    ApplyOutcome, FrameError, Subscription, UpdateError, UpdateSummary, VersionedDocument,
    decode_update,
};
use kingcuplift_core::Event;
use kingcuplift_schema::control::UpdateFrame;
use thiserror::Error;

/// Reason why a received update was refused.
#[derive(Debug, Error)]
pub(crate) enum RefusedUpdate {
    /// The frame can't be decoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The update does not fit the document.
    #[error("{error}; {summary}")]
    Update {
        /// The update.
        summary: UpdateSummary,
        /// Why it does not fit.
        error: UpdateError,
    },
}

impl RefusedUpdate {
    /// Logs the refusal of an update from the process at `sender`.
    pub(crate) fn emit(&self, sender: Option<SocketAddr>) {
        let sender = sender.map(|address| address.to_string()).unwrap_or_default();
        if let Self::Update { summary, error: UpdateError::Digest { version, .. } } = self {
            let fields: [(&str, &dyn std::fmt::Display); 3] =
                [("version", version), ("sender", &sender), ("update", summary)];
            Event::DigestMismatch.emit(&fields);
        }
        Event::UpdateRefused.emit(&[("reason", self), ("sender", &sender)]);
    }
}

/// Decodes an update and applies it to the document of a receiver.
pub(crate) fn apply_update(
    document: &mut VersionedDocument,
    frame: &UpdateFrame,
    subscription: &Subscription,
) -> Result<ApplyOutcome, RefusedUpdate> {
    let update = decode_update(frame)?;
    document
        .apply(&update, subscription)
        .map_err(|error| RefusedUpdate::Update { summary: UpdateSummary::of(&update), error })
}
