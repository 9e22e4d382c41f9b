//! Reads the rows of a sheet from a CSV file or a workbook.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufReader, Read};
use std::path::{Path, PathBuf};

use calamine::{Data, Reader, Sheets, open_workbook_auto};

use chestnutloft_core::plan::{PlanFinding, SheetPlace};

/// Maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;
const UTF8_BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// A row: its row number in the worksheet or line number in the CSV file, from 1, and its cells.
pub type SheetRow = (u32, Vec<String>);

/// Source of the sheets.
pub enum SheetSource {
    /// Folder with one CSV file per sheet.
    Folder(PathBuf),
    /// CSV text by sheet name.
    Texts(BTreeMap<String, String>),
    /// Workbook with one worksheet per sheet.
    Workbook(Box<Sheets<BufReader<File>>>),
}

fn sheet_finding(sheet: &str, problem: impl Into<String>, remedy: &str) -> PlanFinding {
    PlanFinding::new(SheetPlace::new(sheet, 0, ""), problem, remedy)
}

impl SheetSource {
    /// Opens a folder or a workbook.
    ///
    /// # Errors
    /// A finding when `path` is neither, cannot be read, or is larger than [`MAX_FILE_BYTES`].
    pub fn open(path: &Path) -> Result<Self, PlanFinding> {
        let name = path.display().to_string();
        if path.is_dir() {
            return Ok(Self::Folder(path.to_owned()));
        }
        let size = std::fs::metadata(path)
            .map_err(|error| sheet_finding(&name, error.to_string(), "name an existing file"))?
            .len();
        if size > MAX_FILE_BYTES {
            let problem = format!("the file has {size} bytes");
            return Err(sheet_finding(&name, problem, "at most 64 MiB are read"));
        }
        open_workbook_auto(path)
            .map(|workbook| Self::Workbook(Box::new(workbook)))
            .map_err(|error| {
                let remedy = "give a folder of CSV files or a workbook";
                sheet_finding(&name, error.to_string(), remedy)
            })
    }

    /// Names of the sheets in the source.
    pub fn names(&self) -> Vec<String> {
        match self {
            Self::Workbook(workbook) => workbook.sheet_names().clone(),
            Self::Texts(texts) => texts.keys().cloned().collect(),
            Self::Folder(folder) => {
                let Ok(dir_entries) = std::fs::read_dir(folder) else {
                    return Vec::new();
                };
                let mut names: Vec<String> = dir_entries
                    .filter_map(|dir_entry| dir_entry.ok()?.file_name().into_string().ok())
                    .filter_map(|name| name.strip_suffix(".csv").map(str::to_owned))
                    .collect();
                names.sort();
                names
            }
        }
    }

    /// Passes each row of `sheet` to `visit`, the header first. Returns findings about the file
    /// itself.
    pub fn for_each_row(
        &mut self,
        sheet: &str,
        visit: &mut dyn FnMut(u32, &[String]),
    ) -> Vec<PlanFinding> {
        match self {
            Self::Folder(folder) => {
                let path = folder.join(format!("{sheet}.csv"));
                match open_checked(&path, sheet) {
                    Ok(file) => for_each_csv_row(file, sheet, visit),
                    Err(finding) => vec![finding],
                }
            }
            Self::Texts(texts) => match texts.get(sheet) {
                Some(text) => for_each_csv_row(text.as_bytes(), sheet, visit),
                None => Vec::new(),
            },
            Self::Workbook(workbook) => match workbook.worksheet_range(sheet) {
                Ok(range) => {
                    for_each_cell_row(&range, visit);
                    Vec::new()
                }
                Err(error) => vec![sheet_finding(
                    sheet,
                    error.to_string(),
                    "save the workbook again",
                )],
            },
        }
    }
}

fn for_each_cell_row(range: &calamine::Range<Data>, visit: &mut dyn FnMut(u32, &[String])) {
    let first = range.start().map_or(0, |(row, _)| row);
    for (number, cells) in (first + 1..).zip(range.rows()) {
        let cells: Vec<String> = cells.iter().map(cell_text).collect();
        if cells.iter().any(|cell| !cell.is_empty()) {
            visit(number, &cells);
        }
    }
}

fn cell_text(cell: &Data) -> String {
    match cell {
        Data::DateTime(time) => time.as_datetime_text(),
        other => other.to_string().trim().to_owned(),
    }
}

/// Formats dates as they are written in CSV sheets.
trait DateText {
    fn as_datetime_text(&self) -> String;
}

impl DateText for calamine::ExcelDateTime {
    fn as_datetime_text(&self) -> String {
        let (year, month, day, hour, minute, _, _) = self.to_ymd_hms_milli();
        format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}")
    }
}

/// Reads a CSV file row by row, so that a large file needs little memory.
fn for_each_csv_row(
    file: impl Read,
    sheet: &str,
    visit: &mut dyn FnMut(u32, &[String]),
) -> Vec<PlanFinding> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .from_reader(file);
    let mut findings = Vec::new();
    let mut record = csv::ByteRecord::new();
    loop {
        match reader.read_byte_record(&mut record) {
            Ok(false) => return findings,
            Ok(true) => {}
            Err(error) => {
                findings.push(sheet_finding(sheet, error.to_string(), "write plain CSV"));
                return findings;
            }
        }
        let line = record.position().map_or(0, csv::Position::line);
        let number = u32::try_from(line).unwrap_or(u32::MAX);
        match text_cells(&record) {
            Some(cells) if cells.iter().all(String::is_empty) => {}
            Some(cells) => visit(number, &cells),
            None => {
                findings.push(PlanFinding::new(
                    SheetPlace::new(sheet, number, ""),
                    "the row is not UTF-8",
                    "save the file as UTF-8",
                ));
                // A wrong encoding affects every row, so report it only once.
                return findings;
            }
        }
    }
}

fn text_cells(record: &csv::ByteRecord) -> Option<Vec<String>> {
    record
        .iter()
        .map(|cell| {
            std::str::from_utf8(cell)
                .ok()
                .map(|text| text.trim().to_owned())
        })
        .collect()
}

fn open_checked(path: &Path, sheet: &str) -> Result<impl Read, PlanFinding> {
    let unreadable =
        |error: std::io::Error| sheet_finding(sheet, error.to_string(), "make the file readable");
    let mut file = File::open(path).map_err(unreadable)?;
    let size = file.metadata().map_err(unreadable)?.len();
    if size > MAX_FILE_BYTES {
        let problem = format!("the file has {size} bytes");
        return Err(sheet_finding(sheet, problem, "at most 64 MiB are read"));
    }
    let mut first_bytes = Vec::new();
    file.by_ref()
        .take(UTF8_BYTE_ORDER_MARK.len() as u64)
        .read_to_end(&mut first_bytes)
        .map_err(unreadable)?;
    if first_bytes == UTF8_BYTE_ORDER_MARK {
        first_bytes.clear();
    }
    if first_bytes.starts_with(&[0xff, 0xfe]) || first_bytes.starts_with(&[0xfe, 0xff]) {
        return Err(sheet_finding(
            sheet,
            "the file is UTF-16",
            "save it as UTF-8",
        ));
    }
    Ok(std::io::Cursor::new(first_bytes).chain(BufReader::new(file)))
}
