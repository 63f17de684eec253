//! `notchspool run`, `check` and `explain`: an agent with routes, and questions about its file.
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use notchspool_agent::Micros;
use notchspool_agent::life::open;
use notchspool_routes::table::{Asked, Miss, Table};
use notchspool_settings::file::{House, Route, Sticky};

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
    open::open(file)
}

/// Checks an operator's file.
pub fn check(file: &Path) -> ExitCode {
    match open::told(file) {
        Ok(house) => {
            println!(
                "{}: sound: {} listeners, {} pools, {} schemes, {} routes",
                file.display(),
                house.doors.len(),
                house.pools.len(),
                house.schemes.len(),
                house.routes.len()
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
    let house = match open::told(&args.file) {
        Ok(house) => house,
        Err(mistakes) => {
            eprintln!("{mistakes}");
            return Ok(ExitCode::from(EXIT_REFUSED));
        }
    };
    let listen = listener(&house, args)?;
    let headers: Vec<(&str, &str)> =
        args.header.iter().map(|text| parse_header(text)).collect::<Result<_, _>>()?;
    let request =
        Asked { listen, host: &args.host, path: &args.path, method: &args.method, headers: &headers };
    let table = Table::new(house.routes.iter().map(|route| route.rule.clone()).collect());
    for (nth, miss) in table.explain(&request) {
        let route = &house.routes[nth];
        let Some(miss) = miss else {
            println!("{}", describe_route(&house, route));
            return Ok(ExitCode::SUCCESS);
        };
        println!("not `{}`: {}", route.name, describe_miss(&miss));
    }
    println!("no route takes it: 404 NO_ROUTE");
    Ok(ExitCode::from(EXIT_INCOMPLETE))
}

/// Index of the listener that the request comes to.
fn listener(house: &House, args: &ExplainArgs) -> Result<usize, String> {
    let Some(name) = &args.listen else { return Ok(0) };
    let index = house.doors.iter().position(|listener| listener.name == *name);
    index.ok_or_else(|| format!("no listener `{name}` in {}", args.file.display()))
}

fn parse_header(text: &str) -> Result<(&str, &str), String> {
    let (name, value) = text.split_once(':').ok_or_else(|| format!("`{text}` is not `NAME: VALUE`"))?;
    Ok((name.trim(), value.trim()))
}

fn describe_miss(miss: &Miss) -> String {
    match miss {
        Miss::Listener => "another listener".into(),
        Miss::Host => "another host".into(),
        Miss::Path => "another path".into(),
        Miss::Method => "another method".into(),
        Miss::Header(name) => format!("header `{name}` is not as it wants"),
    }
}

fn describe_route(house: &House, route: &Route) -> String {
    let scheme = &house.schemes[route.scheme];
    let ms = |time: Micros| time.0 as f64 / 1000.0;
    let pool = |(index, share): &(usize, f64)| {
        let pool = &house.pools[*index];
        let backup = pool.backup.map(|b| format!(", backup `{}`", house.pools[b].name)).unwrap_or_default();
        format!("  pool `{}`, share {share}{backup}", pool.name)
    };
    let pools: Vec<String> = route.pools.iter().map(pool).collect();
    let sticky = match &route.sticky {
        Sticky::Nothing => String::new(),
        Sticky::Header(name) => format!("\n  kept together by header `{name}`"),
        Sticky::Path => "\n  kept together by path".into(),
        Sticky::Client => "\n  kept together by the client's address".into(),
    };
    format!(
        "route `{}`\n  scheme `{}`, {:?}: SLA time {} ms, expiry {} ms at most\n{}{sticky}\n  at most {} postings a txn over all pools",
        route.name,
        scheme.name,
        scheme.scheme.kind,
        ms(scheme.scheme.latency_target),
        ms(route.expiry),
        pools.join("\n"),
        route.multiple
    )
}
