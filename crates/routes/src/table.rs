//! The table of routes, compiled once. The first route of the file that matches is taken, as a reader of the file
//! expects; the table only skips those that can't match.
//!
//! Held always, and tried against a plain linear search by `tests/table.rs`: the route found is the first that
//! matches; `explain` agrees with it; a route said to be covered is never found.
use std::collections::BTreeMap;

/// What a route asks of a request. What is not stated matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// Numbers of the listeners it serves; none: all.
    pub listen: Vec<usize>,
    pub host: Host,
    pub path: Path,
    pub methods: Vec<String>,
    /// Names in small letters, and the value each must have.
    pub headers: Vec<(String, String)>,
}

/// Hosts are compared in small letters and without their port.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Host {
    #[default]
    Any,
    Exact(String),
    /// `*.example`: all below, not `example` itself.
    Below(String),
}

/// Paths are compared byte by byte, as they came, without the query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Path {
    #[default]
    Any,
    Exact(String),
    /// All that begins with these segments: `/pay` takes `/pay` and `/pay/x`, not `/payday`.
    Below(String),
    /// As many segments as here; those in braces take any that is not empty.
    Segments(Vec<Segment>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    Is(String),
    Any,
}

/// What of a request routes are chosen by.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    pub listen: usize,
    pub host: &'a str,
    pub path: &'a str,
    pub method: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
}

/// Why a route was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Miss {
    Listener,
    Host,
    Path,
    Method,
    Header(String),
}

/// A path of more segments matches no segment route; who sends one is not asking for a route.
pub const SEGMENTS: usize = 128;

pub fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.strip_prefix('/').unwrap_or(path).split('/')
}
fn host_of(host: &str) -> String {
    let bare = match host.rsplit_once(':') {
        Some((bare, port)) if port.bytes().all(|b| b.is_ascii_digit()) && !bare.ends_with(':') => bare,
        _ => host,
    };
    bare.trim_end_matches('.').to_ascii_lowercase()
}

impl Host {
    fn takes(&self, host: &str) -> bool {
        match self {
            Host::Any => true,
            Host::Exact(own) => own == host,
            Host::Below(own) => {
                host.strip_suffix(own.as_str()).is_some_and(|rest| rest.ends_with('.') && rest.len() > 1)
            }
        }
    }
    fn covers(&self, other: &Host) -> bool {
        match (self, other) {
            (Host::Any, _) => true,
            (Host::Below(a), Host::Below(b)) => a == b || Host::Below(a.clone()).takes(b),
            (own, Host::Exact(host)) => own.takes(host),
            _ => false,
        }
    }
}

impl Path {
    fn takes(&self, path: &str) -> bool {
        match self {
            Path::Any => true,
            Path::Exact(own) => own == path,
            Path::Below(own) => {
                let own = own.trim_end_matches('/');
                path.strip_prefix(own).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            }
            Path::Segments(own) => {
                let mut have = segments(path);
                let fits = own.iter().all(|want| match (want, have.next()) {
                    (Segment::Is(want), Some(have)) => want == have,
                    (Segment::Any, Some(have)) => !have.is_empty(),
                    (_, None) => false,
                });
                fits && have.next().is_none()
            }
        }
    }
    fn covers(&self, other: &Path) -> bool {
        match (self, other) {
            (Path::Any, _) => true,
            (own, Path::Exact(path)) => own.takes(path),
            (Path::Below(_), Path::Below(path)) => self.takes(path.trim_end_matches('/')) || self.takes(path),
            (Path::Below(own), Path::Segments(other)) => {
                let own = own.trim_end_matches('/');
                own.is_empty()
                    || (segments(own).count() <= other.len()
                        && segments(own).zip(other).all(|(want, have)| *have == Segment::Is(want.to_owned())))
            }
            (Path::Segments(own), Path::Segments(other)) => {
                let fits = |(a, b): (&Segment, &Segment)| match (a, b) {
                    (Segment::Any, Segment::Is(b)) => !b.is_empty(),
                    (a, b) => a == b,
                };
                own.len() == other.len() && own.iter().zip(other).all(fits)
            }
            _ => false,
        }
    }
}

