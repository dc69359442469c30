//! What a process that sends directly to endpoints knows of the fleet, and how that knowledge grows.
//!
//! A [`Mirror`] follows the platform's store, item by item, from any mix of the store itself and
//! other processes; it yields a [`View`] of the configuration, endpoints and zones in force. [`Follow`]
//! feeds it from a [`Source`], the port to the store.

mod endpoint;
mod follow;
mod item;
mod mirror;
mod routing;
mod source;
mod view;

pub use endpoint::{Endpoint, Stage};
pub use follow::Follow;
pub use item::{Change, Fact, Item, Page, Revision};
pub use mirror::{LAPSE_GRACE, Learned, Mirror, RETURN};
pub use routing::{Configuration, Engine, Limits, Repeat, Route, Service, Split, Team};
pub use source::{Error as SourceError, Source};
pub use view::{Known, View};
