use bytes::Bytes;
use fault::Fault;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Attempt, Offer, Request, Token, Verdict};

/// Largest piece of a body in one frame, in bytes.
pub const CHUNK_LIMIT: usize = 16 * 1024;

/// One HTTP header.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Header {
    /// Name in lower case.
    pub name: SmolStr,
    /// Value.
    pub value: Bytes,
}

/// Message from an entry to an agent on a work stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Offers an attempt; the first message of a stream.
    Offer(Box<Offer>),
    /// Starts a reserved run.
    Go {
        /// Token of the reservation.
        token: Token,
    },
    /// A piece of the request body.
    Body {
        /// The bytes.
        data: Bytes,
    },
    /// The request body is complete.
    End {
        /// Length of the body in bytes.
        length: u64,
    },
    /// The caller is gone; the run may be cancelled if it is repeatable.
    Cancel,
    /// Re-attaches to a run after its stream broke; the first message of a stream.
    Resume {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
        /// Bytes of the answer's body that the entry already has.
        offset: u64,
    },
}

/// Message from an agent to an entry on a work stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Answers the offer.
    Verdict(Verdict),
    /// The head of the answer.
    Head(Head),
    /// A piece of the answer's body.
    Data {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
        /// Position of the piece in the body, in bytes.
        offset: u64,
        /// The bytes.
        data: Bytes,
    },
    /// The answer is complete.
    End {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
        /// Length and hash of the body.
        checksum: Checksum,
    },
    /// The run ended without a whole answer.
    Failed {
        /// Why.
        fault: Fault,
    },
}

/// Head of an answer.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Head {
    /// Id of the request.
    pub request: Request,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// HTTP status.
    pub status: u16,
    /// Headers that pass through.
    pub headers: Vec<Header>,
}

/// Length and hash that a whole body must have.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checksum {
    /// Length in bytes.
    pub length: u64,
    /// XXH3 of the bytes.
    pub hash: u64,
}
