//! `notchspool run`, `check` and `explain`: an agent with routes, and questions about its file.
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use notchspool_agent::Micros;
use notchspool_agent::process::routed_agent;
use notchspool_routes::route_rule::{Mismatch, RequestHead};
use notchspool_routes::route_table::{ConsideredRoute, RouteTable};
use notchspool_settings::agent_file::{Affinity, AgentConfig, Route, RoutePool};

use crate::{EXIT_INCOMPLETE, EXIT_REFUSED};

/// Arguments of `notchspool explain`.
#[derive(Args)]
pub struct ExplainArgs {
    file: PathBuf,
    #[arg(long, default_value = "GET")]
    method: String,
    #[arg(long, default_value = "/")]
    path: String,
    #[arg(long, default_value = "")]
    host: String,
    /// `NAME: VALUE`; may be given again.
    #[arg(long)]
    header: Vec<String>,
    /// The listener it comes to, by name; else the first.
    #[arg(long)]
    listen: Option<String>,
}

/// Runs an agent until its end.
pub fn run(file: PathBuf) -> ExitCode {
    routed_agent::run(file)
}

/// Checks an operator's file.
pub fn check(file: &Path) -> ExitCode {
    match routed_agent::load(file) {
        Ok(config) => {
            println!(
                "{}: sound: {} listeners, {} pools, {} schemes, {} routes",
                file.display(),
                config.listeners.len(),
                config.pools.len(),
                config.classes.len(),
                config.routes.len()
            );
            ExitCode::SUCCESS
        }
        Err(mistakes) => {
            eprintln!("{mistakes}");
            ExitCode::from(EXIT_REFUSED)
        }
    }
}

/// Says which route a request takes, and why not the earlier ones.
///
/// # Errors
///
/// A listener or header in the arguments that makes no sense.
pub fn explain(args: &ExplainArgs) -> Result<ExitCode, String> {
    let config = match routed_agent::load(&args.file) {
        Ok(config) => config,
        Err(mistakes) => {
            eprintln!("{mistakes}");
            return Ok(ExitCode::from(EXIT_REFUSED));
        }
    };
    let listener = listener(&config, args)?;
    let headers: Vec<(&str, &str)> =
        args.header.iter().map(|text| parse_header(text)).collect::<Result<_, _>>()?;
    let request =
        RequestHead { listener, host: &args.host, path: &args.path, method: &args.method, headers: &headers };
    let table = RouteTable::new(config.routes.iter().map(|route| route.rule.clone()).collect());
    for ConsideredRoute { route, mismatch } in table.explain(&request) {
        let route = &config.routes[route];
        let Some(mismatch) = mismatch else {
            println!("{}", describe_route(&config, route));
            return Ok(ExitCode::SUCCESS);
        };
        println!("not `{}`: {}", route.name, describe_mismatch(&mismatch));
    }
    println!("no route takes it: 404 NO_ROUTE");
    Ok(ExitCode::from(EXIT_INCOMPLETE))
}

/// Index of the listener that the request comes to.
fn listener(config: &AgentConfig, args: &ExplainArgs) -> Result<usize, String> {
    let Some(name) = &args.listen else { return Ok(0) };
    let index = config.listeners.iter().position(|listener| listener.name == *name);
    index.ok_or_else(|| format!("no listener `{name}` in {}", args.file.display()))
}

fn parse_header(text: &str) -> Result<(&str, &str), String> {
    let (name, value) = text.split_once(':').ok_or_else(|| format!("`{text}` is not `NAME: VALUE`"))?;
    Ok((name.trim(), value.trim()))
}

fn describe_mismatch(mismatch: &Mismatch) -> String {
    match mismatch {
        Mismatch::Listener => "another listener".into(),
        Mismatch::Host => "another host".into(),
        Mismatch::Path => "another path".into(),
        Mismatch::Method => "another method".into(),
        Mismatch::Header(name) => format!("header `{name}` is not as it wants"),
    }
}

fn describe_route(config: &AgentConfig, route: &Route) -> String {
    let class = &config.classes[route.class];
    let ms = |time: Micros| time.0 as f64 / 1000.0;
    let pool = |of: &RoutePool| {
        let pool = &config.pools[of.pool];
        let backup = pool.backup.map(|b| format!(", backup `{}`", config.pools[b].name)).unwrap_or_default();
        format!("  pool `{}`, share {}{backup}", pool.name, of.weight)
    };
    let pools: Vec<String> = route.pools.iter().map(pool).collect();
    let affinity = match &route.affinity {
        Affinity::None => String::new(),
        Affinity::Header(name) => format!("\n  kept together by header `{name}`"),
        Affinity::Path => "\n  kept together by path".into(),
        Affinity::Client => "\n  kept together by the client's address".into(),
    };
    format!(
        "route `{}`\n  scheme `{}`, {:?}: SLA time {} ms, expiry {} ms at most\n{}{affinity}\n  at most {} postings a txn over all pools",
        route.name,
        class.name,
        class.class.kind,
        ms(class.class.latency_target),
        ms(route.max_deadline),
        pools.join("\n"),
        route.attempt_multiple
    )
}
