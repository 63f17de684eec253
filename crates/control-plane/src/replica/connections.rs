//! Peer contact: the connections of a replica, who speaks on them, and which voters were heard when.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_consensus::voter_set::VoterSet;

use super::effect::ConnectionId;

/// A replica not heard for this long is not reached.
pub(super) const CONTACT_TIMEOUT: Micros = Micros::ms(1_600);

/// A proxy's watch of the endpoints.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointWatch {
    /// The version that it has.
    pub version: u64,
    /// It held no list when it came.
    pub began_empty: bool,
}

/// One connection.
#[derive(Clone, Debug, Default)]
pub(super) struct Link {
    /// A proxy speaks on it.
    pub is_proxy: bool,
    /// The address of that proxy.
    proxy: String,
    /// The address of the replica that speaks on it.
    pub replica: Option<String>,
    /// The backend that the proxy reported last.
    pub instance: String,
    pub watch: Option<EndpointWatch>,
    /// The voter that it leads to; only of connections opened from here.
    position: Option<usize>,
    last_seen_at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct VoterLink {
    connection: ConnectionId,
    last_seen_at: Micros,
}

/// All connections of a replica.
#[derive(Debug, Default)]
pub(super) struct Connections {
    links: BTreeMap<ConnectionId, Link>,
    /// Connections opened from here, and where to.
    outgoing: BTreeMap<ConnectionId, String>,
    /// Those of them that lead to other voters, by position in the set.
    voters: BTreeMap<usize, VoterLink>,
}

impl Connections {
    /// A connection was opened from here.
    pub fn add_outgoing(&mut self, connection: ConnectionId, address: &str) {
        self.outgoing.insert(connection, address.to_string());
    }

    /// Finds out whether a connection opened from here leads to a voter: then its position.
    pub fn identify(&mut self, now: Micros, connection: ConnectionId, set: &VoterSet) -> Option<usize> {
        let address = self.outgoing.get(&connection)?;
        let link =
            self.links.entry(connection).or_insert_with(|| Link { last_seen_at: now, ..Link::default() });
        link.replica = Some(address.clone());
        link.position = set.position(address);
        let position = link.position?;
        self.voters.insert(position, VoterLink { connection, last_seen_at: link.last_seen_at });
        Some(position)
    }

    /// The voters are others from now on: nothing is known of who they are.
    pub fn forget_voters(&mut self) {
        self.voters.clear();
        self.links.values_mut().for_each(|link| link.position = None);
    }

    /// Who speaks on a connection is known from its hello.
    pub fn on_hello(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        is_proxy: bool,
        replica: Option<String>,
    ) {
        let link = Link { is_proxy, replica, last_seen_at: now, ..Link::default() };
        self.links.insert(connection, link);
    }

    /// The address of the proxy that speaks on a connection.
    pub fn set_proxy(&mut self, connection: ConnectionId, address: &str) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.proxy = address.to_string();
        }
    }

    /// Connections on which proxies speak, and their addresses.
    pub fn proxy_addresses(&self) -> Vec<(ConnectionId, String)> {
        let proxies = self.links.iter().filter(|(_, link)| link.is_proxy);
        proxies.map(|(connection, link)| (*connection, link.proxy.clone())).collect()
    }

    /// Anything came on a connection: the address of the replica that speaks on it.
    pub fn on_message(&mut self, now: Micros, connection: ConnectionId) -> Option<String> {
        let link = self.links.get_mut(&connection)?;
        link.last_seen_at = now;
        let voter = link.position.and_then(|position| self.voters.get_mut(&position));
        if let Some(voter) = voter.filter(|voter| voter.connection == connection) {
            voter.last_seen_at = now;
        }
        link.replica.clone()
    }

    /// A connection has ended.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.links.remove(&connection);
        self.outgoing.remove(&connection);
        self.voters.retain(|_, voter| voter.connection != connection);
    }

    /// What is known of a connection.
    pub fn get(&self, connection: ConnectionId) -> Option<&Link> {
        self.links.get(&connection)
    }

    /// What is known of a connection, to be changed.
    pub fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut Link> {
        self.links.get_mut(&connection)
    }

    /// All connections.
    pub fn all(&self) -> impl Iterator<Item = (ConnectionId, &Link)> {
        self.links.iter().map(|(connection, link)| (*connection, link))
    }

    /// All connections, by number.
    pub fn ids(&self) -> Vec<ConnectionId> {
        self.links.keys().copied().collect()
    }

    /// Connections opened from here, and where to.
    pub fn outgoing(&self) -> impl Iterator<Item = (ConnectionId, &String)> {
        self.outgoing.iter().map(|(connection, address)| (*connection, address))
    }

    /// Connections opened from here, by number.
    pub fn outgoing_ids(&self) -> Vec<ConnectionId> {
        self.outgoing.keys().copied().collect()
    }

    /// Where a connection opened from here leads to.
    pub fn outgoing_address(&self, connection: ConnectionId) -> Option<&String> {
        self.outgoing.get(&connection)
    }

    /// Connections of proxies.
    pub fn proxies(&self) -> impl Iterator<Item = ConnectionId> {
        self.all().filter(|(_, link)| link.is_proxy).map(|(connection, _)| connection)
    }

    /// Connections of proxies that watch the endpoints.
    pub fn watches_mut(&mut self) -> impl Iterator<Item = (ConnectionId, &mut EndpointWatch)> {
        self.links.iter_mut().filter_map(|(connection, link)| Some((*connection, link.watch.as_mut()?)))
    }

    /// The connection to the voter at this position.
    pub fn voter(&self, position: usize) -> Option<ConnectionId> {
        self.voters.get(&position).map(|voter| voter.connection)
    }

    /// Positions of the other voters, and the connections to them.
    pub fn voters(&self) -> impl Iterator<Item = (usize, ConnectionId)> {
        self.voters.iter().map(|(position, voter)| (*position, voter.connection))
    }

    /// How many of the other voters were heard lately.
    pub fn reached_voters(&self, now: Micros) -> usize {
        self.voters.values().filter(|voter| now - voter.last_seen_at < CONTACT_TIMEOUT).count()
    }
}