impl Rule {
    /// Why it does not match; none where it does.
    pub fn miss(&self, asked: &Asked) -> Option<Miss> {
        let host = host_of(asked.host);
        if !self.listen.is_empty() && !self.listen.contains(&asked.listen) {
            return Some(Miss::Listener);
        }
        if !self.host.takes(&host) {
            return Some(Miss::Host);
        }
        if !self.path.takes(bare(asked.path)) {
            return Some(Miss::Path);
        }
        self.rest(asked)
    }
    /// The part that the table does not sort by.
    fn rest(&self, asked: &Asked) -> Option<Miss> {
        if !self.listen.is_empty() && !self.listen.contains(&asked.listen) {
            return Some(Miss::Listener);
        }
        if !self.methods.is_empty() && !self.methods.iter().any(|m| m == asked.method) {
            return Some(Miss::Method);
        }
        let has = |(name, value): &&(String, String)| {
            asked.headers.iter().any(|(n, v)| n.eq_ignore_ascii_case(name) && v == value)
        };
        self.headers.iter().find(|h| !has(h)).map(|h| Miss::Header(h.0.clone()))
    }
    /// Whether all that `other` matches is matched by this one too.
    pub fn covers(&self, other: &Rule) -> bool {
        let within = |own: &[usize], theirs: &[usize]| {
            own.is_empty() || (!theirs.is_empty() && theirs.iter().all(|n| own.contains(n)))
        };
        let methods = self.methods.is_empty()
            || (!other.methods.is_empty() && other.methods.iter().all(|m| self.methods.contains(m)));
        within(&self.listen, &other.listen)
            && methods
            && self.headers.iter().all(|h| other.headers.contains(h))
            && self.host.covers(&other.host)
            && self.path.covers(&other.path)
    }
}

fn bare(path: &str) -> &str {
    path.split(['?', '#']).next().unwrap_or("")
}

/// Paths of one host as a tree of segments.
#[derive(Clone, Debug, Default)]
struct Tree {
    here: BTreeMap<String, Tree>,
    any: Option<Box<Tree>>,
    /// Routes that end here, and those that take all from here on; each in the file's order.
    ends: Vec<usize>,
    below: Vec<usize>,
}

