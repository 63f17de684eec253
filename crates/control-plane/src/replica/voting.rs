//! Where a replica stands in the voter set that it knows.
use notchspool::units::Micros;
use notchspool_consensus::acceptor::{Acceptor, DurableState};
use notchspool_consensus::{Ballot, Entry, Parameters, SpaceState, VoterId};
use notchspool_mesh_config::proposer::{CONFIG_KEY, config_space};
use notchspool_mesh_config::register::VersionedConfig;

/// A request without a response is sent again after this.
const RETRY_INTERVAL: Micros = Micros::ms(150);
/// Nothing of the mesh takes a lease; the other intervals follow from one of this length.
const NOMINAL_LEASE: Micros = Micros::ms(3_000);

/// The parameters of a set of so many voters.
pub(super) fn parameters(voters: usize) -> Parameters {
    Parameters { retry_interval: RETRY_INTERVAL, ..Parameters::new(voters.max(1), NOMINAL_LEASE) }
}

/// Where this replica stands in the set.
///
/// ```text
/// Unknown -learns a set-> Spare | Installing
/// Installing -has enough state-> Persisting -on the disk-> Voting
/// any -learns a later set-> Spare | Installing
/// ```
pub(super) enum VotingState {
    /// Who votes is not known yet.
    Unknown,
    /// It has no seat.
    Spare,
    /// It has a seat, and asks the others for what was decided so far.
    Installing,
    /// All is here, and on its way to the disk.
    Persisting(Box<Acceptor>),
    /// It votes, unless it is sealed or leaves.
    Voting(Acceptor),
}

/// The acceptor of a voter with this register of configurations.
pub(super) fn open_acceptor(
    position: usize,
    parameters: Parameters,
    promised: Ballot,
    accepted: Option<Entry>,
    now: Micros,
) -> Acceptor {
    let entries = accepted.map(|entry| (CONFIG_KEY.to_string(), entry)).into_iter().collect();
    let register = SpaceState { space: config_space(), promised, entries, lease: None };
    let disk = DurableState { spaces: vec![register], ..DurableState::default() };
    Acceptor::open(VoterId(position as u16), parameters, disk, now)
}

/// The highest ballot that an acceptor promised on the register of configurations.
pub(super) fn promised_ballot(acceptor: &Acceptor) -> Option<Ballot> {
    acceptor.space(&config_space()).map(|record| record.promised)
}

/// What an acceptor accepted on the register of configurations.
pub(super) fn accepted_entry(acceptor: &Acceptor) -> Option<&Entry> {
    acceptor.space(&config_space())?.entries.get(CONFIG_KEY)
}

/// The version of the configuration in an entry; 0 where there is none.
pub(super) fn version_of(entry: &Entry) -> u64 {
    VersionedConfig::parse(&entry.value).map_or(0, |config| config.version)
}
