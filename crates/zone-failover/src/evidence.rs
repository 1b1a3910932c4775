//! What is known of each server, and the failures that count as evidence against its zone.

use crate::{ServerId, ZoneId};
use std::time::Duration;

/// State of a server as discovery lists it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new sessions.
    Ready,
    /// Finishes its sessions and accepts no new ones.
    Draining,
    /// Not listed, or listed as gone.
    #[default]
    Gone,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerRecord {
    /// `None` until discovery lists the server.
    pub(crate) zone: Option<ZoneId>,
    pub(crate) state: ServerState,
    /// When its process started, if discovery lists that; another value means a restart.
    pub(crate) started_at: Option<Duration>,
    /// When it first failed since it, and its zone, last responded.
    pub(crate) first_failure: Option<Duration>,
    /// When zone failover last probed it; zero if never.
    pub(crate) last_probe: Duration,
}

impl ServerRecord {
    pub(crate) fn is_ready(&self) -> bool {
        self.state == ServerState::Ready
    }

    /// The first failure, if it is later than the zone's last response.
    fn failure_since(&self, last_response: Option<Duration>) -> Option<Duration> {
        self.first_failure
            .filter(|failure| last_response.is_none_or(|response| *failure > response))
    }
}

/// What a discovery entry changed about a server that was known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListingChange {
    /// It is ready and was not before, or it was restarted.
    ReadyAgain,
    /// It is gone and was not before.
    Removed,
    /// Neither of the two.
    Other,
}

/// Failures of one zone's servers since the zone's last response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneEvidence {
    /// Ready servers that failed.
    pub(crate) unresponsive_servers: usize,
    /// All ready servers.
    pub(crate) ready_servers: usize,
    /// Time of the earliest failure that counts; `None` if there is none.
    pub(crate) first_failure: Option<Duration>,
}

/// The records of all servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerTable {
    /// Indexed by [`ServerId`].
    records: Vec<ServerRecord>,
}

impl ServerTable {
    pub(crate) fn records(&self) -> &[ServerRecord] {
        &self.records
    }

    pub(crate) fn get_mut(&mut self, server: ServerId) -> Option<&mut ServerRecord> {
        self.records.get_mut(server as usize)
    }

    /// Applies a discovery entry. The failure of a server that was restarted, or is ready again, is forgotten.
    pub(crate) fn update(
        &mut self,
        server: ServerId,
        zone: ZoneId,
        state: ServerState,
        started_at: Option<Duration>,
    ) -> ListingChange {
        let index = server as usize;
        if self.records.len() <= index {
            self.records.resize(index + 1, ServerRecord::default());
        }
        let record = &mut self.records[index];
        let before = *record;
        record.zone = Some(zone);
        record.state = state;
        record.started_at = started_at;
        if before.zone.is_none() {
            return ListingChange::Other;
        }
        if record.is_ready() && (!before.is_ready() || before.started_at != started_at) {
            record.first_failure = None;
            return ListingChange::ReadyAgain;
        }
        if state == ServerState::Gone && before.state != ServerState::Gone {
            return ListingChange::Removed;
        }
        ListingChange::Other
    }

    fn in_zone(&self, zone: ZoneId) -> impl Iterator<Item = (ServerId, &ServerRecord)> {
        (0..)
            .zip(&self.records)
            .filter(move |(_, record)| record.zone == Some(zone))
    }

    fn ready_in_zone(&self, zone: ZoneId) -> impl Iterator<Item = (ServerId, &ServerRecord)> {
        self.in_zone(zone).filter(|(_, record)| record.is_ready())
    }

    pub(crate) fn any_ready(&self, zone: ZoneId) -> bool {
        self.ready_in_zone(zone).next().is_some()
    }

    pub(crate) fn all_gone(&self, zone: ZoneId) -> bool {
        self.in_zone(zone)
            .all(|(_, record)| record.state == ServerState::Gone)
    }

    /// Records a failure of a ready server and returns its zone; `None` if the server is not ready or not known.
    pub(crate) fn record_failure(
        &mut self,
        now: Duration,
        server: ServerId,
        last_response_of: impl Fn(ZoneId) -> Option<Duration>,
    ) -> Option<ZoneId> {
        let record = self.get_mut(server).filter(|record| record.is_ready())?;
        let zone = record.zone?;
        let earlier = record.failure_since(last_response_of(zone));
        record.first_failure = earlier.or(Some(now));
        Some(zone)
    }

    pub(crate) fn forget_failures_in(&mut self, zone: ZoneId) {
        for record in &mut self.records {
            if record.zone == Some(zone) {
                record.first_failure = None;
            }
        }
    }

    pub(crate) fn forget_failures_outside(&mut self, zone: ZoneId) {
        for record in &mut self.records {
            if record.zone != Some(zone) {
                record.first_failure = None;
            }
        }
    }

    /// Failures of a zone's servers after `last_response`; a failure at that very moment does not count.
    pub(crate) fn evidence(&self, zone: ZoneId, last_response: Option<Duration>) -> ZoneEvidence {
        let failures = || {
            self.ready_in_zone(zone)
                .filter_map(|(_, record)| record.failure_since(last_response))
        };
        ZoneEvidence {
            unresponsive_servers: failures().count(),
            ready_servers: self.ready_in_zone(zone).count(),
            first_failure: failures().min(),
        }
    }

    /// Up to `limit` ready servers to probe, those without a failure first. Within each group, those probed longest ago
    /// come first.
    pub(crate) fn probe_candidates(&self, zone: ZoneId, limit: usize) -> Vec<ServerId> {
        let mut candidates: Vec<(bool, Duration, ServerId)> = self
            .ready_in_zone(zone)
            .map(|(server, record)| (record.first_failure.is_some(), record.last_probe, server))
            .collect();
        candidates.sort_unstable();
        candidates
            .into_iter()
            .take(limit)
            .map(|(_, _, server)| server)
            .collect()
    }
}
