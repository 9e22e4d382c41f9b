//! Bearer keys and the proof of cluster membership.

use std::fmt::Write;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of `key` in lower-case hexadecimal, as plans and settings keep it.
pub fn key_hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Whether `key` fits one of `hashes`. Takes the same time wherever they differ.
pub fn fits_any(key: &str, hashes: &[String]) -> bool {
    let own = key_hash(key);
    hashes.iter().fold(false, |found, hash| {
        let is_equal: bool = own
            .as_bytes()
            .ct_eq(hash.to_ascii_lowercase().as_bytes())
            .into();
        found | is_equal
    })
}

/// What members of a cluster show each other: a digest of the cluster's secret.
pub fn cluster_proof(secret: &str) -> Vec<u8> {
    Sha256::digest(format!("chestnutloft cluster\u{0}{secret}").as_bytes()).to_vec()
}

/// Whether a shown proof is that of this cluster.
pub fn is_member(own: &[u8], shown: &[u8]) -> bool {
    own.ct_eq(shown).into()
}

/// The key in an `authorization: Bearer …` header.
pub fn bearer_key(header: Option<&str>) -> Option<&str> {
    header?.strip_prefix("Bearer ").map(str::trim)
}
