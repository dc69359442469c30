//! What a process that sends directly to endpoints knows of the fleet, and how that knowledge grows.
//!
//! A [`Replica`] follows the platform's store, item by item, from any mix of the store itself and
//! other processes; it yields a [`View`] of the configuration, endpoints and zones in force. [`Follower`]
//! feeds it from a [`Source`], the port to the store.

mod endpoint;
mod follower;
mod item;
mod replica;
mod routing;
mod source;
mod view;

pub use endpoint::{Endpoint, Stage};
pub use follower::Follower;
pub use item::{Change, Content, Item, Page, Revision};
pub use replica::{LAPSE_GRACE, REREGISTRATION_WINDOW, Replica, Update};
pub use routing::{Configuration, Engine, Limits, Repeat, Route, Service, Split, Team};
pub use source::{Error as SourceError, Source};
pub use view::{Registration, View};
