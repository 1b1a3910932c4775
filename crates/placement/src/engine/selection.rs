//! Selection of a server: two candidates from the best pool that has any, and the lower load of the two.

use super::PlacementEngine;
use crate::action::PlacementAction;
use crate::event::{ServerId, SessionId, SessionRequest};
use crate::random::hash_to_unit;
use crate::server::Server;
use crate::session::{Session, SessionInput};
use crate::timers::Timer;

/// Share of a server from which it isn't preferred for being near.
pub(super) const HALF_LOAD: f64 = 0.5;
/// Share of a server from which it takes sessions of a group only where it holds some of it.
const ROOMY_LOAD: f64 = 0.75;
/// Share of a server from which it takes no more, and down to which an overloaded one is relieved.
pub(super) const MAX_PLACEMENT_LOAD: f64 = 0.85;
/// Part of [`MAX_PLACEMENT_LOAD`] that is kept from sessions of priority weight 0, and in proportion from those between
/// 0 and 1.
const PRIORITY_RESERVE: f64 = 0.1;
/// Servers of a pool that are looked at, and probed for one session. More would spread a group.
const POOL_DEPTH: u32 = 8;
/// Least weight and least draw, so that a rank is finite.
const MIN_WEIGHT: f64 = 1e-6;
const MIN_DRAW: f64 = 1e-12;

/// Which servers a pool holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PoolMembers {
    OwnZone,
    /// Those that this proxy knows to hold some of the session's group; all for a session without one.
    GroupHolders,
    All,
    /// Those that are ejected and answer probes: before a session is rejected, one of them may take it.
    Ejected,
}

#[derive(Clone, Copy, Debug)]
enum LoadLimit {
    Fixed(f64),
    /// [`MAX_PLACEMENT_LOAD`] less what is kept from sessions of lower priority.
    ByPriority,
}

#[derive(Clone, Copy, Debug)]
struct Pool {
    members: PoolMembers,
    limit: LoadLimit,
    /// Whether a group takes the first two of its order or none. Walking on would spread it over more servers,
    /// and each pays for the group anew.
    first_two_of_group: bool,
}

/// In order of preference.
const POOLS: [Pool; 6] = [
    Pool {
        members: PoolMembers::OwnZone,
        limit: LoadLimit::Fixed(HALF_LOAD),
        first_two_of_group: true,
    },
    Pool {
        members: PoolMembers::GroupHolders,
        limit: LoadLimit::Fixed(ROOMY_LOAD),
        first_two_of_group: false,
    },
    Pool {
        members: PoolMembers::All,
        limit: LoadLimit::Fixed(ROOMY_LOAD),
        first_two_of_group: true,
    },
    Pool {
        members: PoolMembers::All,
        limit: LoadLimit::Fixed(HALF_LOAD),
        first_two_of_group: false,
    },
    Pool {
        members: PoolMembers::GroupHolders,
        limit: LoadLimit::ByPriority,
        first_two_of_group: false,
    },
    Pool {
        members: PoolMembers::Ejected,
        limit: LoadLimit::Fixed(HALF_LOAD),
        first_two_of_group: false,
    },
];

#[derive(Clone, Copy, Debug)]
struct Candidate {
    server: ServerId,
    /// Share of the server that is taken once the session is there.
    load: f64,
    holds_group: bool,
    has_fresh_answer: bool,
}

/// One or two candidates of a pool; none where every pool is empty.
#[derive(Debug, Default)]
struct DrawnCandidates {
    candidates: Vec<Candidate>,
    /// Whether those without a fresh answer are probed before one is chosen.
    probe_first: bool,
}

impl PlacementEngine {
    /// Charon's choice. A candidate whose count is old is probed first.
    pub(super) fn select_and_dial(
        &mut self,
        id: SessionId,
        out: &mut Vec<PlacementAction>,
    ) -> SessionInput {
        let drawn = Selection::new(self, self.session(id)).draw();
        match self.less_loaded(&drawn.candidates) {
            Some(_) if drawn.probe_first => self.probe_candidates(id, &drawn.candidates, out),
            Some(server) => self.dial(id, server, out),
            // One more session would spoil those that are open.
            None => SessionInput::NoServerAvailable,
        }
    }

    /// The first or last candidate, whichever has the lower load; by chance where they are alike. One that holds
    /// some of the group comes before one that doesn't, as each server pays for a group once.
    fn less_loaded(&mut self, candidates: &[Candidate]) -> Option<ServerId> {
        let first = candidates.first()?;
        let second = candidates.last()?;
        let cost = |candidate: &Candidate| (!candidate.holds_group, candidate.load);
        let takes_first = match cost(first).partial_cmp(&cost(second)) {
            Some(order) => order.is_lt() || order.is_eq() && self.random.next_unit() < 0.5,
            None => false,
        };
        Some(if takes_first {
            first.server
        } else {
            second.server
        })
    }

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

