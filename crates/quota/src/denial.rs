use std::{error, fmt, time::Duration};

use fault::{ErrorKind, Fault};

/// Time after which a request may come again for which there was no memory.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason why a lease cannot grow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// The memory is taken by messages that are being served.
    Exhausted,
    /// The lease was revoked, as it had made no progress for longest.
    Revoked,
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Exhausted => "the memory for messages is taken by those that are being served",
            Self::Revoked => {
                "the memory for messages is used up, and this one made no progress for longest"
            }
        })
    }
}

impl error::Error for Denial {}

impl From<Denial> for Fault {
    fn from(denial: Denial) -> Self {
        let fault = match denial {
            Denial::Exhausted => Self::new(ErrorKind::Overloaded).retry_after(RETRY_AFTER),
            Denial::Revoked => Self::new(ErrorKind::SlowClient),
        };
        fault.detail(denial.to_string())
    }
}
