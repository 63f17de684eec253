//! notchspool-agent: what the platform starts.
use std::process::ExitCode;

fn main() -> ExitCode {
    notchspool_agent::run_platform_agent()
}
