//! Selection of a server: two candidates are drawn by weight from the most preferred pool that has any, and the one
//! with the lower load is dialed.

use super::PlacementEngine;
use crate::action::PlacementAction;
use crate::event::{ServerId, SessionId, SessionRequest};
use crate::random::hash_to_unit;
use crate::server::Server;
use crate::session::{Session, SessionInput};
use crate::timers::Timer;

/// Load, as a fraction of a server's capacity, below which a server is lightly loaded. Only then is it preferred for
/// being in the proxy's zone, used for a group of which it is not among the first two servers, or used while it is
/// ejected. Also the mean load that is assumed while no server reports any.
pub(super) const LOW_LOAD: f64 = 0.5;
/// Load, as a fraction of a server's capacity, below which a server may start to hold a group. Above it, a server
/// takes a group's sessions only if it already holds some of the group.
const MODERATE_LOAD: f64 = 0.75;
/// Load, as a fraction of a server's capacity, from which a server takes no sessions, and down to which sessions
/// migrate off an overloaded one.
pub(super) const MAX_PLACEMENT_LOAD: f64 = 0.85;
/// Fraction of [`MAX_PLACEMENT_LOAD`] that sessions of priority weight 0 may not use. It falls linearly to nothing at
/// weight 1.
const PRIORITY_RESERVE: f64 = 0.1;
/// Servers considered in each pool, and probes allowed for a session for each pool that it has reached. More would
/// spread a group over more servers.
const MAX_SERVERS_PER_POOL: u32 = 8;
/// Lower bound on a server's weight, which divides its rank.
const MIN_WEIGHT: f64 = 1e-6;
/// Lower bound on a random draw, so that its logarithm is finite.
const MIN_DRAW: f64 = 1e-12;

/// Which servers a pool holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PoolMembers {
    /// Those in the proxy's zone.
    OwnZone,
    /// Those that hold connections of the session's group from this proxy; all for a session without a group.
    GroupHolders,
    All,
    /// Those that answer probes, ejected or not: before a session is rejected, an ejected server may take it.
    AnsweringProbes,
}

/// Load, as a fraction of a server's capacity, that a server must be below to take the session.
#[derive(Clone, Copy, Debug)]
enum LoadLimit {
    Fixed(f64),
    /// [`MAX_PLACEMENT_LOAD`] less the reserve that the session's priority weight may not use.
    ByPriority,
}

/// A set of servers, and the conditions under which a session may be placed on one of them.
#[derive(Clone, Copy, Debug)]
struct Pool {
    members: PoolMembers,
    limit: LoadLimit,
    /// Whether a session that is ranked by a shared hash takes one of the first two servers of its order or none.
    /// Later ones would spread its group over more servers, each of which bears the group's cost again.
    first_two_if_hashed: bool,
}

/// All pools, the most preferred first.
const POOLS: [Pool; 6] = [
    Pool {
        members: PoolMembers::OwnZone,
        limit: LoadLimit::Fixed(LOW_LOAD),
        first_two_if_hashed: true,
    },
    Pool {
        members: PoolMembers::GroupHolders,
        limit: LoadLimit::Fixed(MODERATE_LOAD),
        first_two_if_hashed: false,
    },
    Pool {
        members: PoolMembers::All,
        limit: LoadLimit::Fixed(MODERATE_LOAD),
        first_two_if_hashed: true,
    },
    Pool {
        members: PoolMembers::All,
        limit: LoadLimit::Fixed(LOW_LOAD),
        first_two_if_hashed: false,
    },
    Pool {
        members: PoolMembers::GroupHolders,
        limit: LoadLimit::ByPriority,
        first_two_if_hashed: false,
    },
    Pool {
        members: PoolMembers::AnsweringProbes,
        limit: LoadLimit::Fixed(LOW_LOAD),
        first_two_if_hashed: false,
    },
];

/// A server that the session may be placed on.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    server: ServerId,
    /// Load of the server with the session added, as a fraction of its capacity.
    load: f64,
    /// Whether it holds connections of the session's group, or the session has none.
    holds_group: bool,
    has_fresh_answer: bool,
}

/// Up to two candidates of one pool; none where every pool is empty.
#[derive(Debug, Default)]
struct DrawnCandidates {
    candidates: Vec<Candidate>,
    /// Whether candidates without a fresh probe answer are probed before one is chosen.
    probe_first: bool,
}

impl PlacementEngine {
    /// Selects a server by Charon's weighted random choice of two and dials it, or probes the candidates first if their
    /// last answers are too old.
    pub(super) fn select_and_dial(
        &mut self,
        id: SessionId,
        out: &mut Vec<PlacementAction>,
    ) -> SessionInput {
        let drawn = Selection::new(self, self.session(id)).draw();
        match self.choose_candidate(&drawn.candidates) {
            Some(_) if drawn.probe_first => self.probe_candidates(id, &drawn.candidates, out),
            Some(server) => self.dial(id, server, out),
            // One more session would degrade those that are open.
            None => SessionInput::NoServerAvailable,
        }
    }

