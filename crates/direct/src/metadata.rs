//! Request and response metadata that a [`Protocol`](crate::Protocol) reads from and writes to
//! HTTP headers.

use std::time::Duration;

use conf::id;
use smol_str::SmolStr;

use crate::{Outcome, Part, events};

/// Largest priority value, that of the requests which endpoints serve last.
pub const MAX_PRIORITY: u8 = 9;

/// Metadata of a client request, decoded from its headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Request id; the client uses a new one for each retry.
    pub id: SmolStr,
    /// API key that identifies the team.
    pub key: Option<SmolStr>,
    /// Time for which the client waits for the response.
    pub timeout: Option<Duration>,
    /// Id of the last event that the client received, if it resumes a stream.
    pub last_event: Option<events::Id>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Largest length of the generated text, in tokens.
    pub max_tokens: u32,
    /// Parts of the prompt that other requests may share, in order; without the last part, which is the
    /// request's own.
    pub shared_parts: Vec<Part>,
    /// Whether the request asks for a version of the weights; endpoints with another one reject it as misdirected.
    pub names_version: bool,
}

/// Metadata that is added to a request before it is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Forwarded<'a> {
    /// Only endpoint that may run the request; any other rejects it.
    pub endpoint: &'a id::Endpoint,
    /// Team to which the API key belongs.
    pub team: Option<&'a id::Team>,
    /// Time left until the client's deadline.
    pub time_left: Duration,
    /// Scheduling priority at the endpoint, from 0 (highest) to [`MAX_PRIORITY`].
    pub priority: u8,
    /// Id of the last event that the client received, if the endpoint resumes a stream.
    pub last_event: Option<&'a events::Id>,
}

/// What a response states about the request rate that its endpoint takes from all entries together.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Limit {
    /// The endpoint states no limit.
    #[default]
    Absent,
    /// Requests per second, finite and not negative.
    Rate(f64),
    /// The stated limit is not such a number.
    Unreadable(SmolStr),
}

/// Metadata of an endpoint's response, decoded from its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// Id of the request to which this is the response.
    pub request_id: Option<SmolStr>,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the server at the address is another endpoint than the addressed one.
    pub misdirected: bool,
    /// Whether the response carries the endpoint's signature.
    pub signed: bool,
    /// Whether the body was content-encoded in transit and so is not as the endpoint sent it.
    pub encoded: bool,
    /// Id or address of the endpoint whose loss made this one reject the request.
    pub at_fault: Option<SmolStr>,
    /// Whether the endpoint is leaving, so that it must get no new work.
    pub leaving: bool,
    /// Time for which the endpoint wants no request from this process, if it declined this one.
    pub pause: Option<Duration>,
    /// Request rate that the endpoint takes from all entries together.
    pub limit: Limit,
}

impl Response {
    /// Returns the outcome of an attempt to send `request` that this response declines.
    #[must_use]
    pub const fn declined_outcome(&self, request: &Request) -> Outcome {
        match (self.misdirected, request.names_version) {
            (false, _) => Outcome::Declined,
            (true, false) => Outcome::Misdirected,
            // It says nothing about the endpoint: the address may be right and the weights of another version.
            (true, true) => Outcome::Dropped,
        }
    }

    /// Returns whether this is the response to the request `id`, which was sent on a new connection or a kept one.
    ///
    /// A refusal without an id is one of this request only if no other was sent on the connection: a faulty
    /// endpoint may write an earlier one again.
    #[must_use]
    pub fn belongs_to(&self, id: &SmolStr, is_new_connection: bool) -> bool {
        match &self.request_id {
            Some(own) => own == id,
            None => is_new_connection || !self.not_run,
        }
    }
}
