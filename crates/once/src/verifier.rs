use bytes::Bytes;
use fault::{ErrorKind, Fault};
use wire::{Attempt, Head, Reply, Request, Seal};
use xxhash_rust::xxh3::Xxh3;

/// Checks that the pieces of an answer belong to one attempt and are whole.
pub struct Verifier {
    request: Request,
    attempt: Attempt,
    length: u64,
    hash: Xxh3,
    strays: u64,
}

/// What may be passed on to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// The head of the answer.
    Head(Head),
    /// The next bytes of the body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// Nothing: the message was a duplicate or belonged to another attempt.
    Ignored,
}

impl Verifier {
    /// Starts to check the answer of an attempt.
    #[must_use]
    pub fn new(request: Request, attempt: Attempt) -> Self {
        Self {
            request,
            attempt,
            length: 0,
            hash: Xxh3::new(),
            strays: 0,
        }
    }

    /// Returns the bytes of the body that were accepted so far.
    #[must_use]
    pub const fn length(&self) -> u64 {
        self.length
    }

    /// Returns how many messages were dropped because they did not belong.
    #[must_use]
    pub const fn mismatches(&self) -> u64 {
        self.strays
    }

    /// Returns the seal of what was accepted so far.
    #[must_use]
    pub fn seal(&self) -> Seal {
        Seal {
            length: self.length,
            hash: self.hash.digest(),
        }
    }

    /// Takes in a message and returns what may be passed on.
    ///
    /// # Errors
    ///
    /// Returns a fault if the agent says so, a piece is missing, or the whole has another length or
    /// hash than it should.
    pub fn accept(&mut self, reply: Reply) -> Result<Piece, Fault> {
        match reply {
            Reply::Head(head) => Ok(self.head(head)),
            Reply::Data {
                request,
                attempt,
                offset,
                data,
            } => {
                if !self.belongs(&request, attempt) {
                    return Ok(Piece::Ignored);
                }
                self.data(offset, data)
            }
            Reply::End {
                request,
                attempt,
                seal,
            } => {
                if !self.belongs(&request, attempt) {
                    return Ok(Piece::Ignored);
                }
                if seal == self.seal() {
                    Ok(Piece::End)
                } else {
                    Err(ErrorKind::BadAnswer.into())
                }
            }
            Reply::Failed { fault } => Err(fault),
            Reply::Verdict(_) => Ok(Piece::Ignored),
        }
    }

    fn head(&mut self, head: Head) -> Piece {
        if self.belongs(&head.request, head.attempt) {
            Piece::Head(head)
        } else {
            Piece::Ignored
        }
    }

    fn data(&mut self, offset: u64, data: Bytes) -> Result<Piece, Fault> {
        if offset > self.length {
            return Err(ErrorKind::BadAnswer.into());
        }
        let known = usize::try_from(self.length - offset).unwrap_or(usize::MAX);
        if known >= data.len() {
            return Ok(Piece::Ignored);
        }
        let fresh = data.slice(known..);
        self.length += fresh.len() as u64;
        self.hash.update(&fresh);
        Ok(Piece::Data(fresh))
    }

    fn belongs(&mut self, request: &Request, attempt: Attempt) -> bool {
        let own = *request == self.request && attempt == self.attempt;
        self.strays += u64::from(!own);
        own
    }
}