impl Tree {
    fn put(&mut self, nth: usize, path: &Path) {
        match path {
            Path::Any => self.below.push(nth),
            Path::Exact(path) => self.walk(segments(path)).ends.push(nth),
            Path::Below(path) => {
                let path = path.trim_end_matches('/');
                match path.is_empty() {
                    true => self.below.push(nth),
                    false => self.walk(segments(path)).below.push(nth),
                }
            }
            Path::Segments(own) => {
                let mut at = self;
                for segment in own {
                    at = match segment {
                        Segment::Is(segment) => at.here.entry(segment.clone()).or_default(),
                        Segment::Any => at.any.get_or_insert_default(),
                    };
                }
                at.ends.push(nth);
            }
        }
    }
    fn walk<'a>(&mut self, path: impl Iterator<Item = &'a str>) -> &mut Tree {
        let mut at = self;
        for segment in path {
            at = at.here.entry(segment.to_owned()).or_default();
        }
        at
    }
    /// All that could cover a route of this path, and more. None for a segment: any.
    fn over(&self, left: &[Option<&str>], found: &mut Vec<usize>) {
        found.extend(&self.below);
        let Some((first, rest)) = left.split_first() else {
            return found.extend(&self.ends);
        };
        let next = first.and_then(|first| self.here.get(first));
        next.into_iter().chain(self.any.as_deref()).for_each(|tree| tree.over(rest, found));
    }
    /// The first route under `best` that matches here or below.
    fn find(&self, left: &[&str], best: &mut usize, fits: &dyn Fn(usize) -> bool) {
        let mut look = |own: &[usize]| {
            if let Some(&nth) = own.iter().take_while(|nth| **nth < *best).find(|nth| fits(**nth)) {
                *best = nth;
            }
        };
        look(&self.below);
        let Some((first, rest)) = left.split_first() else {
            return look(&self.ends);
        };
        if let Some(next) = self.here.get(*first) {
            next.find(rest, best, fits);
        }
        if !first.is_empty()
            && let Some(next) = &self.any
        {
            next.find(rest, best, fits);
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    rules: Vec<Rule>,
    exact: BTreeMap<String, Tree>,
    below: BTreeMap<String, Tree>,
    any: Tree,
}

impl Table {
    pub fn new(rules: Vec<Rule>) -> Table {
        let mut table = Table { rules: Vec::new(), ..Table::default() };
        for (nth, rule) in rules.iter().enumerate() {
            let tree = match &rule.host {
                Host::Any => &mut table.any,
                Host::Exact(host) => table.exact.entry(host.clone()).or_default(),
                Host::Below(host) => table.below.entry(host.clone()).or_default(),
            };
            tree.put(nth, &rule.path);
        }
        table.rules = rules;
        table
    }

    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// The first route that matches.
    pub fn find(&self, asked: &Asked) -> Option<usize> {
        let host = host_of(asked.host);
        let left: Vec<&str> = segments(bare(asked.path)).take(SEGMENTS + 1).collect();
        let (mut best, none) = (self.rules.len(), self.rules.len());
        let fits = |nth: usize| self.rules[nth].rest(asked).is_none();
        let mut trees: Vec<&Tree> = vec![&self.any];
        trees.extend(self.exact.get(&host));
        let mut rest = host.as_str();
        while let Some((first, below)) = rest.split_once('.') {
            if !first.is_empty() || rest.len() < host.len() {
                trees.extend(self.below.get(below));
            }
            rest = below;
        }
        for tree in trees {
            if left.len() <= SEGMENTS {
                tree.find(&left, &mut best, &fits);
            } else if let Some(&nth) = tree.below.iter().find(|nth| **nth < best && fits(**nth)) {
                best = nth;
            }
        }
        (best < none).then_some(best)
    }

    /// Every route in order up to the one that is taken, and why each earlier one was not.
    pub fn explain(&self, asked: &Asked) -> Vec<(usize, Option<Miss>)> {
        let mut told = Vec::new();
        for (nth, rule) in self.rules.iter().enumerate() {
            let miss = rule.miss(asked);
            let taken = miss.is_none();
            told.push((nth, miss));
            if taken {
                break;
            }
        }
        told
    }

    /// Routes that can never be reached, each with the earlier one that takes all of it.
    pub fn covered(&self) -> Vec<(usize, usize)> {
        let by = |nth: usize| {
            let rule = &self.rules[nth];
            let left: Vec<Option<&str>> = match &rule.path {
                Path::Any => Vec::new(),
                Path::Exact(path) => segments(path).map(Some).collect(),
                Path::Below(path) if path.trim_end_matches('/').is_empty() => Vec::new(),
                Path::Below(path) => segments(path.trim_end_matches('/')).map(Some).collect(),
                Path::Segments(own) => {
                    own.iter().map(|s| if let Segment::Is(s) = s { Some(s.as_str()) } else { None }).collect()
                }
            };
            let mut found = Vec::new();
            let host = match &rule.host {
                Host::Any => "",
                Host::Exact(host) | Host::Below(host) => host,
            };
            // Patterns of hosts are few beside routes; which of them cover this one is for `covers` to say.
            let below = self.below.iter().filter(|(own, _)| host.ends_with(own.as_str())).map(|b| b.1);
            for tree in below.chain([&self.any]).chain(self.exact.get(host)) {
                tree.over(&left, &mut found);
            }
            found.sort_unstable();
            found.into_iter().take_while(|e| *e < nth).find(|&e| self.rules[e].covers(rule))
        };
        (0..self.rules.len()).filter_map(|nth| by(nth).map(|earlier| (nth, earlier))).collect()
    }
}
