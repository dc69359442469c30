use std::{error, fmt};

/// Average size of a frame, in bytes, below which the frames of a body reach their limit before its
/// bytes do.
///
/// A frame passes between two tasks as a `Bytes` of 32 bytes and is queued, copied and released on its
/// own, whatever its size.
pub const FRAME_BYTES: usize = 64;

/// Number of frames that a body may always have, however small its limit is.
///
/// A small body may arrive in one frame for each packet, or from a writer without a buffer.
pub const MIN_FRAMES: usize = 1024;

/// Bytes and frames that a body may still have.
#[derive(Clone, Debug)]
pub struct Allowance {
    bytes: usize,
    frames: usize,
}

impl Allowance {
    /// Creates the allowance of a body of at most `limit` bytes.
    ///
    /// The body may have one frame for each [`FRAME_BYTES`] of `limit`, and at least [`MIN_FRAMES`].
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            bytes: limit,
            frames: (limit / FRAME_BYTES).max(MIN_FRAMES),
        }
    }

    /// Takes a frame of `length` bytes from the allowance.
    ///
    /// # Errors
    ///
    /// Returns an error if the body has too many bytes or frames with this one.
    pub fn take(&mut self, length: usize) -> Result<(), Exceeded> {
        self.bytes = self.bytes.checked_sub(length).ok_or(Exceeded)?;
        self.frames = self.frames.checked_sub(1).ok_or(Exceeded)?;
        Ok(())
    }
}

/// Error for a body with too many bytes or frames.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exceeded;

impl fmt::Display for Exceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body has too many bytes or frames")
    }
}

impl error::Error for Exceeded {}
