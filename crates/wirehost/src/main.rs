//! The decision module behind the simulator's wire: reads batches of events on standard input, turns each event into a call on the balancer that it
//! names, and writes what the balancers do. It decides nothing, and its instances share nothing.
#![warn(missing_docs)]

mod actions;
mod host;

use std::io::{self, BufRead, Write};

/// Exit code after a batch that can't be read.
const EXIT_UNREADABLE: i32 = 2;

fn main() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut host = host::Host::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return Ok(());
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match host.play_batch(&line) {
            Ok(reply) => {
                output.write_all(reply.as_bytes())?;
                output.write_all(b"\n")?;
                output.flush()?;
            }
            Err(error) => {
                eprintln!("cannot read this batch: {error}");
                std::process::exit(EXIT_UNREADABLE);
            }
        }
    }
}
