//! Responses to operators that wait for the outcome of a proposal.

use std::collections::HashMap;

use actix::ResponseFuture;
use kingcuplift_core::ResultCode;
use kingcuplift_quorum::Token;
use smol_str::SmolStr;
use tokio::sync::oneshot::{self, Sender};

use crate::source::response::Response;

/// A proposal whose outcome is not known yet.
#[derive(Debug, Default)]
struct Waiting {
    /// Operation id, if other requests may join.
    operation: Option<SmolStr>,
    senders: Vec<Sender<Response>>,
}

impl Waiting {
    fn add_response(&mut self) -> ResponseFuture<Response> {
        let (sender, receiver) = oneshot::channel();
        self.senders.push(sender);
        Box::pin(async move {
            receiver.await.unwrap_or_else(|_| {
                let detail = "the member stopped; send the same request again";
                Response::problem(ResultCode::LeadershipLost, detail)
            })
        })
    }
}

/// Responses that wait, by proposal.
#[derive(Debug, Default)]
pub(crate) struct PendingResponses(HashMap<Token, Waiting>);

impl PendingResponses {
    /// Returns the future response to the request that led to a proposal.
    pub(crate) fn register(&mut self, token: Token) -> ResponseFuture<Response> {
        self.0.entry(token).or_default().add_response()
    }

    /// Names the operation of a proposal, so that repeated requests can join it.
    pub(crate) fn name(&mut self, token: Token, operation: &str) {
        if let Some(waiting) = self.0.get_mut(&token) {
            waiting.operation = Some(SmolStr::new(operation));
        }
    }

    /// Returns the future response to a repeated request, if its operation has been proposed already.
    pub(crate) fn join(&mut self, operation: &str) -> Option<ResponseFuture<Response>> {
        let mut proposals = self.0.values_mut();
        let same = proposals.find(|waiting| waiting.operation.as_deref() == Some(operation))?;
        Some(same.add_response())
    }

    /// Removes a proposal and returns the senders of its responses.
    pub(crate) fn take(&mut self, token: Token) -> Vec<Sender<Response>> {
        self.0.remove(&token).unwrap_or_default().senders
    }

    /// Removes all proposals and returns the senders of their responses.
    pub(crate) fn take_all(&mut self) -> Vec<Sender<Response>> {
        self.0.drain().flat_map(|(_, waiting)| waiting.senders).collect()
    }
}
