//! Tests of findings about invalid sheets, and of reading back written sheets.

// `expect_test` updates the expected texts and always writes them with hashes.
#![allow(clippy::needless_raw_string_hashes)]

use std::collections::BTreeMap;
use std::path::Path;

use chestnutloft_core::plan::PlanDeclaration;
use chestnutloft_plan::write::write_sheets;
use chestnutloft_plan::{SheetSource, read_plan, read_source};
use expect_test::{Expect, expect};
use proptest::prelude::*;

fn example(name: &str) -> PlanDeclaration {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    let read = read_plan(&folder);
    assert_eq!(read.findings, Vec::new());
    read.declaration
}

fn texts() -> BTreeMap<String, String> {
    write_sheets(&example("kitamiya"))
        .into_iter()
        .map(|(name, text)| (name.to_owned(), text))
        .collect()
}

/// Findings about the example after `change` has edited its sheets.
fn findings(change: impl FnOnce(&mut BTreeMap<String, String>)) -> String {
    let mut texts = texts();
    change(&mut texts);
    let read = read_source(&mut SheetSource::Texts(texts));
    let lines: Vec<String> = read.findings.iter().map(ToString::to_string).collect();
    lines.iter().fold(String::new(), |text, line| {
        text + line
            + "
"
    })
}

fn check(change: impl FnOnce(&mut BTreeMap<String, String>), expected: &Expect) {
    expected.assert_eq(&findings(change));
}

fn append(texts: &mut BTreeMap<String, String>, sheet: &str, row: &str) {
    let text = texts.get_mut(sheet).expect("the sheet is there");
    text.push_str(row);
    text.push('\n');
}

#[test]
fn reports_an_unknown_version() {
    check(
        |texts| append(texts, "allowed", "demo,ghost@1"),
        &expect![[r#"
            allowed row 40: version ghost@1 is not declared; declare it in sheet versions or remove the row
        "#]],
    );
}

#[test]
fn reports_overlapping_outages_and_unknown_time_zones() {
    check(
        |texts| {
            append(
                texts,
                "outages",
                "obihiro,2026-12-08 05:00,2026-12-08 07:00,UTC",
            );
        },
        &expect![[r#"
            outages row 4: overlaps the outage of obihiro at outages row 2; join the two or move one
        "#]],
    );
    check(
        |texts| {
            append(
                texts,
                "outages",
                "obihiro,tomorrow,2026-12-08 07:00,Mars/Base",
            );
        },
        &expect![[r#"
            outages row 4 column zone: time zone "Mars/Base" is unknown; write a name such as Asia/Tokyo
        "#]],
    );
}

#[test]
fn reports_impossible_rollouts() {
    check(
        |texts| append(texts, "rollouts", "back,ridge@2,swift@2,1,40,10,1000"),
        &expect![[r#"
            rollouts row 6: the last share of back is 0.4: shares do not add up to the whole; end with a share of 100 percent
            rollouts row 6: the roll-out goes to swift@2, which is withdrawn; name a version in service
        "#]],
    );
}

#[test]
fn reports_unreachable_targets_and_wrong_units() {
    check(
        |texts| append(texts, "targets", "demo,miracle,0.999,500,2000,0.95"),
        &expect![[r#"
            targets row 32: quality 0.999 is above what any allowed version is expected to reach (0.97); allow a better version or lower the target
        "#]],
    );
    check(
        |texts| append(texts, "targets", "demo,miracle,95,0.5s,2000,0.95"),
        &expect![[r#"
            targets row 32 column first_token_ms: "0.5s" is not a whole number; write milliseconds, a whole number up to 86400000
            targets row 32 column quality: 95 is out of range; write a share of good answers, a plain number from 0 to 1
        "#]],
    );
}

#[test]
fn reports_duplicates_and_empty_missing_and_unknown_sheets() {
    check(
        |texts| append(texts, "domains", "obihiro,hokkaido"),
        &expect![[r#"
            domains row 5: obihiro is already declared in row 3; remove one of the rows
        "#]],
    );
    check(
        |texts| {
            texts.insert("versions".to_owned(), String::new());
            texts.remove("services");
            texts.insert("version".to_owned(), String::new());
        },
        &expect![[r#"
            methods row 2 column service: service order-svc is not declared; declare it in sheet services
            methods row 3 column service: service order-svc is not declared; declare it in sheet services
            methods row 4 column service: service order-svc is not declared; declare it in sheet services
            methods row 5 column service: service order-svc is not declared; declare it in sheet services
            services: the sheet is missing; add it
            version: the sheet is unknown; remove it or correct its name
            versions: the sheet has no rows; fill it in
        "#]],
    );
}

#[test]
fn accepts_a_byte_order_mark_and_windows_line_ends() {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, text) in texts() {
        let text = format!("\u{feff}{}", text.replace('\n', "\r\n"));
        std::fs::write(folder.path().join(format!("{name}.csv")), text).expect("written");
    }

    let read = read_plan(folder.path());

    assert_eq!(read.findings, Vec::new());
    assert_eq!(read.declaration, example("kitamiya"));
}

#[test]
fn reports_a_wrong_encoding() {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, text) in texts() {
        std::fs::write(folder.path().join(format!("{name}.csv")), text).expect("written");
    }
    std::fs::write(
        folder.path().join("domains.csv"),
        b"domain,region\nbogot\xe1,x\n",
    )
    .expect("written");

    let read = read_plan(folder.path());

    let first = read.findings.first().map(ToString::to_string);
    assert_eq!(
        first.as_deref(),
        Some("domains row 2: the row is not UTF-8; save the file as UTF-8")
    );
}

#[test]
fn examples_survive_a_round_trip() {
    for name in ["kitamiya", "piso-vivo"] {
        let plan = example(name);
        let texts = write_sheets(&plan)
            .into_iter()
            .map(|(n, t)| (n.to_owned(), t))
            .collect();

        let read = read_source(&mut SheetSource::Texts(texts));

        assert_eq!(read.findings, Vec::new());
        assert_eq!(read.declaration, plan);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn numbers_survive_a_round_trip(
        rate in 0.001_f64..1e5,
        burst in 1.0_f64..1e5,
        concurrency in 0_u32..1_000_000,
        weight in 0.01_f64..1e3,
        cost in 0_u64..u64::from(u32::MAX),
        quality in 0.97_f64..1.0,
        share in 1_u32..99,
    ) {
        let mut plan = example("piso-vivo");
        for rule in plan.workspaces.values_mut() {
            rule.rate_per_s = rate;
            rule.burst = burst;
            rule.concurrency = concurrency;
            rule.weight = weight;
        }
        for rule in plan.versions.values_mut() {
            rule.input_cost = cost;
            rule.output_cost = cost / 3;
            rule.prior_quality = quality;
        }
        for rule in plan.rollouts.values_mut() {
            rule.steps[0].share = f64::from(share) / 100.0 * 0.4;
        }
        let texts = write_sheets(&plan).into_iter().map(|(n, t)| (n.to_owned(), t)).collect();

        let read = read_source(&mut SheetSource::Texts(texts));

        prop_assert_eq!(read.findings, Vec::new());
        for (id, rule) in &plan.rollouts {
            // Conversion to percent and back may differ by rounding.
            let share = read.declaration.rollouts[id].steps[0].share;
            prop_assert!((share - rule.steps[0].share).abs() < 1e-12);
        }
        let mut expected = plan;
        expected.rollouts.clone_from(&read.declaration.rollouts);
        prop_assert_eq!(read.declaration, expected);
    }
}
