use std::fmt;

use crate::Kind;

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Start => f.write_str("start"),
            Kind::Request { team, service } => write!(f, "request of {team} for {service}"),
            Kind::Offer { endpoint, attempt } => write!(f, "offer {attempt} to {endpoint}"),
            Kind::Refusal { kind } => write!(f, "refusal {kind}"),
            Kind::Run { endpoint, attempt } => write!(f, "run {attempt} at {endpoint}"),
            Kind::Answer { status, length } => write!(f, "answer {status}, {length} bytes"),
            Kind::Version { number } => write!(f, "version {number} in force"),
            Kind::Member { peer, up: true } => write!(f, "link to {peer} up"),
            Kind::Member { peer, up: false } => write!(f, "link to {peer} down"),
            Kind::Switch { group, map, step } => {
                write!(f, "switch of {group} to map {map}: {step}")
            }
            Kind::Limit { endpoint, limit } => write!(f, "limit of {endpoint} now {limit}"),
        }
    }
}
