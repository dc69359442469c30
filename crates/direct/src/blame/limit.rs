use std::{collections::HashMap, hash::Hash};

/// Removes about half of the entries of a table that is full, those with the lowest ranks; returns how many.
pub(super) fn evict<K: Eq + Hash, V, R: Copy + Ord>(
    table: &mut HashMap<K, V>,
    rank: impl Fn(&V) -> R,
) -> u64 {
    let before = table.len();
    let mut ranks: Vec<R> = table.values().map(&rank).collect();
    if ranks.is_empty() {
        return 0;
    }
    let (_, middle, _) = ranks.select_nth_unstable(before / 2);
    let middle = *middle;
    table.retain(|_, value| rank(value) >= middle);
    if table.len() == before {
        // More than half of them have the lowest rank.
        table.retain(|_, value| rank(value) > middle);
    }
    (before - table.len()) as u64
}
