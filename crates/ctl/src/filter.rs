use std::collections::HashSet;

use conf::{Number, id};
use event::{Event, Kind};
use smol_str::SmolStr;

/// Chooses events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Filter {
    /// All events.
    All,
    /// Events of a request.
    Request(SmolStr),
    /// Events of an endpoint, and of each request that was offered to it.
    Endpoint(id::Endpoint),
    /// Events of a version of the configuration.
    Version(Number),
    /// Events of a group.
    Group(id::Group),
}

impl Filter {
    /// Returns the chosen events in their order.
    #[must_use]
    pub fn keep(&self, mut events: Vec<Event>) -> Vec<Event> {
        match self {
            Filter::All => {}
            Filter::Request(id) => events.retain(|event| event.request.as_ref() == Some(id)),
            Filter::Endpoint(name) => keep_endpoint(name, &mut events),
            Filter::Version(number) => {
                events.retain(|event| event.kind == Kind::Version { number: *number });
            }
            Filter::Group(name) => events
                .retain(|event| matches!(&event.kind, Kind::Switch { group, .. } if group == name)),
        }
        events
    }
}

fn keep_endpoint(name: &id::Endpoint, events: &mut Vec<Event>) {
    let about = |event: &Event| event.kind.endpoint() == Some(name);
    let touched = events.iter().filter(|event| about(event));
    let requests: HashSet<_> = touched.filter_map(|event| event.request.clone()).collect();
    events.retain(|event| {
        let link = matches!(&event.kind, Kind::Member { peer, .. } if peer == name);
        let of_request = event.request.as_ref().is_some_and(|r| requests.contains(r));
        about(event) || link || of_request
    });
}
