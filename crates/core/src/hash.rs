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
    rendezvous_key(key)(node)
}

/// Rendezvous weights of nodes for `key`, which is hashed once for all of them.
pub fn rendezvous_key(key: &[u8]) -> impl Fn(&[u8]) -> u64 + use<> {
    let seed = xxh3_64(key);
    move |node| xxh3_64_with_seed(node, seed)
}

/// Owner of `key` among `nodes` by rendezvous hashing; `None` if there are no nodes.
pub fn rendezvous_owner<'a, N: AsRef<[u8]> + ?Sized>(
    key: &[u8],
    nodes: impl IntoIterator<Item = &'a N>,
) -> Option<&'a N> {
    let weight = rendezvous_key(key);
    nodes
        .into_iter()
        .max_by_key(|node| weight((*node).as_ref()))
}

/// Number of `nodes` other than `own` that have a higher rendezvous weight for `key` than `own`.
pub fn rendezvous_rank<N: AsRef<str>>(key: &str, own: &str, nodes: &[N]) -> usize {
    let weight = rendezvous_key(key.as_bytes());
    let own_weight = weight(own.as_bytes());
    let others = nodes.iter().map(AsRef::as_ref).filter(|node| *node != own);
    others
        .filter(|node| weight(node.as_bytes()) > own_weight)
        .count()
}
