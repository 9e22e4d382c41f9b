//! `chestnutloft-capacity`: measures bytes, CPU time and memory per item and prints them as CSV.

use std::hint::black_box;
use std::process::ExitCode;
use std::time::Instant;

use chestnutloft_bench::capacity::{self, Measurement};

mod flags {
    xflags::xflags! {
        /// Measures bytes, CPU time and memory per item and prints them as CSV.
        cmd chestnutloft-capacity {
            /// Prints a Markdown table instead, as in docs/CAPACITY.md.
            optional --markdown
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::ChestnutloftCapacity::from_env_or_exit();
    let started_at = Instant::now();
    let measurements = black_box(capacity::measure_all());
    if flags.markdown {
        println!("| what | size | figure | unit |");
        println!("|---|---|---|---|");
        for measurement in &measurements {
            println!(
                "| {} | {} | {:.3} | {} |",
                measurement.what, measurement.size, measurement.figure, measurement.unit
            );
        }
    } else if let Err(error) = write_csv(&measurements) {
        eprintln!("chestnutloft-capacity: could not write the CSV: {error}");
        return ExitCode::FAILURE;
    }
    eprintln!("measured in {:.1} s", started_at.elapsed().as_secs_f64());
    ExitCode::SUCCESS
}

fn write_csv(measurements: &[Measurement]) -> Result<(), csv::Error> {
    let mut writer = csv::Writer::from_writer(std::io::stdout());
    for measurement in measurements {
        writer.serialize(measurement)?;
    }
    writer.flush()?;
    Ok(())
}
