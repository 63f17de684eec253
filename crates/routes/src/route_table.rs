//! The table of routes, compiled once. The first route of the file that matches is taken, as a reader of the file expects; the table only skips
//! those that can't match.
//!
//! Invariants (`tests/route_table.rs`, against a linear search): the route found is the first that matches; `explain` agrees with it; a route said
//! to be unreachable is never found.
use std::collections::BTreeMap;

use crate::route_rule::{
    HostPattern, Mismatch, PathPattern, RequestHead, RouteRule, SegmentPattern, normalized_host, segments,
    without_query,
};

/// A path of more segments matches no route by its segments.
pub const MAX_SEGMENTS: usize = 128;

/// The paths of one host as a tree of segments.
#[derive(Clone, Debug, Default)]
struct PathTree {
    literal: BTreeMap<String, PathTree>,
    any: Option<Box<PathTree>>,
    /// Routes that end here, in the order of the file.
    exact: Vec<usize>,
    /// Routes that match all from here on, in the order of the file.
    prefix: Vec<usize>,
}

impl PathTree {
    fn insert(&mut self, route: usize, path: &PathPattern) {
        match path {
            PathPattern::Any => self.prefix.push(route),
            PathPattern::Exact(path) => self.descend(segments(path)).exact.push(route),
            PathPattern::Prefix(path) => match path.trim_end_matches('/') {
                "" => self.prefix.push(route),
                path => self.descend(segments(path)).prefix.push(route),
            },
            PathPattern::Segments(pattern) => self.descend_pattern(pattern).exact.push(route),
        }
    }

    fn descend<'a>(&mut self, path: impl Iterator<Item = &'a str>) -> &mut PathTree {
        let mut node = self;
        for segment in path {
            node = node.literal.entry(segment.to_owned()).or_default();
        }
        node
    }

    fn descend_pattern(&mut self, pattern: &[SegmentPattern]) -> &mut PathTree {
        let mut node = self;
        for segment in pattern {
            node = match segment {
                SegmentPattern::Literal(segment) => node.literal.entry(segment.clone()).or_default(),
                SegmentPattern::Any => node.any.get_or_insert_default(),
            };
        }
        node
    }

    /// All routes that could cover one of this path, and more. A segment of nothing stands for any.
    fn collect_covering(&self, path: &[Option<&str>], found: &mut Vec<usize>) {
        found.extend(&self.prefix);
        let Some((first, rest)) = path.split_first() else {
            found.extend(&self.exact);
            return;
        };
        let literal = first.and_then(|first| self.literal.get(first));
        for node in literal.into_iter().chain(self.any.as_deref()) {
            node.collect_covering(rest, found);
        }
    }

    /// Lowers `best` to the first route that matches here or below, if that comes earlier.
    fn find(&self, path: &[&str], best: &mut usize, matches: &dyn Fn(usize) -> bool) {
        let mut take_first = |routes: &[usize]| {
            let earlier = routes.iter().take_while(|route| **route < *best);
            if let Some(&route) = earlier.into_iter().find(|route| matches(**route)) {
                *best = route;
            }
        };
        take_first(&self.prefix);
        let Some((first, rest)) = path.split_first() else {
            take_first(&self.exact);
            return;
        };
        if let Some(node) = self.literal.get(*first) {
            node.find(rest, best, matches);
        }
        if !first.is_empty()
            && let Some(node) = &self.any
        {
            node.find(rest, best, matches);
        }
    }
}

/// A route that was considered for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsideredRoute {
    /// Its index.
    pub route: usize,
    /// Why it does not match; nothing where it does.
    pub mismatch: Option<Mismatch>,
}

/// A route that no request can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreachableRoute {
    /// Its index.
    pub route: usize,
    /// Index of an earlier route that matches all of it.
    pub covered_by: usize,
}

/// The compiled routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    rules: Vec<RouteRule>,
    exact_hosts: BTreeMap<String, PathTree>,
    subdomains: BTreeMap<String, PathTree>,
    any_host: PathTree,
}

