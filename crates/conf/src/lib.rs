//! Configuration: the operators' document, the log of its versions, and the settings of a process.

mod check;
mod digest;
mod document;
mod fold;
mod history;
pub mod id;
mod json;
mod key;
mod patch;
mod record;
mod settings;
pub mod unit;
mod verdict;
mod version;
mod violation;
mod warn;

pub use check::check;
pub use digest::Digest;
pub use document::{
    Document, Endpoint, Group, Limit, Policy, Priority, Route, SCHEMA, Service, ServiceKind, Team,
    Zone, ZoneState,
};
pub use fold::{Fold, NewerSchema};
pub use history::{History, Page, Refusal, Snapshot};
pub use json::{Error, load, parse};
pub use key::TeamKey;
pub use patch::{difference, merge};
pub use record::{Change, MAX_VALUE_BYTES, Piece, Record, Whole, split};
pub use settings::{Format, Identity, Level, Limits, Listen, Log, Role, Settings};
pub use verdict::{Outcome, Position, Verdict};
pub use version::{Number, Version};
pub use violation::Violation;
pub use warn::warnings;
