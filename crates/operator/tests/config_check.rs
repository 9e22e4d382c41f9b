//! Tests of `chestnutloft config check`, run as operators run it.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use expect_test::{expect, expect_file};

fn plans() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/plans")
}

/// Runs the check in the folder of the example plans. Returns what it prints and its exit status.
fn check(arguments: &[&str]) -> (String, i32) {
    let output = Command::new(env!("CARGO_BIN_EXE_chestnutloft"))
        .current_dir(plans())
        .args(["config", "check"])
        .args(arguments)
        .output()
        .expect("the program starts");
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    (text, output.status.code().expect("an exit status"))
}

/// Copies the good plan to a folder in which `change` edits one sheet.
fn check_edited(sheet: &str, change: impl FnOnce(String) -> String) -> (String, i32) {
    let folder = tempfile::tempdir().expect("a folder");
    for file in fs::read_dir(plans().join("good")).expect("the good plan") {
        let file = file.expect("a file");
        fs::copy(file.path(), folder.path().join(file.file_name())).expect("copied");
    }
    let path = folder.path().join(sheet);
    let text = fs::read_to_string(&path).expect("the sheet");
    fs::write(&path, change(text)).expect("written");
    let name = folder.path().display().to_string();
    let (text, status) = check(&[&name]);
    (text.replace(&name, "FOLDER"), status)
}

/// Guards against findings without their place, a wrong exit status, and a page for operators that
/// shows other output than the program.
#[test]
fn prints_the_findings_that_the_operators_page_shows() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operations");
    let page = fs::read_to_string(page.join("configuration-check.md")).expect("the page");

    for (plan, expected_status) in [("good", 0), ("doubtful", 1), ("broken", 2)] {
        let (text, status) = check(&[plan]);

        expect_file![plans().join(format!("{plan}.txt"))].assert_eq(&text);
        assert_eq!(status, expected_status, "{text}");
        assert!(page.contains(&text), "the page lacks the output for {plan}");
    }
}

/// Guards against differences that are left out of the output.
#[test]
fn shows_the_differences_from_other_sheets() {
    let (text, status) = check(&["good", "--against", "doubtful"]);

    expect![[r"
        change: Workspace guests is removed.
        change: Workspace schools is removed.
        change: Version brook@1 is removed.
        change: Version summit@1 is removed.
        change: Service assistant changes.
        change: Service labels is removed.
        change: Service orders changes.
        change: Target riders/diagnosis: quality goes from 0.9 to 0.9, first token from 30000 ms to 900 ms.
        change: The outage of sapporo is called off.
        good: no findings.
    "]]
    .assert_eq(&text);
    assert_eq!(status, 0);
}

/// Guards against rows of unreadable sheets that show as removed, or a status that lets a script go
/// on.
#[test]
fn sheets_with_errors_are_not_compared_with() {
    let (text, status) = check(&["good", "--against", "broken"]);

    assert!(
        text.starts_with("error: broken: cannot be compared with: "),
        "{text}"
    );
    assert_eq!(status, 2);
}

/// Guards against a workspace that needs no key any more because its row was cut off.
#[test]
fn a_cut_sheet_is_reported_with_its_row() {
    let cut = |length| {
        move |mut text: String| {
            text.truncate(text.len() - length);
            text
        }
    };
    let (without_keys, doubtful) = check_edited("workspaces.csv", cut(",\n".len()));
    let (without_weight, broken) = check_edited("workspaces.csv", cut(",3,\n".len()));

    expect![[r"
        warning: workspaces row 3: the row has 5 of 6 cells; write all cells, or fetch the file again if it was cut off
        FOLDER: 0 errors, 1 warning.
    "]]
    .assert_eq(&without_keys);
    assert!(
        without_weight.contains("error: workspaces row 3 column weight: the cell is empty"),
        "{without_weight}"
    );
    assert_eq!((doubtful, broken), (1, 2));
}

/// Guards against an operator's machine that runs out of memory, and against errors that don't say
/// what is wrong with the file.
#[test]
fn huge_missing_and_malformed_files_are_errors() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name);
    let huge = fs::File::create(path("huge.xlsx")).expect("a file");
    huge.set_len(64 * 1024 * 1024 + 1).expect("a sparse file");
    fs::write(path("cut.xlsx"), b"PK\x03\x04").expect("written");

    for (name, problem) in [
        ("huge.xlsx", "the file has 67108865 bytes; at most 64 MiB"),
        ("cut.xlsx", "Zip error"),
        ("missing.xlsx", "No such file"),
    ] {
        let (text, status) = check(&[&path(name).display().to_string()]);

        assert!(text.contains(problem), "{name}: {text}");
        assert_eq!(status, 2, "{name}");
    }
    let (text, status) = check_edited("domains.csv", |_| "\u{0}\u{1}".to_owned());
    assert!(
        text.contains("error: domains row 1 column region"),
        "{text}"
    );
    assert_eq!(status, 2);
}

/// Guards against JSON that lacks the place or the counts, and against mistyped arguments that end
/// with the status of warnings.
#[test]
fn json_holds_places_and_wrong_arguments_end_with_2() {
    let (text, status) = check(&["doubtful", "--output", "json"]);
    let report: serde_json::Value = serde_json::from_str(&text).expect("JSON");

    assert_eq!(status, 1);
    assert_eq!(report["warnings"], 8);
    assert_eq!(report["findings"][0]["severity"], "warning");
    let place = serde_json::json!({"sheet": "methods", "row": 3, "column": ""});
    assert_eq!(report["findings"][0]["place"], place);
    assert_eq!(check(&["good", "--output", "yaml"]).1, 2);
    assert_eq!(check(&["good", "--agianst", "good"]).1, 2);
}
