use bytes::Bytes;
use fault::Fault;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Attempt, Offer, Request, Token, Verdict};

/// Limit on the body bytes in one message.
pub const CHUNK_LIMIT: usize = 16 * 1024;

/// HTTP header field.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Header {
    /// Name in lower case.
    pub name: SmolStr,
    /// Value as it was received; not necessarily UTF-8.
    pub value: Bytes,
}

/// Message from an entry to an agent on a work stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Offers an attempt; the first message of a stream.
    Offer(Box<Offer>),
    /// Starts the run of an attempt that was admitted with a token.
    Go {
        /// Token of the admission.
        token: Token,
    },
    /// Next part of the request body.
    Body {
        /// Bytes of the part, at most [`CHUNK_LIMIT`].
        data: Bytes,
    },
    /// Ends the request body.
    End {
        /// Length of the body in bytes.
        length: u64,
    },
    /// Tells that the client disconnected; a repeatable run may be cancelled.
    Cancel,
    /// Resumes the answer of a run whose stream broke; the first message of a stream.
    Resume {
        /// Identifier of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
        /// Length of the part of the answer's body that the entry has received, in bytes.
        offset: u64,
    },
}

/// Message from an agent to an entry on a work stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Answer to the offer.
    Verdict(Verdict),
    /// Status and headers of the answer.
    Head(Head),
    /// Part of the answer's body.
    Data {
        /// Identifier of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
        /// Offset of the part in the body, in bytes.
        offset: u64,
        /// Bytes of the part, at most [`CHUNK_LIMIT`].
        data: Bytes,
    },
    /// Ends the answer.
    End {
        /// Identifier of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
        /// Length and hash of the body.
        checksum: Checksum,
    },
    /// The run ended without a complete answer.
    Failed {
        /// Reason.
        fault: Fault,
    },
}

/// Status and headers of an answer.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Head {
    /// Identifier of the request.
    pub request: Request,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// HTTP status code.
    pub status: u16,
    /// Headers that are forwarded to the client.
    pub headers: Vec<Header>,
}

/// Length and hash of a complete body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checksum {
    /// Length in bytes.
    pub length: u64,
    /// 64-bit XXH3 hash of the body.
    pub hash: u64,
}
