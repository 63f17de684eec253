//! What a route asks of a request, and which rules cover others.

/// What a route asks of a request. What is not stated matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteRule {
    /// Indices of the listeners that it serves; none: all.
    pub listeners: Vec<usize>,
    /// Hosts.
    pub host: HostPattern,
    /// Paths.
    pub path: PathPattern,
    /// Methods, as they are written; none: all.
    pub methods: Vec<String>,
    /// Names of headers in lower case, and the value that each must have.
    pub headers: Vec<(String, String)>,
}

/// Hosts are compared in lower case and without their port.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum HostPattern {
    /// Every host.
    #[default]
    Any,
    /// This host.
    Exact(String),
    /// `*.example`: all below this name, not the name itself.
    Subdomains(String),
}

/// Paths are compared byte by byte, as they came, without the query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PathPattern {
    /// Every path.
    #[default]
    Any,
    /// This path.
    Exact(String),
    /// All that begins with these segments: `/pay` matches `/pay` and `/pay/x`, not `/payday`.
    Prefix(String),
    /// As many segments as here.
    Segments(Vec<SegmentPattern>),
}

/// One segment of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentPattern {
    /// This segment.
    Literal(String),
    /// Any segment that is not empty.
    Any,
}

/// What of a request routes are chosen by.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Index of the listener that it came to.
    pub listener: usize,
    /// Its host, perhaps with a port.
    pub host: &'a str,
    /// Its path, perhaps with a query.
    pub path: &'a str,
    /// Its method.
    pub method: &'a str,
    /// Its headers; names in any case.
    pub headers: &'a [(&'a str, &'a str)],
}

/// Why a route does not match.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// Another listener.
    Listener,
    /// Another host.
    Host,
    /// Another path.
    Path,
    /// Another method.
    Method,
    /// This header has another value, or is not there.
    Header(String),
}

/// The segments of a path.
pub fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.strip_prefix('/').unwrap_or(path).split('/')
}

/// A path without its query and fragment.
pub(crate) fn without_query(path: &str) -> &str {
    path.split(['?', '#']).next().unwrap_or("")
}

/// A host in lower case, without its port and final dot.
pub(crate) fn normalized_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) && !name.ends_with(':') => name,
        _ => host,
    };
    name.trim_end_matches('.').to_ascii_lowercase()
}

impl HostPattern {
    fn matches(&self, host: &str) -> bool {
        match self {
            HostPattern::Any => true,
            HostPattern::Exact(own) => own == host,
            HostPattern::Subdomains(own) => {
                host.strip_suffix(own.as_str()).is_some_and(|rest| rest.ends_with('.') && rest.len() > 1)
            }
        }
    }

    fn covers(&self, other: &HostPattern) -> bool {
        match (self, other) {
            (HostPattern::Any, _) => true,
            (HostPattern::Subdomains(a), HostPattern::Subdomains(b)) => a == b || self.matches(b),
            (own, HostPattern::Exact(host)) => own.matches(host),
            _ => false,
        }
    }
}

impl PathPattern {
    fn matches(&self, path: &str) -> bool {
        match self {
            PathPattern::Any => true,
            PathPattern::Exact(own) => own == path,
            PathPattern::Prefix(own) => {
                let own = own.trim_end_matches('/');
                path.strip_prefix(own).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            }
            PathPattern::Segments(own) => {
                let mut others = segments(path);
                let fits = own.iter().all(|own| others.next().is_some_and(|other| own.matches(other)));
                fits && others.next().is_none()
            }
        }
    }

    fn covers(&self, other: &PathPattern) -> bool {
        match (self, other) {
            (PathPattern::Any, _) => true,
            (own, PathPattern::Exact(path)) => own.matches(path),
            (PathPattern::Prefix(_), PathPattern::Prefix(path)) => {
                self.matches(path.trim_end_matches('/')) || self.matches(path)
            }
            (PathPattern::Prefix(own), PathPattern::Segments(other)) => prefix_covers(own, other),
            (PathPattern::Segments(own), PathPattern::Segments(other)) => {
                own.len() == other.len() && own.iter().zip(other).all(|(own, other)| own.covers(other))
            }
            _ => false,
        }
    }
}

fn prefix_covers(prefix: &str, other: &[SegmentPattern]) -> bool {
    let prefix = prefix.trim_end_matches('/');
    let is_literal =
        |(own, other): (&str, &SegmentPattern)| *other == SegmentPattern::Literal(own.to_owned());
    prefix.is_empty()
        || (segments(prefix).count() <= other.len() && segments(prefix).zip(other).all(is_literal))
}

impl SegmentPattern {
    fn matches(&self, segment: &str) -> bool {
        match self {
            SegmentPattern::Literal(own) => own == segment,
            SegmentPattern::Any => !segment.is_empty(),
        }
    }

    fn covers(&self, other: &SegmentPattern) -> bool {
        match (self, other) {
            (SegmentPattern::Any, SegmentPattern::Literal(other)) => !other.is_empty(),
            (own, other) => own == other,
        }
    }
}

impl RouteRule {
    /// Why it does not match a request; nothing where it does.
    pub fn mismatch(&self, request: &RequestHead) -> Option<Mismatch> {
        if !self.serves_listener(request.listener) {
            return Some(Mismatch::Listener);
        }
        if !self.host.matches(&normalized_host(request.host)) {
            return Some(Mismatch::Host);
        }
        if !self.path.matches(without_query(request.path)) {
            return Some(Mismatch::Path);
        }
        self.mismatch_beside_place(request)
    }

    fn serves_listener(&self, listener: usize) -> bool {
        self.listeners.is_empty() || self.listeners.contains(&listener)
    }

    /// The same without host and path, by which the table is sorted.
    pub(crate) fn mismatch_beside_place(&self, request: &RequestHead) -> Option<Mismatch> {
        if !self.serves_listener(request.listener) {
            return Some(Mismatch::Listener);
        }
        if !self.methods.is_empty() && !self.methods.iter().any(|method| method == request.method) {
            return Some(Mismatch::Method);
        }
        let has = |(name, value): &&(String, String)| {
            request.headers.iter().any(|(n, v)| n.eq_ignore_ascii_case(name) && v == value)
        };
        self.headers.iter().find(|header| !has(header)).map(|(name, _)| Mismatch::Header(name.clone()))
    }

    /// Whether all that `other` matches is matched by this one too.
    pub fn covers(&self, other: &RouteRule) -> bool {
        covers_all(&self.listeners, &other.listeners)
            && covers_all(&self.methods, &other.methods)
            && self.headers.iter().all(|header| other.headers.contains(header))
            && self.host.covers(&other.host)
            && self.path.covers(&other.path)
    }
}

/// Of two lists where none means all.
fn covers_all<T: PartialEq>(own: &[T], other: &[T]) -> bool {
    own.is_empty() || (!other.is_empty() && other.iter().all(|item| own.contains(item)))
}
