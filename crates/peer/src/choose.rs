use std::{cmp::Reverse, net::SocketAddr};

use conf::id;
use xxhash_rust::xxh3::xxh3_64;

/// Links that a process keeps within its own availability zone; two join all with near certainty.
const NEAR: usize = 2;
/// Links that a process keeps to other availability zones.
const FAR: usize = 1;

/// Process that a link may be kept to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its availability zone, if that is known.
    pub zone: Option<id::Zone>,
}

/// Chooses by rendezvous hashing the processes to keep links to.
///
/// The choice for one candidate does not depend on the others, so that a change of the list moves few links.
#[must_use]
pub fn choose(own: &str, zone: &str, candidates: &[Candidate]) -> Vec<SocketAddr> {
    let near = |c: &&Candidate| c.zone.as_ref().is_none_or(|z| z == zone);
    let mut chosen = best(own, NEAR, candidates.iter().filter(near));
    let far = candidates.iter().filter(|c| !near(c));
    chosen.extend(best(own, FAR, far));
    chosen
}

fn best<'a>(
    own: &str,
    count: usize,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Vec<SocketAddr> {
    let mut all: Vec<_> = candidates
        .map(|c| (Reverse(score(own, c.address)), c.address))
        .collect();
    all.sort_unstable();
    all.dedup();
    all.into_iter()
        .take(count)
        .map(|(_, address)| address)
        .collect()
}

fn score(own: &str, address: SocketAddr) -> u64 {
    xxh3_64(format!("{own}/{address}").as_bytes())
}
