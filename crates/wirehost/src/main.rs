//! Reads the simulator's wire on standard input, turns each event into a call on the balancer it names, and
//! writes what the balancers do. It decides nothing, and its instances share nothing.
mod actions;
mod host;

use std::io::{self, BufRead, Write};

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
        match host.batch(&line) {
            Ok(reply) => {
                output.write_all(reply.as_bytes())?;
                output.write_all(b"\n")?;
                output.flush()?;
            }
            Err(why) => {
                eprintln!("cannot read this batch: {why}");
                std::process::exit(2);
            }
        }
    }
}
