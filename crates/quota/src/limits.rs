use conf::Limits;
use rustix::process::{Resource, getrlimit};

/// Size of a message, in bytes, up to which the slot of its connection covers it.
pub const SMALL_MESSAGE_BYTES: usize = 16 * 1024;
/// Size of the kernel's receive buffer of a client connection, in bytes.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Memory that the slot of a connection covers, in bytes: the kernel's receive buffer with its overhead, the HTTP library's
/// read buffer with a head, one small message, and the state of the tasks.
const CONNECTION_BYTES: u64 = 64 * 1024;
/// Descriptors that are kept for files, listeners, the platform, operators and other processes.
const RESERVED_DESCRIPTORS: u64 = 600;

/// Returns the number of client connections that may be open.
///
/// Their slots cover at most three eighths of the memory. Of the descriptors that are not reserved they take two fifths,
/// since each request may need another connection to an endpoint, and connections to endpoints are kept open.
pub(crate) fn connections(limits: &Limits) -> usize {
    let by_memory = limits.memory / 8 * 3 / CONNECTION_BYTES;
    let descriptors = descriptors(limits);
    let reserved = RESERVED_DESCRIPTORS.min(descriptors / 2);
    let by_descriptors = (descriptors - reserved) / 5 * 2;
    to_usize(by_memory.min(by_descriptors).max(1))
}

/// Returns the memory in bytes for messages that are larger than [`SMALL_MESSAGE_BYTES`]: a quarter.
pub(crate) fn message_bytes(limits: &Limits) -> usize {
    to_usize(limits.memory / 4)
}

/// Returns the lower of the configured number of descriptors and the limit of the operating system.
fn descriptors(limits: &Limits) -> u64 {
    let system = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    limits.descriptors.unwrap_or(u64::MAX).min(system)
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
