//! Bearer keys, and the proof by which processes of one cluster authenticate each other.

use std::fmt::Write;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of `key` in lower-case hexadecimal, the form used in plans and settings.
pub fn key_hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Whether the hash of `key` is one of `hashes`. Compares in constant time, so that the time does
/// not reveal where hashes differ.
pub fn matches_any_hash(key: &str, hashes: &[String]) -> bool {
    let key_hash = key_hash(key);
    hashes.iter().fold(false, |found, hash| {
        let is_equal: bool = key_hash
            .as_bytes()
            .ct_eq(hash.to_ascii_lowercase().as_bytes())
            .into();
        found | is_equal
    })
}

/// Proof that a process knows the cluster secret: a digest of the secret.
pub fn cluster_proof(secret: &str) -> Vec<u8> {
    Sha256::digest(format!("chestnutloft cluster\u{0}{secret}").as_bytes()).to_vec()
}

/// Whether the proof presented by another process matches the one of this cluster. Compares in
/// constant time.
pub fn is_same_cluster(expected: &[u8], presented: &[u8]) -> bool {
    expected.ct_eq(presented).into()
}

/// Extracts the key from the value of an `authorization: Bearer …` header.
pub fn bearer_key(header: Option<&str>) -> Option<&str> {
    header?.strip_prefix("Bearer ").map(str::trim)
}