    /// All servers as a session draws them, by weight. What is hashed ranks them alike at every proxy; else
    /// chance does.
    pub(super) fn rank_servers(&self, request: &SessionRequest) -> Vec<ServerId> {
        let shared_key = self.shared_hash_key(request);
        // Weights that sink as servers fill would move a group's home about.
        let is_even = shared_key.is_some() && self.deployment.weights_reflect_load;
        let key = shared_key.unwrap_or(self.random.state());
        let rank = |server: &Server| {
            let weight = if is_even {
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

    /// The key by which all proxies draw the same servers for a session.
    fn shared_hash_key(&self, request: &SessionRequest) -> Option<u64> {
        if self.deployment.packet_passthrough {
            Some(request.hash_key)
        } else {
            request.group
        }
    }
}

/// What is the same for every server as one session draws its candidates.
struct Selection<'a> {
    engine: &'a PlacementEngine,
    session: &'a Session,
    group_holders: Vec<ServerId>,
    /// Sessions of the other proxies that no report shows yet, at each server.
    unreported_sessions: f64,
    /// Whether zones in which it failed are left out, as another has a server that it may use.
    avoids_failed_zones: bool,
    /// Whether every server that it may use is ejected. Then all are used as if none were.
    all_are_ejected: bool,
}

impl<'a> Selection<'a> {
    fn new(engine: &'a PlacementEngine, session: &'a Session) -> Selection<'a> {
        let mut selection = Selection {
            engine,
            session,
            group_holders: engine.groups.holders(session.request.group),
            unreported_sessions: engine.unreported_sessions_per_server(),
            avoids_failed_zones: false,
            all_are_ejected: false,
        };
        let ranked = &session.ranked_servers;
        selection.avoids_failed_zones = engine.pacing.no_session_opened_since_failure(session)
            && ranked
                .iter()
                .any(|&id| !selection.failed_in_zone_of(id) && engine.may_dial(session, id));
        selection.all_are_ejected = !ranked.iter().any(|&id| {
            selection.zone_admits(id) && selection.is_available(id) && engine.may_dial(session, id)
        });
        selection
    }

    /// Two candidates of the first pool that has any.
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

    /// Whether more servers may be probed by the time that the `nth` pool is looked at.
    fn may_probe_for(&self, nth: u32) -> bool {
        self.engine.deployment.may_probe
            && self.engine.now < self.session.probe_deadline
            && self.session.probes_requested < POOL_DEPTH * nth
    }

    fn draw_from(&self, pool: Pool, may_probe: bool) -> Vec<Candidate> {
        let limit = self.load_limit(pool.limit);
        // A server without a fresh answer may have room, so it is probed.
        let may_have_room = |candidate: &Candidate| {
            candidate.load < limit || may_probe && !candidate.has_fresh_answer
        };
        let is_hashed = self.engine.shared_hash_key(&self.session.request).is_some();
        let only_first_two = pool.first_two_of_group && is_hashed;
        self.session
            .ranked_servers
            .iter()
            .copied()
            .filter(|&id| self.is_in_pool(pool.members, id) && self.is_usable(pool.members, id))
            .take(POOL_DEPTH as usize)
            .map(|id| self.candidate(id))
            .filter(|candidate| only_first_two || may_have_room(candidate))
            .take(2)
            .filter(may_have_room)
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

    fn is_in_pool(&self, members: PoolMembers, id: ServerId) -> bool {
        match members {
            PoolMembers::OwnZone => self.zone(id) == self.engine.deployment.zone,
            PoolMembers::GroupHolders => self.holds_group(id),
            PoolMembers::All => true,
            PoolMembers::Ejected => {
                let answers = self.engine.server(id).probes.last_was_answered();
                answers && !self.session.failed_servers.contains(&id)
            }
        }
    }

    fn is_usable(&self, members: PoolMembers, id: ServerId) -> bool {
        let ejection_counts = members != PoolMembers::Ejected && !self.all_are_ejected;
        self.zone_admits(id)
            && (!ejection_counts || self.is_available(id))
            && self.engine.may_dial(self.session, id)
    }

    /// Whether a server is not ejected, late with a probe or one where this session failed.
    fn is_available(&self, id: ServerId) -> bool {
        let server = self.engine.server(id);
        let now = self.engine.now;
        let failed_this = self.session.failed_servers.contains(&id)
            || self.avoids_failed_zones && self.failed_in_zone_of(id);
        // A session that waited for a late answer would wait for the dial's timeout next.
        !server.ejection.is_active(now) && !server.probes.is_late(now) && !failed_this
    }

    fn failed_in_zone_of(&self, id: ServerId) -> bool {
        self.session
            .failed_servers
            .iter()
            .any(|&failed| self.zone(failed) == self.zone(id))
    }

    fn zone_admits(&self, id: ServerId) -> bool {
        let zone = self.zone(id);
        self.engine.zone_shares.admits(zone, self.session.zone_draw)
    }

    fn zone(&self, id: ServerId) -> u8 {
        self.engine.server(id).endpoint.zone
    }

    /// Always for a session without a group.
    fn holds_group(&self, id: ServerId) -> bool {
        self.session.request.group.is_none() || self.group_holders.contains(&id)
    }

    fn candidate(&self, id: ServerId) -> Candidate {
        let engine = self.engine;
        let server = engine.server(id);
        // A cold server can do less, so that a connection takes a larger share of it.
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
