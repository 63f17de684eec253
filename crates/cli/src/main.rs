//! notchspool: the command line. No logic of its own.
mod lab;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(name = "notchspool", version, about = "Client-side load balancing, and a lab to try it in")]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Fleets on sockets, load, faults, an auditor and reports.
    #[command(subcommand)]
    Lab(lab::Lab),
}

fn main() -> ExitCode {
    let line = Line::parse();
    let ended = match line.what {
        What::Lab(lab) => lab::run(lab),
    };
    match ended {
        Ok(code) => code,
        Err(why) => {
            eprintln!("notchspool: {why}");
            ExitCode::from(2)
        }
    }
}
