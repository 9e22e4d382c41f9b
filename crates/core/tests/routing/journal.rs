use chestnutloft_core::consensus::journal::{encode_batch, recover, scan};
use chestnutloft_core::consensus::{EntryBody, HardState, LogEntry, SaveBatch};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

fn batch(index: u64) -> SaveBatch {
    SaveBatch {
        snapshot: None,
        entries: (0..3)
            .map(|offset| LogEntry {
                index: index + offset,
                term: 1,
                body: EntryBody::Command(vec![7; 40].into()),
            })
            .collect(),
        hard_state: Some(HardState::default()),
    }
}

fn synced() -> Vec<u8> {
    [batch(1), batch(4), batch(7)]
        .iter()
        .flat_map(encode_batch)
        .collect()
}

#[test]
fn a_torn_write_is_truncated_and_earlier_batches_are_kept() {
    for seed in 0..500 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut bytes = synced();
        let mut torn = encode_batch(&batch(10));
        let start = rng.random_range(0..torn.len());
        let end = rng.random_range(start..=torn.len());
        torn[start..end].fill(0);
        torn.truncate(rng.random_range(0..=torn.len()));
        let is_complete = torn == encode_batch(&batch(10));
        bytes.extend_from_slice(&torn);

        let content = recover(&bytes).unwrap_or_else(|error| panic!("seed {seed}: {error}"));

        let expected = if is_complete { 12 } else { 9 };
        assert_eq!(content.entries.len(), expected, "seed {seed}");
    }
}

#[test]
fn a_corrupted_bit_in_synced_batches_is_an_error() {
    let last = encode_batch(&batch(7)).len();
    let bytes = synced();
    for position in 0..bytes.len() - last {
        let mut corrupted = bytes.clone();
        corrupted[position] ^= 4;

        assert!(recover(&corrupted).is_err(), "byte {position}");
        assert!(scan(&corrupted).is_err(), "byte {position}");
    }
}
