//! Local replica of the platform's store, for processes that send requests directly to endpoints.
//!
//! A [`Replica`] applies changes that come from the store itself or from other processes, in any
//! order; its [`View`] holds the configuration, endpoints and zones in force. A [`Follower`] updates
//! the replica from a [`Source`], the interface to the store.

pub mod check;
mod duty;
mod endpoint;
mod follower;
mod item;
mod pace;
mod replica;
mod revision;
mod routing;
mod source;
mod view;

pub use duty::{Always, Duty};
pub use endpoint::{Endpoint, MAX_COLD_TIME, Stage};
pub use follower::Follower;
pub use item::{Change, Content, Item, Page};
pub use pace::{Pace, Patience};
pub use replica::{LAPSE_GRACE, REREGISTRATION_WINDOW, Replica, Update};
pub use revision::Revision;
pub use routing::{Configuration, Engine, Limits, Repeat, Route, Service, Split, Team, ZoneDelay};
pub use source::{Error as SourceError, Source};
pub use view::{Registration, View};
