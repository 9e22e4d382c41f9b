//! Rows of a sheet, from a CSV file or a workbook.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufReader, Read};
use std::path::{Path, PathBuf};

use calamine::{Data, Reader, Sheets, open_workbook_auto};

use chestnutloft_core::plan::{PlanFinding, SheetPlace};

/// Largest file, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// One row: its number as a spreadsheet counts, and its cells.
pub type SheetRow = (u32, Vec<String>);

/// Where the sheets are.
pub enum SheetSource {
    /// A folder with one CSV file for each sheet.
    Folder(PathBuf),
    /// CSV text for each sheet, by name.
    Texts(BTreeMap<String, String>),
    /// A workbook with one worksheet for each sheet.
    Workbook(Box<Sheets<BufReader<File>>>),
}

fn whole_sheet(sheet: &str, problem: impl Into<String>, remedy: &str) -> PlanFinding {
    PlanFinding::new(SheetPlace::new(sheet, 0, ""), problem, remedy)
}

impl SheetSource {
    /// Opens a folder or a workbook.
    ///
    /// # Errors
    /// A finding when `path` is neither.
    pub fn open(path: &Path) -> Result<Self, PlanFinding> {
        let name = path.display().to_string();
        if path.is_dir() {
            return Ok(Self::Folder(path.to_owned()));
        }
        let size = std::fs::metadata(path).map_or(0, |meta| meta.len());
        if size > MAX_FILE_BYTES {
            let problem = format!("the file has {size} bytes");
            return Err(whole_sheet(&name, problem, "at most 64 MiB are read"));
        }
        open_workbook_auto(path)
            .map(|book| Self::Workbook(Box::new(book)))
            .map_err(|error| {
                let remedy = "name a folder of CSV files or a workbook";
                whole_sheet(&name, error.to_string(), remedy)
            })
    }

    /// Names of the sheets that are there.
    pub fn names(&self) -> Vec<String> {
        match self {
            Self::Workbook(book) => book.sheet_names().clone(),
            Self::Texts(texts) => texts.keys().cloned().collect(),
            Self::Folder(folder) => {
                let Ok(items) = std::fs::read_dir(folder) else {
                    return Vec::new();
                };
                let mut names: Vec<String> = items
                    .filter_map(|item| item.ok()?.file_name().into_string().ok())
                    .filter_map(|name| name.strip_suffix(".csv").map(str::to_owned))
                    .collect();
                names.sort();
                names
            }
        }
    }

    /// Hands each row of `sheet` to `take`, the header first. Returns findings about the file.
    pub fn each_row(
        &mut self,
        sheet: &str,
        take: &mut dyn FnMut(u32, &[String]),
    ) -> Vec<PlanFinding> {
        match self {
            Self::Folder(folder) => {
                let path = folder.join(format!("{sheet}.csv"));
                match open_checked(&path, sheet) {
                    Ok(file) => each_csv_row(file, sheet, take),
                    Err(finding) => vec![finding],
                }
            }
            Self::Texts(texts) => match texts.get(sheet) {
                Some(text) => each_csv_row(text.as_bytes(), sheet, take),
                None => Vec::new(),
            },
            Self::Workbook(book) => match book.worksheet_range(sheet) {
                Ok(range) => {
                    each_cell_row(&range, take);
                    Vec::new()
                }
                Err(error) => vec![whole_sheet(
                    sheet,
                    error.to_string(),
                    "save the workbook anew",
                )],
            },
        }
    }
}

fn each_cell_row(range: &calamine::Range<Data>, take: &mut dyn FnMut(u32, &[String])) {
    let first = range.start().map_or(0, |(row, _)| row);
    for (number, cells) in (first + 1..).zip(range.rows()) {
        let cells: Vec<String> = cells.iter().map(cell_text).collect();
        if cells.iter().any(|cell| !cell.is_empty()) {
            take(number, &cells);
        }
    }
}

fn cell_text(cell: &Data) -> String {
    match cell {
        Data::DateTime(time) => time.as_datetime_text(),
        other => other.to_string().trim().to_owned(),
    }
}

/// Text of a date as the sheets write it.
trait DateText {
    fn as_datetime_text(&self) -> String;
}

impl DateText for calamine::ExcelDateTime {
    fn as_datetime_text(&self) -> String {
        let (year, month, day, hour, minute, _, _) = self.to_ymd_hms_milli();
        format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}")
    }
}

/// Reads a CSV file row by row, so that a large one takes little memory.
fn each_csv_row(
    file: impl Read,
    sheet: &str,
    take: &mut dyn FnMut(u32, &[String]),
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
                findings.push(whole_sheet(sheet, error.to_string(), "write plain CSV"));
                return findings;
            }
        }
        let line = record.position().map_or(0, csv::Position::line);
        let number = u32::try_from(line).unwrap_or(u32::MAX);
        match text_cells(&record) {
            Some(cells) if cells.iter().all(String::is_empty) => {}
            Some(cells) => take(number, &cells),
            None => {
                findings.push(PlanFinding::new(
                    SheetPlace::new(sheet, number, ""),
                    "the row is not UTF-8",
                    "save the file as UTF-8",
                ));
                // One wrong encoding shows in every row: saying it once is enough.
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
        |error: std::io::Error| whole_sheet(sheet, error.to_string(), "make the file readable");
    let mut file = File::open(path).map_err(unreadable)?;
    let size = file.metadata().map_err(unreadable)?.len();
    if size > MAX_FILE_BYTES {
        let problem = format!("the file has {size} bytes");
        return Err(whole_sheet(sheet, problem, "at most 64 MiB are read"));
    }
    let mut start = Vec::new();
    file.by_ref()
        .take(BYTE_ORDER_MARK.len() as u64)
        .read_to_end(&mut start)
        .map_err(unreadable)?;
    if start == BYTE_ORDER_MARK {
        start.clear();
    }
    if start.starts_with(&[0xff, 0xfe]) || start.starts_with(&[0xfe, 0xff]) {
        return Err(whole_sheet(sheet, "the file is UTF-16", "save it as UTF-8"));
    }
    Ok(std::io::Cursor::new(start).chain(BufReader::new(file)))
}
