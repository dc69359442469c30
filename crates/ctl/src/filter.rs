use std::collections::HashSet;

use conf::{Number, id};
use event::{Event, Kind};
use smol_str::SmolStr;

/// Selection of events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Filter {
    /// All events.
    All,
    /// Events of a request.
    Request(SmolStr),
    /// Events of an endpoint, and of each request that was offered to it.
    Endpoint(id::Endpoint),
    /// Events about a configuration version.
    Version(Number),
    /// Events of a group.
    Group(id::Group),
}

impl Filter {
    /// Returns the selected events in the given order.
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
    let names_endpoint = |event: &Event| event.kind.endpoint() == Some(name);
    let matching = events.iter().filter(|event| names_endpoint(event));
    let requests: HashSet<_> = matching.filter_map(|event| event.request.clone()).collect();
    events.retain(|event| {
        let names_peer = matches!(&event.kind, Kind::Member { peer, .. } if peer == name);
        let of_request = event.request.as_ref().is_some_and(|r| requests.contains(r));
        names_endpoint(event) || names_peer || of_request
    });
}
