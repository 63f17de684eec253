//! `notchspool run`, `check` and `explain`: an agent with routes, and questions about its file.
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use notchspool_agent::life::open;
use notchspool_routes::table::{Asked, Miss, Table};
use notchspool_settings::file::{House, Route, Sticky};

#[derive(Args)]
pub struct Explain {
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

pub fn run(file: PathBuf) -> Result<ExitCode, String> {
    Ok(open::open(file))
}

pub fn check(file: &Path) -> Result<ExitCode, String> {
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
            Ok(ExitCode::SUCCESS)
        }
        Err(wrong) => {
            eprintln!("{wrong}");
            Ok(ExitCode::from(2))
        }
    }
}

pub fn explain(asked: &Explain) -> Result<ExitCode, String> {
    let house = match open::told(&asked.file) {
        Ok(house) => house,
        Err(wrong) => {
            eprintln!("{wrong}");
            return Ok(ExitCode::from(2));
        }
    };
    let listen = match &asked.listen {
        None => 0,
        Some(name) => house
            .doors
            .iter()
            .position(|d| d.name == *name)
            .ok_or_else(|| format!("no listener `{name}` in {}", asked.file.display()))?,
    };
    let split = |h: &String| -> Result<(String, String), String> {
        let (name, value) = h.split_once(':').ok_or_else(|| format!("`{h}` is not `NAME: VALUE`"))?;
        Ok((name.trim().to_owned(), value.trim().to_owned()))
    };
    let headers: Vec<(String, String)> = asked.header.iter().map(split).collect::<Result<_, _>>()?;
    let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    let question =
        Asked { listen, host: &asked.host, path: &asked.path, method: &asked.method, headers: &headers };
    let table = Table::new(house.routes.iter().map(|r| r.rule.clone()).collect());
    for (nth, miss) in table.explain(&question) {
        let route = &house.routes[nth];
        match miss {
            Some(miss) => println!("not `{}`: {}", route.name, words(&miss)),
            None => {
                println!("{}", taken(&house, route));
                return Ok(ExitCode::SUCCESS);
            }
        }
    }
    println!("no route takes it: 404 NO_ROUTE");
    Ok(ExitCode::from(1))
}

fn words(miss: &Miss) -> String {
    match miss {
        Miss::Listener => "another listener".into(),
        Miss::Host => "another host".into(),
        Miss::Path => "another path".into(),
        Miss::Method => "another method".into(),
        Miss::Header(name) => format!("header `{name}` is not as it wants"),
    }
}

fn taken(house: &House, route: &Route) -> String {
    let scheme = &house.schemes[route.scheme];
    let ms = |at: notchspool_agent::Micros| at.0 as f64 / 1000.0;
    let pool = |(at, share): &(usize, f64)| {
        let pool = &house.pools[*at];
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
