//! The instances of the fleet and their leases.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_commands::{Epoch, InstanceId};
use notchspool_fleet_protocol::InstanceReport;
use notchspool_leases::lease_table::{LeasePolicy, LeaseState, LeaseTable, Registration, Renewal};

use crate::records::{self, InstanceRecord, RegisterKey};
use crate::traffic::RequestCounts;

/// Instances at once, with those that are gone and remembered.
const MAX_INSTANCES: usize = 8_192;
/// When an instance that found no room may come again.
const RETRY_WHEN_FULL: Micros = Micros::ms(5_000);

/// An instance beside its lease.
#[derive(Clone, Debug)]
pub struct KnownInstance {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    boot_id: u64,
    /// When this owner heard it last, if it did.
    pub last_contact: Option<Micros>,
    /// What it said of itself last.
    pub report: InstanceReport,
}

/// A registration as an agent sends it.
#[derive(Clone, Debug)]
pub struct RegistrationRequest<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Drawn by the agent at its start.
    pub boot_id: u64,
    /// What it says of itself.
    pub report: InstanceReport,
}

/// All instances that are known.
pub struct InstanceTable {
    leases: LeaseTable,
    known: BTreeMap<InstanceId, KnownInstance>,
    /// Registers that differ from what was written.
    unwritten: BTreeSet<RegisterKey>,
}

impl InstanceTable {
    /// An empty table; `last_epoch` is the last one ever given.
    pub fn new(policy: LeasePolicy, last_epoch: Epoch, seed: u64, now: Micros) -> InstanceTable {
        InstanceTable {
            leases: LeaseTable::new(policy, last_epoch, seed, now),
            known: BTreeMap::new(),
            unwritten: BTreeSet::new(),
        }
    }

    /// Restores an instance from its record.
    pub fn restore(&mut self, now: Micros, record: InstanceRecord) {
        let InstanceRecord { id, name, zone, epoch, boot_id } = record;
        self.leases.restore(now, id, &name, epoch);
        let report = InstanceReport::default();
        self.known.insert(id, KnownInstance { name, zone, boot_id, last_contact: None, report });
    }

    /// Repeats a registration whose answer may have been lost: the same boot id has the same epoch. Nothing where this is a new one.
    pub fn repeat_registration(
        &mut self,
        now: Micros,
        request: &RegistrationRequest<'_>,
    ) -> Option<Registration> {
        let id = self.find(request.name)?;
        self.known.get(&id).filter(|known| known.boot_id == request.boot_id)?;
        let epoch = self.epoch(id)?;
        match self.leases.renew(now, id, epoch) {
            Renewal::Renewed { renew_in, .. } => Some(Registration { id, epoch, renew_in }),
            _ => None,
        }
    }

    /// An instance has started: it gets a new epoch.
    ///
    /// # Errors
    ///
    /// There is no room for it now; after how long it may come again.
    pub fn register(
        &mut self,
        now: Micros,
        request: RegistrationRequest<'_>,
    ) -> Result<Registration, Micros> {
        // Guards against names without end: an instance that is known is admitted all the same.
        if self.known.len() >= MAX_INSTANCES && self.find(request.name).is_none() {
            return Err(RETRY_WHEN_FULL);
        }
        let registration = self.leases.register(now, request.name)?;
        self.unwritten.insert(RegisterKey::of_instance(registration.id));
        let known = KnownInstance {
            name: request.name.to_owned(),
            zone: request.zone.to_owned(),
            boot_id: request.boot_id,
            last_contact: Some(now),
            report: request.report,
        };
        self.known.insert(registration.id, known);
        Ok(registration)
    }

    /// An instance renews its lease.
    pub fn renew(&mut self, now: Micros, id: InstanceId, epoch: Epoch) -> Renewal {
        self.leases.renew(now, id, epoch)
    }

    /// Takes a report, and gives back the requests since the report before, where the two can be compared.
    pub fn on_report(
        &mut self,
        now: Micros,
        id: InstanceId,
        report: InstanceReport,
    ) -> Option<RequestCounts> {
        let known = self.known.get_mut(&id)?;
        // Counts that fall are those of another start; the first ones that an owner hears do not say when they came about.
        let before = known.last_contact.is_some().then_some(&known.report);
        let more = before.and_then(|before| {
            let succeeded = report.succeeded.checked_sub(before.succeeded)?;
            let not_succeeded = report.not_succeeded.checked_sub(before.not_succeeded)?;
            Some(RequestCounts { succeeded, all: succeeded + not_succeeded })
        });
        known.last_contact = Some(now);
        known.report = report;
        more
    }

    /// An instance leaves. Returns whether this was its present epoch.
    pub fn leave(&mut self, now: Micros, id: InstanceId, epoch: Epoch) -> bool {
        self.leases.leave(now, id, epoch)
    }

    /// Time has passed. Returns the instances whose leases expired for good.
    pub fn tick(&mut self, now: Micros) -> Vec<InstanceId> {
        self.leases.tick(now)
    }

    /// Drops instances whose leases are not remembered any more, and returns them.
    pub fn forget_removed(&mut self) -> Vec<InstanceId> {
        let removed: Vec<InstanceId> =
            self.known.keys().filter(|id| self.leases.member(**id).is_none()).copied().collect();
        for id in &removed {
            self.known.remove(id);
            self.unwritten.insert(RegisterKey::of_instance(*id));
        }
        removed
    }

    /// What is to be written since the last call, by register.
    pub fn take_writes(&mut self) -> BTreeMap<String, String> {
        let unwritten = std::mem::take(&mut self.unwritten);
        unwritten.into_iter().map(|key| (key.to_string(), records::encode(&self.records_in(key)))).collect()
    }

    fn records_in(&self, key: RegisterKey) -> Vec<InstanceRecord> {
        let record = |(id, known): (&InstanceId, &KnownInstance)| InstanceRecord {
            id: *id,
            name: known.name.clone(),
            zone: known.zone.clone(),
            epoch: self.epoch(*id).unwrap_or_default(),
            boot_id: known.boot_id,
        };
        self.known.iter().filter(|(id, _)| RegisterKey::of_instance(**id) == key).map(record).collect()
    }

    /// The number of an instance, by its name.
    pub fn find(&self, name: &str) -> Option<InstanceId> {
        self.known.iter().find(|(_, known)| known.name == name).map(|(id, _)| *id)
    }

    /// An instance.
    pub fn get(&self, id: InstanceId) -> Option<&KnownInstance> {
        self.known.get(&id)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, &KnownInstance)> {
        self.known.iter().map(|(id, known)| (*id, known))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The present epoch of an instance.
    pub fn epoch(&self, id: InstanceId) -> Option<Epoch> {
        self.leases.member(id).map(|member| member.epoch)
    }

    /// Where the lease of an instance stands; one without a lease is gone.
    pub fn lease(&self, id: InstanceId) -> LeaseState {
        self.leases.member(id).map_or(LeaseState::Gone(Micros(0)), |member| member.state)
    }

    /// Whether an instance is not gone.
    pub fn is_present(&self, id: InstanceId) -> bool {
        !matches!(self.lease(id), LeaseState::Gone(_))
    }
}
