//! The house as it stands: compiled routes, running pools, rooms.
use std::collections::BTreeMap;
use std::rc::Rc;

use awc::http::header::{HeaderName, HeaderValue};
use notchspool::units::{ClassId, DeduplicationScope, Micros, RequestKind, TenantId};
use notchspool_routes::table::Table;
use notchspool_settings::file::{OTHERS, Sticky};

use super::pool::Pool;
use super::rooms::{Held, Rooms};
use crate::memory::txn::RouteId;

pub struct House {
    pub table: Table,
    pub routes: Vec<Route>,
    pub pools: Vec<Rc<Pool>>,
    /// The place of the pool that steps in for each, among the pools of this house: a pool outlives its house, a place
    /// does not.
    pub backups: Vec<Option<usize>>,
    pub rooms: Rooms,
    pub tenants: Option<Tenants>,
}

pub struct Route {
    pub id: RouteId,
    pub name: String,
    pub scheme: ClassId,
    pub kind: RequestKind,
    pub group: DeduplicationScope,
    /// The header that carries a reference.
    pub reference: Option<HeaderName>,
    /// By name, for the shares; the same order as `at`.
    pub shares: Vec<(String, f64)>,
    pub at: Vec<usize>,
    pub sticky: Sticky,
    pub expiry_header: Option<HeaderName>,
    pub expiry: Micros,
    pub add: Vec<(HeaderName, HeaderValue)>,
    pub remove: Vec<HeaderName>,
}

pub struct Tenants {
    pub header: HeaderName,
    pub rooms: Rooms,
    pub names: BTreeMap<String, f64>,
}

impl Tenants {
    /// Room for one more txn of who calls itself so. A name that is not in the file is one of the others, whatever it
    /// is: who changes names shares their part.
    pub fn take(&self, name: Option<&str>) -> Option<Held> {
        let name = name.filter(|name| self.names.contains_key(*name)).unwrap_or(OTHERS);
        self.rooms.take(name)
    }
    /// Its number, as the pools' quotas count; none for one of the others.
    pub fn number(&self, name: Option<&str>) -> Option<TenantId> {
        self.names.keys().position(|known| Some(known.as_str()) == name).map(TenantId)
    }
}
