use std::{cmp::Reverse, net::SocketAddr};

use conf::id;
use xxhash_rust::xxh3::xxh3_64;

/// Number of links that a process keeps within its own availability zone; with two, the graph of
/// the zone is connected with near certainty.
const LINKS_IN_ZONE: usize = 2;
/// Number of links that a process keeps to other availability zones, all zones together.
const LINKS_TO_OTHER_ZONES: usize = 1;

/// Process to which a link may be kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Address on which it listens for peers.
    pub address: SocketAddr,
    /// Its availability zone, or `None` if unknown; it then counts as one of the own zone.
    pub zone: Option<id::Zone>,
}

/// Selects the processes that `process`, in `zone`, keeps links to, by rendezvous hashing.
///
/// The score of a candidate does not depend on the others, so a change of the list moves few links.
#[must_use]
pub fn choose(process: &str, zone: &str, candidates: &[Candidate]) -> Vec<SocketAddr> {
    let in_zone = |c: &&Candidate| c.zone.as_ref().is_none_or(|z| z == zone);
    let mut chosen = best(process, LINKS_IN_ZONE, candidates.iter().filter(in_zone));
    let elsewhere = candidates.iter().filter(|c| !in_zone(c));
    chosen.extend(best(process, LINKS_TO_OTHER_ZONES, elsewhere));
    chosen
}

fn best<'a>(
    process: &str,
    count: usize,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Vec<SocketAddr> {
    let mut scored: Vec<_> = candidates
        .map(|c| (Reverse(score(process, c.address)), c.address))
        .collect();
    scored.sort_unstable();
    scored.dedup();
    scored
        .into_iter()
        .take(count)
        .map(|(_, address)| address)
        .collect()
}

fn score(process: &str, address: SocketAddr) -> u64 {
    xxh3_64(format!("{process}/{address}").as_bytes())
}