    /// The candidate with the lower load, at random where they are equal. One that holds some of the group is
    /// preferred to one that doesn't, as each server bears the group's cost once.
    fn choose_candidate(&mut self, candidates: &[Candidate]) -> Option<ServerId> {
        let first = candidates.first()?;
        let second = candidates.last()?;
        let preference = |candidate: &Candidate| (!candidate.holds_group, candidate.load);
        let prefers_first = match preference(first).partial_cmp(&preference(second)) {
            Some(order) => order.is_lt() || order.is_eq() && self.random.next_unit() < 0.5,
            None => false,
        };
        Some(if prefers_first {
            first.server
        } else {
            second.server
        })
    }

    /// Probes the candidates without a fresh answer and lets the session wait for them, up to its probe deadline.
    fn probe_candidates(
        &mut self,
        id: SessionId,
        candidates: &[Candidate],
        out: &mut Vec<PlacementAction>,
    ) -> SessionInput {
        let deadline = self.session(id).probe_deadline;
        self.timers.schedule(deadline, Timer::ProbeWaitExpired(id));
        for candidate in candidates {
            if candidate.has_fresh_answer {
                continue;
            }
            let probes = &mut self.server_mut(candidate.server).probes;
            if probes.add_waiting_session(id) {
                self.session_mut(id).probes_requested += 1;
            }
            self.send_probe(candidate.server, out);
        }
        SessionInput::ProbesSent
    }

    /// All servers in the random order in which a session draws them, with probability proportional to weight. With a
    /// shared hash key the order is the same at every proxy.
    pub(super) fn rank_servers(&self, request: &SessionRequest) -> Vec<ServerId> {
        let shared_key = self.shared_hash_key(request);
        // Weights that decrease as servers fill would keep changing which servers a group is sent to.
        let ignores_weights = shared_key.is_some() && self.deployment.weights_reflect_load;
        let key = shared_key.unwrap_or(self.random.state());
        let rank = |server: &Server| {
            let weight = if ignores_weights {
                1.0
            } else {
                server.endpoint.weight.max(MIN_WEIGHT)
            };
            let draw = hash_to_unit(key, server.endpoint.hash_key);
            -draw.max(MIN_DRAW).ln() / weight
        };
        let mut ranked: Vec<(f64, ServerId)> = self.servers.iter().map(rank).zip(0..).collect();
        ranked.sort_unstable_by(|first, second| first.0.total_cmp(&second.0));
        ranked.into_iter().map(|(_, server)| server).collect()
    }

    /// The key that gives a session the same server order at every proxy; `None` where the order is random.
    fn shared_hash_key(&self, request: &SessionRequest) -> Option<u64> {
        if self.deployment.packet_passthrough {
            Some(request.hash_key)
        } else {
            request.group
        }
    }
}

/// State shared by all servers while the candidates of one session are drawn.
struct Selection<'a> {
    engine: &'a PlacementEngine,
    session: &'a Session,
    group_holders: Vec<ServerId>,
    /// Estimate of the sessions at each server that other proxies sent and no report includes yet.
    unreported_sessions: f64,
    /// Whether zones in which the session failed are skipped, because another zone has a server that it may use.
    avoids_failed_zones: bool,
    /// Whether every server that the session may use is unavailable, in which case availability is ignored.
    none_is_available: bool,
}