impl RouteTable {
    /// Compiles the rules; a route is named by its index among them.
    pub fn new(rules: Vec<RouteRule>) -> RouteTable {
        let mut table = RouteTable::default();
        for (route, rule) in rules.iter().enumerate() {
            let tree = match &rule.host {
                HostPattern::Any => &mut table.any_host,
                HostPattern::Exact(host) => table.exact_hosts.entry(host.clone()).or_default(),
                HostPattern::Subdomains(host) => table.subdomains.entry(host.clone()).or_default(),
            };
            tree.insert(route, &rule.path);
        }
        table.rules = rules;
        table
    }

    /// The first route that matches a request.
    pub fn find(&self, request: &RequestHead) -> Option<usize> {
        let host = normalized_host(request.host);
        let path: Vec<&str> = segments(without_query(request.path)).take(MAX_SEGMENTS + 1).collect();
        let none = self.rules.len();
        let mut best = none;
        let matches = |route: usize| self.rules[route].mismatch_beside_place(request).is_none();
        for tree in self.trees_for_host(&host) {
            if path.len() <= MAX_SEGMENTS {
                tree.find(&path, &mut best, &matches);
            } else if let Some(&route) = tree.prefix.iter().find(|r| **r < best && matches(**r)) {
                best = route;
            }
        }
        (best < none).then_some(best)
    }

    fn trees_for_host(&self, host: &str) -> Vec<&PathTree> {
        let mut trees = vec![&self.any_host];
        trees.extend(self.exact_hosts.get(host));
        let mut rest = host;
        while let Some((first, parent)) = rest.split_once('.') {
            if !first.is_empty() || rest.len() < host.len() {
                trees.extend(self.subdomains.get(parent));
            }
            rest = parent;
        }
        trees
    }

    /// Every route in order up to the one that matches.
    pub fn explain(&self, request: &RequestHead) -> Vec<ConsideredRoute> {
        let mut considered = Vec::new();
        for (route, rule) in self.rules.iter().enumerate() {
            let mismatch = rule.mismatch(request);
            let matches = mismatch.is_none();
            considered.push(ConsideredRoute { route, mismatch });
            if matches {
                break;
            }
        }
        considered
    }

    /// Routes that no request can reach.
    pub fn unreachable(&self) -> Vec<UnreachableRoute> {
        let unreachable = |route| Some(UnreachableRoute { route, covered_by: self.covering(route)? });
        (0..self.rules.len()).filter_map(unreachable).collect()
    }

    /// The first earlier route that covers this one.
    fn covering(&self, route: usize) -> Option<usize> {
        let rule = &self.rules[route];
        let path = path_to_cover(&rule.path);
        let host = match &rule.host {
            HostPattern::Any => "",
            HostPattern::Exact(host) | HostPattern::Subdomains(host) => host,
        };
        // Patterns of hosts are few beside routes; which of them cover this one is for `covers` to say.
        let by_suffix = self.subdomains.iter().filter(|(suffix, _)| host.ends_with(suffix.as_str()));
        let by_suffix = by_suffix.map(|(_, tree)| tree);
        let mut found = Vec::new();
        for tree in by_suffix.chain([&self.any_host]).chain(self.exact_hosts.get(host)) {
            tree.collect_covering(&path, &mut found);
        }
        found.sort_unstable();
        found.into_iter().take_while(|e| *e < route).find(|&earlier| self.rules[earlier].covers(rule))
    }
}

/// The segments that a covering route has to match; nothing for a segment that may be any.
fn path_to_cover(path: &PathPattern) -> Vec<Option<&str>> {
    match path {
        PathPattern::Any => Vec::new(),
        PathPattern::Exact(path) => segments(path).map(Some).collect(),
        PathPattern::Prefix(path) => match path.trim_end_matches('/') {
            "" => Vec::new(),
            path => segments(path).map(Some).collect(),
        },
        PathPattern::Segments(pattern) => pattern.iter().map(literal).collect(),
    }
}

fn literal(segment: &SegmentPattern) -> Option<&str> {
    match segment {
        SegmentPattern::Literal(segment) => Some(segment),
        SegmentPattern::Any => None,
    }
}
