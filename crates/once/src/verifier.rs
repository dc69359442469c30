use bytes::Bytes;
use fault::{ErrorKind, Fault};
use wire::{Attempt, Checksum, Head, Reply, Request};
use xxhash_rust::xxh3::Xxh3;

/// Checks that the messages of an answer belong to one attempt and that the answer is complete.
pub struct Verifier {
    request: Request,
    attempt: Attempt,
    length: u64,
    hash: Xxh3,
    mismatches: u64,
}

/// Part of an answer that may be forwarded to the client.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// Status and headers of the answer.
    Head(Head),
    /// Next bytes of the body, without those that were accepted before.
    Data(Bytes),
    /// The answer is complete; its length and hash match.
    End,
    /// The message was a duplicate, a verdict or part of another attempt; nothing is forwarded.
    Ignored,
}

impl Verifier {
    /// Creates a verifier for the answer of one attempt at a request.
    #[must_use]
    pub fn new(request: Request, attempt: Attempt) -> Self {
        Self {
            request,
            attempt,
            length: 0,
            hash: Xxh3::new(),
            mismatches: 0,
        }
    }

    /// Returns the number of body bytes accepted so far.
    #[must_use]
    pub const fn length(&self) -> u64 {
        self.length
    }

    /// Returns the number of messages ignored because they belong to another request or attempt.
    #[must_use]
    pub const fn mismatches(&self) -> u64 {
        self.mismatches
    }

    /// Returns the length and hash of the body bytes accepted so far.
    #[must_use]
    pub fn checksum(&self) -> Checksum {
        Checksum {
            length: self.length,
            hash: self.hash.digest(),
        }
    }

    /// Checks a message and returns the part that may be forwarded.
    ///
    /// # Errors
    ///
    /// Returns the agent's fault if the agent reports one, and [`ErrorKind::BadAnswer`] if bytes
    /// are missing or the complete body has another length or hash than the agent states.
    pub fn accept(&mut self, reply: Reply) -> Result<Piece, Fault> {
        match reply {
            Reply::Head(head) => Ok(self.accept_head(head)),
            Reply::Data {
                request,
                attempt,
                offset,
                data,
            } => {
                if !self.matches(&request, attempt) {
                    return Ok(Piece::Ignored);
                }
                self.accept_data(offset, data)
            }
            Reply::End {
                request,
                attempt,
                checksum,
            } => {
                if !self.matches(&request, attempt) {
                    return Ok(Piece::Ignored);
                }
                if checksum == self.checksum() {
                    Ok(Piece::End)
                } else {
                    Err(ErrorKind::BadAnswer.into())
                }
            }
            Reply::Failed { fault } => Err(fault),
            Reply::Verdict(_) => Ok(Piece::Ignored),
        }
    }

    fn accept_head(&mut self, head: Head) -> Piece {
        if self.matches(&head.request, head.attempt) {
            Piece::Head(head)
        } else {
            Piece::Ignored
        }
    }

    fn accept_data(&mut self, offset: u64, data: Bytes) -> Result<Piece, Fault> {
        if offset > self.length {
            return Err(ErrorKind::BadAnswer.into());
        }
        let overlap = usize::try_from(self.length - offset).unwrap_or(usize::MAX);
        if overlap >= data.len() {
            return Ok(Piece::Ignored);
        }
        let fresh = data.slice(overlap..);
        self.length += fresh.len() as u64;
        self.hash.update(&fresh);
        Ok(Piece::Data(fresh))
    }

    /// Returns whether a message belongs to the verified attempt, and counts it if it does not.
    fn matches(&mut self, request: &Request, attempt: Attempt) -> bool {
        let matches = *request == self.request && attempt == self.attempt;
        self.mismatches += u64::from(!matches);
        matches
    }
}