impl<'a> Selection<'a> {
    fn new(engine: &'a PlacementEngine, session: &'a Session) -> Selection<'a> {
        let mut selection = Selection {
            engine,
            session,
            group_holders: engine.groups.holders(session.request.group),
            unreported_sessions: engine.unreported_sessions_per_server(),
            avoids_failed_zones: false,
            none_is_available: false,
        };
        let ranked = &session.ranked_servers;
        selection.avoids_failed_zones = engine.pacing.no_session_opened_since_failure(session)
            && ranked
                .iter()
                .any(|&id| !selection.failed_in_zone_of(id) && engine.may_dial(session, id));
        selection.none_is_available = !ranked.iter().any(|&id| {
            selection.zone_admits(id) && selection.is_available(id) && engine.may_dial(session, id)
        });
        selection
    }

    /// Up to two candidates of the first pool that has any.
    fn draw(&self) -> DrawnCandidates {
        for (nth, pool) in (1..).zip(POOLS) {
            let may_probe = self.may_probe_for(nth);
            let candidates = self.draw_from(pool, may_probe);
            if !candidates.is_empty() {
                let all_fresh = candidates.iter().all(|drawn| drawn.has_fresh_answer);
                return DrawnCandidates {
                    candidates,
                    probe_first: may_probe && !all_fresh,
                };
            }
        }
        DrawnCandidates::default()
    }

    /// Whether the session may have more servers probed once it considers the `nth` pool, counted from 1.
    fn may_probe_for(&self, nth: u32) -> bool {
        self.engine.deployment.may_probe
            && self.engine.now < self.session.probe_deadline
            && self.session.probes_requested < MAX_SERVERS_PER_POOL * nth
    }

    /// Up to two candidates of the pool, in the session's order.
    fn draw_from(&self, pool: Pool, may_probe: bool) -> Vec<Candidate> {
        let limit = self.load_limit(pool.limit);
        // A server without a fresh answer may be below the limit, so it stays a candidate to be probed.
        let may_be_below_limit = |candidate: &Candidate| {
            candidate.load < limit || may_probe && !candidate.has_fresh_answer
        };
        let is_hashed = self.engine.shared_hash_key(&self.session.request).is_some();
        let only_first_two = pool.first_two_if_hashed && is_hashed;
        self.session
            .ranked_servers
            .iter()
            .copied()
            .filter(|&id| self.is_in_pool(pool.members, id) && self.is_usable(pool.members, id))
            .take(MAX_SERVERS_PER_POOL as usize)
            .map(|id| self.candidate(id))
            .filter(|candidate| only_first_two || may_be_below_limit(candidate))
            .take(2)
            .filter(may_be_below_limit)
            .collect()
    }

    fn load_limit(&self, limit: LoadLimit) -> f64 {
        match limit {
            LoadLimit::Fixed(limit) => limit,
            LoadLimit::ByPriority => {
                let weight = self.engine.listener(self.session).priority_weight;
                MAX_PLACEMENT_LOAD * (1.0 - PRIORITY_RESERVE * (1.0 - weight))
            }
        }
    }

    /// Whether the server belongs to the pool.
    fn is_in_pool(&self, members: PoolMembers, id: ServerId) -> bool {
        match members {
            PoolMembers::OwnZone => self.zone(id) == self.engine.deployment.zone,
            PoolMembers::GroupHolders => self.holds_group(id),
            PoolMembers::All => true,
            PoolMembers::AnsweringProbes => {
                let answers = self.engine.server(id).probes.last_was_answered();
                answers && !self.session.failed_servers.contains(&id)
            }
        }
    }

    /// Whether the session may be sent to the server as a member of the pool.
    fn is_usable(&self, members: PoolMembers, id: ServerId) -> bool {
        let requires_availability =
            members != PoolMembers::AnsweringProbes && !self.none_is_available;
        self.zone_admits(id)
            && (!requires_availability || self.is_available(id))
            && self.engine.may_dial(self.session, id)
    }

    /// Whether the server is neither ejected nor late to answer a probe, and this session did not fail there.
    fn is_available(&self, id: ServerId) -> bool {
        let server = self.engine.server(id);
        let now = self.engine.now;
        let failed_session = self.session.failed_servers.contains(&id)
            || self.avoids_failed_zones && self.failed_in_zone_of(id);
        // A session that waits for a late probe answer would likely run into the dial timeout next.
        !server.ejection.is_active(now) && !server.probes.is_late(now) && !failed_session
    }

    fn failed_in_zone_of(&self, id: ServerId) -> bool {
        self.session
            .failed_servers
            .iter()
            .any(|&failed| self.zone(failed) == self.zone(id))
    }

    /// Whether the zone share of the server's zone admits this session.
    fn zone_admits(&self, id: ServerId) -> bool {
        let zone = self.zone(id);
        self.engine.zone_shares.admits(zone, self.session.zone_draw)
    }

    fn zone(&self, id: ServerId) -> u8 {
        self.engine.server(id).endpoint.zone
    }

    /// Whether the server holds connections of the session's group; true for a session without a group.
    fn holds_group(&self, id: ServerId) -> bool {
        self.session.request.group.is_none() || self.group_holders.contains(&id)
    }

    fn candidate(&self, id: ServerId) -> Candidate {
        let engine = self.engine;
        let server = engine.server(id);
        // A cold server has less capacity, so a connection takes a larger fraction of it.
        let mean = engine.mean_load_per_connection.unwrap_or(f64::EPSILON);
        let load_per_connection = server
            .load
            .load_per_connection()
            .unwrap_or_else(|| mean / engine.capacity_share(server, engine.now));
        let connections = server.load.aged_score(engine.now) + self.unreported_sessions + 1.0;
        Candidate {
            server: id,
            load: connections * load_per_connection,
            holds_group: self.holds_group(id),
            has_fresh_answer: server.probes.has_fresh_answer(engine.now),
        }
    }
}
