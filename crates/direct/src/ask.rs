use std::time::Duration;

use conf::id;
use smol_str::SmolStr;

/// What a caller's request says about itself, decoded from its headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ask {
    /// Id of this send of the request, unique among all sends.
    pub id: SmolStr,
    /// Team key.
    pub key: Option<SmolStr>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Last event that the caller has, if it resumes a stream.
    pub resumed: Option<u64>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub answer: u32,
}

/// What is added to a request on its way to an endpoint.
#[derive(Clone, Debug)]
pub struct Offer<'a> {
    /// Endpoint that alone may run it.
    pub endpoint: &'a id::Endpoint,
    /// Team that the key belongs to.
    pub team: Option<&'a id::Team>,
    /// Time that is left.
    pub left: Duration,
    /// Rank at the endpoint, 0 (first) to 9.
    pub rank: u8,
    /// Last event that was delivered, if a stream goes on.
    pub resume: Option<u64>,
}

/// What an endpoint's answer says about itself, decoded from its headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// Id of the request that it answers.
    pub request: Option<SmolStr>,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the endpoint there is not the one that was asked for.
    pub misdirected: bool,
    /// Whether the answer bears the endpoint's signature.
    pub signed: bool,
    /// Whether the body was encoded on the way and is not the endpoint's own.
    pub encoded: bool,
    /// Id or address of the endpoint whose failure is the reason for this one.
    pub at_fault: Option<SmolStr>,
}
