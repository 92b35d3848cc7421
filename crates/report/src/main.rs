//! Reports what crosses between buildings.

mod chart;
mod gather;
mod table;

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::{Parser, ValueEnum};

/// Reads the accounts of any number of controllers, stored or live, merges them, and prints what crossed by room type
/// and pair of buildings. Reading one twice, or an old copy beside a newer one, changes nothing.
#[derive(Parser)]
#[command(name = "badgerledge-report", version)]
struct Command {
    /// Where accounts are: a controller's state folder, or the address of its metrics
    #[arg(required = true)]
    sources: Vec<String>,
    /// How they are printed
    #[arg(long, value_enum, default_value_t = Form::Table)]
    form: Form,
    /// What is printed
    #[arg(long, value_enum, default_value_t = By::RoomType)]
    by: By,
    /// Also what did not cross
    #[arg(long)]
    all: bool,
    /// Draws what crossed over time, by room type, into this SVG file
    #[arg(long, value_name = "FILE")]
    chart: Option<PathBuf>,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Form {
    Table,
    /// A JSON object a line
    Json,
    Csv,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum By {
    /// Sums by pair of buildings and room type
    RoomType,
    /// The same for each window of ten seconds
    Window,
    /// The titles that most crossed for
    Title,
}

fn main() -> ExitCode {
    match carry_out(&Command::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        // Some sources could not be read: what was printed is not all.
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("badgerledge-report: {fault:#}");
            ExitCode::from(2)
        }
    }
}

fn carry_out(command: &Command) -> Result<bool> {
    let (accounts, whole) = gather::gather(&command.sources)?;
    let rows = match command.by {
        By::RoomType => table::by_room_type(&accounts, command.all),
        By::Window => table::by_window(&accounts, command.all),
        By::Title => table::by_title(&accounts),
    };
    match command.form {
        Form::Table => print!("{}", rows.table()),
        Form::Json => print!("{}", rows.json_lines()),
        Form::Csv => print!("{}", rows.csv()),
    }
    if let Some(path) = &command.chart {
        chart::draw(&accounts, path)?;
    }
    Ok(whole)
}
