//! `notchspool lab report`: one page of the runs that were kept.
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use notchspool_lab::plain::policy::Policy;
use notchspool_lab::report::{Sheet, page};

#[derive(Args)]
/// Arguments of `lab report`.
pub struct ReportArgs {
    /// Sheets, or folders that hold some.
    #[arg(default_value = "found/lab")]
    from: Vec<PathBuf>,
    /// The page; its plots go beside it.
    #[arg(long, default_value = "found/lab/report.md")]
    out: PathBuf,
}

/// Writes the page and its plots.
pub fn run(args: &ReportArgs) -> Result<ExitCode, String> {
    let mut files = Vec::new();
    for from in &args.from {
        find_sheets(from, &mut files)?;
    }
    let read = |file: &PathBuf| -> Result<Sheet, String> {
        let text = std::fs::read(file).map_err(|error| format!("{}: {error}", file.display()))?;
        serde_json::from_slice(&text).map_err(|error| format!("{}: no sheet: {error}", file.display()))
    };
    let mut sheets: Vec<Sheet> = files.iter().map(read).collect::<Result<_, _>>()?;
    if sheets.is_empty() {
        return Err("no sheets there; `notchspool lab run` leaves them".into());
    }
    sheets.sort_by_key(|sheet| {
        let is_baseline = Policy::named(&sheet.arm).is_some();
        (sheet.experiment.clone(), is_baseline, sheet.arm != "notchspool", sheet.arm.clone(), sheet.seed)
    });
    let page = page::page(&sheets)?;
    let folder = args.out.parent().unwrap_or(Path::new("."));
    let write = |path: &Path, text: &str| {
        std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
    };
    write(&args.out, &page.text)?;
    for (name, plot) in &page.plots {
        write(&folder.join(name), plot)?;
    }
    println!("{}: {} runs, {} plots beside it", args.out.display(), sheets.len(), page.plots.len());
    Ok(ExitCode::SUCCESS)
}

/// Adds the sheets at or below a path.
fn find_sheets(from: &Path, found: &mut Vec<PathBuf>) -> Result<(), String> {
    let failed = |error: std::io::Error| format!("{}: {error}", from.display());
    if from.is_dir() {
        let mut inside: Vec<PathBuf> = Vec::new();
        for entry in std::fs::read_dir(from).map_err(failed)? {
            inside.push(entry.map_err(failed)?.path());
        }
        inside.sort();
        for path in inside {
            if path.is_dir() || path.file_name().is_some_and(|name| name == "sheet.json") {
                find_sheets(&path, found)?;
            }
        }
        return Ok(());
    }
    found.push(from.to_owned());
    Ok(())
}
