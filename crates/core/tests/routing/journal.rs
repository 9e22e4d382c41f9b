use chestnutloft_core::consensus::journal::{encode_batch, recover, scan};
use chestnutloft_core::consensus::{EntryBody, HardState, LogEntry, SaveBatch};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

fn save(index: u64) -> SaveBatch {
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
    [save(1), save(4), save(7)]
        .iter()
        .flat_map(encode_batch)
        .collect()
}

#[test]
fn a_save_torn_anywhere_is_cut_and_all_before_it_stays() {
    for seed in 0..500 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut bytes = synced();
        let mut torn = encode_batch(&save(10));
        let start = rng.random_range(0..torn.len());
        let end = rng.random_range(start..=torn.len());
        torn[start..end].fill(0);
        torn.truncate(rng.random_range(0..=torn.len()));
        let whole = torn == encode_batch(&save(10));
        bytes.extend_from_slice(&torn);

        let content = recover(&bytes).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));

        let expected = if whole { 12 } else { 9 };
        assert_eq!(content.entries.len(), expected, "seed {seed}");
    }
}

#[test]
fn a_change_in_synced_content_is_a_fault() {
    let last = encode_batch(&save(7)).len();
    let bytes = synced();
    for position in 0..bytes.len() - last {
        let mut rotten = bytes.clone();
        rotten[position] ^= 4;

        assert!(recover(&rotten).is_err(), "byte {position}");
        assert!(scan(&rotten).is_err(), "byte {position}");
    }
}
