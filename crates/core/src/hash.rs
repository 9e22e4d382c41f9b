//! Hash functions that give equal results on all instances and in all builds.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128};

/// 128-bit hash of `bytes`, used to compare contents by their hashes.
pub fn content_hash(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// 64-bit hash of a short key.
pub fn key_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Rendezvous weight of `node` for `key`; the node with the highest weight owns the key.
pub fn rendezvous_weight(key: &[u8], node: &[u8]) -> u64 {
    xxh3_64_with_seed(node, xxh3_64(key))
}

/// Owner of `key` among `nodes` by rendezvous hashing; `None` if there are no nodes.
pub fn rendezvous_owner<'a, N: AsRef<[u8]> + ?Sized>(
    key: &[u8],
    nodes: impl IntoIterator<Item = &'a N>,
) -> Option<&'a N> {
    nodes
        .into_iter()
        .max_by_key(|node| rendezvous_weight(key, (*node).as_ref()))
}

/// Number of `nodes` other than `own` that have a higher rendezvous weight for `key` than `own`.
pub fn rendezvous_rank<N: AsRef<str>>(key: &str, own: &str, nodes: &[N]) -> usize {
    let weight = |node: &str| rendezvous_weight(key.as_bytes(), node.as_bytes());
    let own_weight = weight(own);
    let others = nodes.iter().map(AsRef::as_ref).filter(|node| *node != own);
    others.filter(|node| weight(node) > own_weight).count()
}
