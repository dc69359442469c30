//! The configuration: the operators' document, its versions, and the settings of a process.

mod diagnose;
mod digest;
mod document;
mod fold;
pub mod id;
mod key;
mod settings;
pub mod unit;
mod version;

pub use diagnose::{Error, parse};
pub use digest::Digest;
pub use document::{
    Document, Endpoint, Group, Limit, Policy, Priority, Route, SCHEMA, Service, ServiceKind, Team,
    Zone, ZoneState,
};
pub use fold::{Fold, Record};
pub use key::TeamKey;
pub use settings::{Format, Identity, Level, Listen, Log, Role, Settings};
pub use version::{Number, Version};
