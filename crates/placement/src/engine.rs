//! Every decision of a proxy: where a session is dialled, when again, refused or torn down; what is asked.
//!
//! Make one `Choice` a proxy from its `Deployment` and a nonce, hand it each `Event` with the time since the
//! clock began, and carry out the `Action`s that it appends, in order. The interface is those three types, in
//! `deployment.rs`, `event.rs` and `action.rs`; `docs/design.md` tells Charon from what departs from it.

use crate::action::Action;
use crate::deployment::{Deployment, IdempotencyScope, RetrySafety};
use crate::endpoint_polling::{PollBackoff, poll_wait};
use crate::event::{
    EndpointState, EndpointUpdate, Event, Load, Observation, Outcome, ServerId, SessionId,
    SessionRequest,
};
use crate::group_table::GroupTable;
use crate::load_estimate::{LoadEstimate, MAX_REPORT_AGE};
use crate::outlier_ejection::BASE_EJECTION;
use crate::peer_traffic::DialRate;
use crate::random::{RandomSource, hash_to_unit};
use crate::retry_budget::RetryBudget;
use crate::server::Server;
use crate::session::{Attempt, Session, SessionEffect, SessionInput, SessionState};
use crate::session_pacing::SessionPacing;
use crate::slow_start::{DialAllowance, SlowStart};
use crate::timers::{Timer, TimerQueue};
use crate::zone_shares::ZoneShares;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
/// Pace at which a server in use is probed, and from how many connections of our own it is kept.
const PROBE: Duration = Duration::from_millis(1000);
const ASKS: u32 = 8;
/// Share of a server from which it is not preferred for being near and takes a group only as one of its
/// first two, and from which not even then.
const NEAR: f64 = 0.5;
const ROOM: f64 = 0.75;
/// Share from which it takes no more, and from which it is relieved down to that.
const FULL: f64 = 0.85;
const OVER: f64 = 0.95;
/// Times its capacity that a late server is relieved of for each second piled up, by others' room.
const CLEAR: f64 = 3.0;
/// Part of the last room that is kept from sessions worth nothing, and in proportion from those worth less.
const SPARE: f64 = 0.1;
/// How much sooner than its servers forget it a referenced session is sent no more: the platform's slack.
const EDGE: Duration = Duration::from_millis(50);

struct Candidate {
    id: ServerId,
    load: f64,
    holds: bool,
    fresh: bool,
}

#[derive(Clone, Debug, Default)]
pub struct PlacementEngine {
    facts: Deployment,
    random: RandomSource,
    now: Duration,
    sessions: Vec<Session>,
    servers: Vec<Server>,
    timers: TimerQueue,
    poll_backoff: PollBackoff,
    dials: RetryBudget,
    pacing: SessionPacing,
    dial_rate: DialRate,
    groups: GroupTable,
    /// What a connection takes of a server, over all that told, and how many of ours warm ones bear.
    unit: Option<f64>,
    bears: f64,
    slow_start: SlowStart,
    zone_shares: ZoneShares,
    set_up: Option<Duration>,
}

impl PlacementEngine {
    pub fn new(facts: Deployment, nonce: u64) -> Self {
        let facts = Deployment {
            proxy_count: facts.proxy_count.max(1),
            ..facts
        };
        let dials = RetryBudget::new(facts.retry_budget);
        let slow_start = SlowStart::new(facts.slow_start);
        let mut choice = PlacementEngine {
            facts,
            slow_start,
            dials,
            ..PlacementEngine::default()
        };
        choice.reseed(nonce);
        choice
    }

    /// Draws by another nonce from now on.
    pub fn reseed(&mut self, nonce: u64) {
        self.random = RandomSource::seeded(nonce);
    }

    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if self.set_up.is_none() {
            self.set_up = Some(Duration::ZERO);
            self.survey();
            out.push(Action::SetTimer { after: TICK });
            out.extend(
                self.facts
                    .endpoint_poll_delay
                    .map(|_| Action::PollEndpoints),
            );
        }
        match event {
            Event::Endpoints(roster) => self.learn(roster),
            Event::SessionRequested(arrival) => self.enter(arrival, None, out),
            Event::SessionInherited(arrival, server) => self.enter(arrival, Some(server), out),
            Event::SessionOpened {
                session: sess,
                dial,
            } => self.advance(sess, Some(dial), SessionInput::Opened, out),
            Event::AttemptEnded {
                session: sess,
                dial,
                outcome,
                session_over: over,
                load,
            } => {
                self.ended(sess, dial, outcome, load);
                self.advance(
                    sess,
                    Some(dial),
                    if over {
                        SessionInput::Closed
                    } else {
                        SessionInput::AttemptFailed
                    },
                    out,
                );
            }
            Event::Observed {
                server,
                observation: Observation::Delay(span),
                ..
            } => self.delayed(server, span, out),
            Event::ProbeEnded {
                server,
                outcome,
                load,
            } => self.probed(server, outcome, load, out),
            Event::ClientLeft { session: sess } => {
                self.advance(sess, None, SessionInput::ClientLeft, out)
            }
            Event::ZoneShare { zone, share: open } => self.narrow(zone, open, out),
            Event::ProbeRequested { server } if self.facts.may_probe => self.probe(server, out),
            Event::ProbeRequested { .. } | Event::Observed { .. } => {}
            Event::Tick => self.tick(out),
        }
    }

    /// Messages over their target are served nothing, though reports may not say so, or say it late. What is
    /// piled up there keeps them late, so the more it is, the more leave, as far as others have room.
    fn delayed(&mut self, server: ServerId, span: Duration, out: &mut Vec<Action>) {
        if self
            .facts
            .listeners
            .iter()
            .any(|l| l.message_target.is_some_and(|target| span > target))
        {
            let load = self
                .mean(|s| Some(s.load.load_per_connection()? * s.load.aged_score(self.now)))
                .unwrap_or(NEAR);
            let piled = CLEAR * (FULL - load).max(0.0) * span.as_secs_f64();
            self.relieve(server, Some(1.0 + piled), out);
        }
    }

    /// A zone is lost, or used again by degrees: each session goes there by its own number. Of a lost one all
    /// are silent. Who is there leaves at the next failing probe: all at once would spread groups more.
    fn narrow(&mut self, zone: u8, open: f64, out: &mut Vec<Action>) {
        self.zone_shares.set(zone, open);
        let there = |s: &Server| open <= 0.0 && s.endpoint.zone == zone && s.is_ready();
        for id in 0..self.servers.len() {
            if there(&self.servers[id]) {
                let s = &mut self.servers[id];
                s.probes.mark_unresponsive();
                let waiting = s.probes.take_waiting();
                waiting
                    .into_iter()
                    .for_each(|sess| self.advance(sess, None, SessionInput::ProbesAnswered, out));
            }
        }
    }

    /// How many servers that are listed it leaves alone for now, as they fail or say nothing.
    pub fn avoided(&self, now: Duration) -> usize {
        let listed = self
            .servers
            .iter()
            .filter(|s| s.endpoint.state != EndpointState::Gone);
        listed
            .filter(|s| s.ejection.is_active(now) || s.probes.is_unresponsive())
            .count()
    }

    fn enter(&mut self, arrival: SessionRequest, held_by: Option<ServerId>, out: &mut Vec<Action>) {
        let (at, dialled) = (arrival.session as usize, self.now);
        held_by.is_none().then(|| self.dials.took(dialled));
        grow(&mut self.sessions, at);
        let listener = self.facts.listeners.get(usize::from(arrival.listener));
        let Some(listener) = listener.filter(|_| self.sessions[at].state == SessionState::Over)
        else {
            return;
        };
        let (server, dials) = (held_by.unwrap_or_default(), u32::from(held_by.is_some()));
        grow(&mut self.servers, server as usize);
        let waits = (dialled + listener.handshake_target / 2)
            .min(arrival.dial_timeout.saturating_sub(TICK * 2));
        let fresh = (SessionState::Selecting, SessionInput::Requested);
        let (state, input) =
            held_by.map_or(fresh, |_| (SessionState::Dialing, SessionInput::Opened));
        let luck = self.random.next_unit();
        let order = if held_by.is_none() {
            self.order(&arrival)
        } else {
            Vec::new()
        };
        self.sessions[at] = Session {
            state,
            request: arrival,
            server,
            attempts: dials,
            dialed_at: dialled,
            ranked_servers: order,
            probe_deadline: waits,
            zone_draw: luck,
            ..Session::default()
        };
        self.advance(arrival.session, None, input, out);
    }

    /// Reads the table until a session rests. An input that speaks of an older `dial` is stray.
    fn advance(
        &mut self,
        sess: SessionId,
        dial: Option<u8>,
        input: SessionInput,
        out: &mut Vec<Action>,
    ) {
        let mut next = self.speaks_of(sess, dial).then_some(input);
        while let Some(input) = next {
            let s = &mut self.sessions[sess as usize];
            let Some(effect) = s.transition(input) else {
                return;
            };
            let is_over = s.state == SessionState::Over;
            next = self.effect(sess, effect, out);
            if is_over {
                out.push(Action::Forget { session: sess });
            }
        }
    }

    fn speaks_of(&self, sess: SessionId, dial: Option<u8>) -> bool {
        self.sessions
            .get(sess as usize)
            .is_some_and(|s| dial.is_none_or(|d| u32::from(d) + 1 == s.attempts))
    }

    fn effect(
        &mut self,
        sess: SessionId,
        effect: SessionEffect,
        out: &mut Vec<Action>,
    ) -> Option<SessionInput> {
        let (now, s) = (self.now, &self.sessions[sess as usize]);
        let (id, dialled, dial) = (s.server as usize, s.dialed_at, s.attempt_number());
        let group = s.request.group;
        match effect {
            SessionEffect::Nothing => {}
            SessionEffect::SelectServer => return Some(self.place(sess, out)),
            SessionEffect::SendFinalAnswer => {
                (now >= s.request.dial_timeout || self.pacing.is_active())
                    .then(|| self.hold_back(sess));
                out.push(self.answer(sess));
            }
            SessionEffect::RecordOpened => {
                let span = now.saturating_sub(dialled);
                let was_slow = span > self.half(sess);
                self.pacing.record_opened(now, was_slow);
                self.set_up = self.set_up.map(|before| (before * 7 + span) / 8);
                let s = &mut self.servers[id];
                s.open_connections += 1;
                s.ejection.record_success();
                s.load.reset_to_report(now);
                self.groups.add(group, id as ServerId);
            }
            SessionEffect::CancelAttempt => {
                self.take_back(sess);
                out.extend(self.facts.may_cancel.then_some(Action::Cancel {
                    session: sess,
                    dial,
                }));
            }
            SessionEffect::ReleaseConnection => {
                let s = &mut self.servers[id];
                s.open_connections = s.open_connections.saturating_sub(1);
                s.load.record_completion(now);
                self.groups.remove(group, id as ServerId);
            }
        }
        None
    }

    /// How many others are as busy as we are, by the connections that they hold: who leaves sends no more.
    fn others(&self) -> f64 {
        let counts = self.servers.iter().filter_map(|s| {
            Some((
                s.load.reported_connections()?,
                f64::from(s.open_connections),
            ))
        });
        let (all, ours) = counts.fold((0.0, 0.0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        let theirs = if all > 0.0 {
            (all - ours) / ours.max(1.0)
        } else {
            f64::MAX
        };
        theirs.clamp(0.0, f64::from(self.facts.proxy_count) - 1.0)
    }

    /// What they send a server unseen while a count is as old as it may be.
    fn crowd(&self, others: f64) -> f64 {
        self.dial_rate
            .unreported_per_server(self.now, others, self.servers.len())
    }

    /// A bump of the score: a connection, and what the others send to one of two drawn. A client that comes
    /// again is in late counts already, where it was before, and often came from the others.
    fn bump(&self, sess: SessionId) -> f64 {
        let others = if self.sessions[sess as usize].request.reconnecting {
            0.0
        } else {
            self.others()
        };
        1.0 + (2.0 * self.crowd(others)).min(others)
    }

    fn probe(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(id as usize) else {
            return;
        };
        let jitter = TICK.mul_f64(2.0 * self.random.next_unit());
        if s.probes.request(self.now + jitter) {
            out.push(Action::Probe { server: id });
        }
    }

    fn take_back(&mut self, sess: SessionId) {
        let (bump, sess) = (self.bump(sess), &self.sessions[sess as usize]);
        let s = &mut self.servers[sess.server as usize];
        s.load.take_back_dial(self.now, sess.dialed_at, bump);
    }

    /// Charon's choice, then the gate. A candidate whose count is old is asked first.
    fn place(&mut self, sess: SessionId, out: &mut Vec<Action>) -> SessionInput {
        let (ask, drawn) = self.draw_two(sess);
        match self.lower(&drawn) {
            Some(_) if ask => self.ask(sess, &drawn, out),
            Some(chosen) => self.send(sess, chosen, out),
            // One more session would spoil those that stand.
            None => SessionInput::GivenUp,
        }
    }

    /// Two candidates of the best pool that is not empty, and whether to ask them first.
    fn draw_two(&self, sess: SessionId) -> (bool, Vec<Candidate>) {
        let (crowd, s) = (self.crowd(self.others()), &self.sessions[sess as usize]);
        let asks = if self.facts.may_probe && self.now < s.probe_deadline {
            s.probes_requested
        } else {
            u32::MAX
        };
        let (group, hashed) = (s.request.group, self.hashed(&s.request).is_some());
        let holders = self.groups.holders(group);
        let near = |id: ServerId| self.servers[id as usize].endpoint.zone == self.facts.zone;
        let holds = |id: ServerId| group.is_none() || holders.contains(&id);
        // A server that fails or hangs rests, or its zone, unless all do. One that leaves a probe unanswered
        // would be waited for again; that harms where slow ones would serve all the same.
        let quiet = |to: &Server| to.probes.is_late(self.now);
        let zone = |id: ServerId| self.servers[id as usize].endpoint.zone;
        let erred = |id| s.failed_servers.iter().any(|&f| zone(f) == zone(id));
        let away = self.pacing.failed_everywhere(s)
            && s.ranked_servers
                .iter()
                .any(|&id| !erred(id) && self.may_send(sess, id));
        let rested = |id| {
            let to: &Server = &self.servers[id as usize];
            let left = s.failed_servers.contains(&id) || away && erred(id);
            !to.ejection.is_active(self.now) && !quiet(to) && !left
        };
        let open = |id: ServerId| self.zone_shares.admits(zone(id), s.zone_draw);
        let all_rest = !s
            .ranked_servers
            .iter()
            .any(|&id| open(id) && rested(id) && self.may_send(sess, id));
        // Before a session is refused, one at rest that answers probes may take it.
        let trial = |id: ServerId| {
            self.servers[id as usize].probes.last_was_answered() && !s.failed_servers.contains(&id)
        };
        let usable =
            |id, nth| open(id) && (nth == 6 || all_rest || rested(id)) && self.may_send(sess, id);
        let candidate = |id: ServerId| {
            let to = &self.servers[id as usize];
            // A cold server can do less, so its connections take larger shares.
            let mean = self.unit.unwrap_or(f64::EPSILON);
            let unit = to
                .load
                .load_per_connection()
                .unwrap_or(mean / self.warmth(to, self.now));
            let fresh = to.probes.has_fresh_answer(self.now);
            Candidate {
                id,
                load: (to.load.aged_score(self.now) + crowd + 1.0) * unit,
                holds: holds(id),
                fresh,
            }
        };
        // A group takes its first two near by, then any server that we know to hold it, then the first two of
        // the order that all proxies share; walking on would spread it, and each server pays for it anew.
        let pools: [&dyn Fn(ServerId) -> bool; 6] =
            [&near, &holds, &|_| true, &|_| true, &holds, &trial];
        let worth = self.facts.listeners[usize::from(s.request.listener)].priority_weight;
        let full = FULL * (1.0 - SPARE * (1.0 - worth));
        let limits = [
            (NEAR, hashed),
            (ROOM, false),
            (ROOM, hashed),
            (NEAR, false),
            (full, false),
            (NEAR, false),
        ];
        for (nth, (fits, (limit, first_two))) in (1..).zip(pools.into_iter().zip(limits)) {
            let may_ask = asks < ASKS * nth;
            let room = |c: &Candidate| c.load < limit || may_ask && !c.fresh;
            let reach = s
                .ranked_servers
                .iter()
                .copied()
                .filter(|id| fits(*id) && usable(*id, nth))
                .take(ASKS as usize);
            let two = reach
                .map(candidate)
                .filter(|c| first_two || room(c))
                .take(2);
            let drawn: Vec<Candidate> = two.filter(room).collect();
            if !drawn.is_empty() {
                return (may_ask && drawn.iter().any(|c| !c.fresh), drawn);
            }
        }
        (false, Vec::new())
    }

    /// What all proxies draw alike by.
    fn hashed(&self, arrival: &SessionRequest) -> Option<u64> {
        if self.facts.packet_passthrough {
            Some(arrival.hash_key)
        } else {
            arrival.group
        }
    }

    fn ask(&mut self, sess: SessionId, drawn: &[Candidate], out: &mut Vec<Action>) -> SessionInput {
        let deadline = self.sessions[sess as usize].probe_deadline;
        self.timers.schedule(deadline, Timer::ProbeWaitOver(sess));
        for c in drawn.iter().filter(|c| !c.fresh) {
            if self.servers[c.id as usize].probes.add_waiting(sess) {
                self.sessions[sess as usize].probes_requested += 1;
            }
            self.probe(c.id, out);
        }
        SessionInput::ProbesSent
    }

    /// All servers as a session draws them, by weight; by chance where nothing is hashed.
    fn order(&self, arrival: &SessionRequest) -> Vec<ServerId> {
        let hashed = self.hashed(arrival);
        let even = hashed.is_some() && self.facts.weights_reflect_load;
        let rank = |(id, to): (ServerId, &Server)| {
            let weight = if even {
                1.0
            } else {
                to.endpoint.weight.max(1e-6)
            };
            (
                -hash_to_unit(hashed.unwrap_or(self.random.state()), to.endpoint.hash_key)
                    .max(1e-12)
                    .ln()
                    / weight,
                id,
            )
        };
        let mut ranked: Vec<(f64, ServerId)> = (0..).zip(&self.servers).map(rank).collect();
        ranked.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        ranked.into_iter().map(|r| r.1).collect()
    }

    /// The one of the two with the lower aged score, counted in its units.
    fn lower(&mut self, drawn: &[Candidate]) -> Option<ServerId> {
        // Each server that holds any of a group pays for it once.
        let (first, second) = (drawn.first()?, drawn.last()?);
        let cost = |c: &Candidate| (!c.holds, c.load);
        let order = cost(first).partial_cmp(&cost(second));
        let wins = order.is_some_and(|o| o.is_lt() || o.is_eq() && self.random.next_unit() < 0.5);
        Some(if wins { first.id } else { second.id })
    }

    fn mean(&self, of: impl Fn(&Server) -> Option<f64>) -> Option<f64> {
        let ready = self.servers.iter().filter(|s| s.is_ready());
        let (sum, n) = ready
            .filter_map(of)
            .fold((0.0, 0.0), |(sum, n), x| (sum + x, n + 1.0));
        (n > 0.0).then_some(sum / n)
    }

    /// Share of its capacity that a server has at least.
    fn warmth(&self, s: &Server, now: Duration) -> f64 {
        self.slow_start.warmth(s.endpoint.started_at, now)
    }

    /// The one gate: each rule stands here, and every dial passes.
    fn may_send(&self, sess: SessionId, id: ServerId) -> bool {
        let (s, to) = (&self.sessions[sess as usize], &self.servers[id as usize]);
        let answered = s.state != SessionState::Selecting || self.now >= s.request.dial_timeout;
        let spent = s.attempts >= self.facts.max_attempts.max(1)
            || s.attempts > 0 && !self.dials.allows(self.now);
        let spent = spent
            || s.failed_servers.len() > 1 && self.pacing.failed_everywhere(s)
            || s.attempts > 0 && self.pacing.forbids_retries();
        let drained = !to.is_ready();
        let started_at = to.endpoint.started_at;
        let cold = self
            .slow_start
            .is_exhausted(&to.allowance, started_at, self.now);
        let twice = s.first_execution.is_some_and(|first| {
            let sent = first.dialed_at;
            let first = &self.servers[first.server as usize].endpoint;
            match self.kind(s) {
                RetrySafety::Idempotent => false,
                RetrySafety::NotIdempotent => true,
                RetrySafety::IdempotencyKey(_, ttl) if self.now + EDGE >= sent + ttl => true,
                RetrySafety::IdempotencyKey(IdempotencyScope::All, _) => false,
                RetrySafety::IdempotencyKey(IdempotencyScope::Zone, _) => {
                    first.zone != to.endpoint.zone
                }
                RetrySafety::IdempotencyKey(IdempotencyScope::Cell, _) => {
                    first.cell != to.endpoint.cell
                }
            }
        });
        !(answered || spent || drained || cold || twice)
    }

    fn send(&mut self, sess: SessionId, id: ServerId, out: &mut Vec<Action>) -> SessionInput {
        if !self.may_send(sess, id)
            || self
                .pacing
                .holds_back(&self.sessions[sess as usize], self.now)
        {
            return SessionInput::GivenUp;
        }
        let (now, bump, time_out) = (self.now, self.bump(sess), self.time_out(sess));
        let to = &mut self.servers[id as usize];
        to.load.record_dial(now, bump);
        let started_at = to.endpoint.started_at;
        to.allowance = self.slow_start.after_dial(&to.allowance, started_at, now);
        (self.sessions[sess as usize].attempts > 0).then(|| self.dials.spent(now));
        let s = &mut self.sessions[sess as usize];
        (s.server, s.attempts, s.dialed_at) = (id, s.attempts + 1, now);
        let pause = self.pacing.jittered_pause(&mut self.random);
        if self.sessions[sess as usize].attempts == 1 {
            self.pacing.record_first_dial(now, pause);
        }
        self.dial_rate.record(now);
        // A further dial of a referenced session has to be on its way before its mark is forgotten.
        let s = &self.sessions[sess as usize];
        let within = match (self.kind(s), s.first_execution) {
            (RetrySafety::IdempotencyKey(_, ttl), Some(first)) => {
                (first.dialed_at + ttl).saturating_sub(now + EDGE)
            }
            _ => time_out,
        };
        out.push(Action::Dial {
            session: sess,
            server: id,
            timeout: time_out,
            write_within: within,
        });
        SessionInput::Dialed
    }

    fn hold_back(&mut self, sess: SessionId) {
        let s = &self.sessions[sess as usize];
        self.pacing.record_failure(s, self.now, &mut self.random);
    }

    fn half(&self, sess: SessionId) -> Duration {
        self.facts.listeners[usize::from(self.sessions[sess as usize].request.listener)]
            .handshake_target
            / 2
    }

    /// Half the handshake target at first, so that a second dial can meet it, then twice as long each time.
    /// Where set-ups are slow everywhere it is more, or it would jam them with work that nobody awaits.
    fn time_out(&self, sess: SessionId) -> Duration {
        let s = &self.sessions[sess as usize];
        let left = s.request.dial_timeout.saturating_sub(self.now);
        let wait =
            (self.half(sess) * (1 << s.attempts.min(8))).max(self.set_up.unwrap_or_default() * 2);
        let last = s.attempts + 1 >= self.facts.max_attempts
            || self.pacing.lets_attempts_wait()
            || self.pacing.failed_everywhere(s);
        if last { left } else { wait.min(left) }
    }

    /// The final answer to a session given up on: a refusal where that promise can be kept, else a teardown.
    fn answer(&self, sess: SessionId) -> Action {
        let s = &self.sessions[sess as usize];
        let harmless = matches!(
            self.kind(s),
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey(IdempotencyScope::All, _)
        );
        let refusal = Action::Reject {
            session: sess,
            retry_after: self.facts.max_retry_after.min(BASE_EJECTION),
        };
        if harmless || s.first_execution.is_none() {
            refusal
        } else {
            Action::Fail { session: sess }
        }
    }

    fn kind(&self, s: &Session) -> RetrySafety {
        self.facts.listeners[usize::from(s.request.listener)].retry_safety
    }

    /// What the end of a dial or connection tells of its server.
    fn ended(&mut self, sess: SessionId, dial: u8, outcome: Outcome, load: Load) {
        if !self.speaks_of(sess, Some(dial)) {
            return;
        }
        let (now, s) = (self.now, &mut self.sessions[sess as usize]);
        let (id, setting_up, waited) = (
            s.server,
            s.state == SessionState::Dialing,
            now.saturating_sub(s.dialed_at),
        );
        let unrun = matches!(
            outcome,
            Outcome::Full | Outcome::Unreachable | Outcome::NeverSent
        );
        if setting_up {
            s.first_execution = s.first_execution.or((!unrun).then_some(Attempt {
                dialed_at: s.dialed_at,
                server: id,
            }));
            self.take_back(sess);
            // Slow for one is slow for the next: thin traffic would learn it too late from a mean.
            self.set_up = self
                .set_up
                .max((outcome == Outcome::TimedOut).then_some(waited * 2));
            let failed = matches!(outcome, Outcome::Erred | Outcome::TimedOut | Outcome::Reset);
            (failed && (dial > 0 || self.pacing.nothing_opened_yet()))
                .then(|| self.hold_back(sess));
            let tried = &mut self.sessions[sess as usize].failed_servers;
            let first = tried.first().copied();
            tried.extend(matches!(outcome, Outcome::Erred | Outcome::Reset).then_some(id));
            match (outcome, first) {
                (Outcome::Ok | Outcome::CalledOff | Outcome::NeverSent, _) => {}
                (Outcome::Erred | Outcome::Reset, Some(first)) => {
                    self.servers[first as usize].ejection.end(now);
                }
                _ => self.servers[id as usize].ejection.record_failure(now),
            }
        }
        self.report(id, load);
    }

    fn probed(&mut self, id: ServerId, outcome: Outcome, load: Load, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(id as usize) else {
            return;
        };
        let failed = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Reset
        );
        if failed {
            s.probes.record_failure();
        } else {
            s.probes.record_answer(self.now);
        }
        let again = failed && !s.probes.is_unresponsive() && s.open_connections > 0;
        let waiting = s.probes.take_waiting();
        if failed {
            s.ejection.record_failure(self.now);
        }
        again.then(|| self.probe(id, out));
        self.report(id, load);
        // Reports are late: what slows twice running, by over a tenth each, is by now as much slower again.
        let s = &mut self.servers[id as usize];
        let share = load.utilization.unwrap_or(0.0) / load.connections.unwrap_or(0.0).max(1.0);
        let again = s.update_slowdown(share);
        let more = if again > 1.1 { again * again } else { 1.0 };
        self.relieve(id, load.utilization.map(|asked| asked * more), out);
        waiting
            .into_iter()
            .for_each(|sess| self.advance(sess, None, SessionInput::ProbesAnswered, out));
    }

    fn report(&mut self, id: ServerId, load: Load) {
        let (now, mean) = (self.now, self.unit);
        self.servers[id as usize]
            .load
            .record_report(now, load, mean);
    }

    /// A server asked for more than it can do, or gone silent, serves none of its connections in time until
    /// some leave: each proxy moves its part of the excess, rounded by chance, smallest groups first.
    fn relieve(&mut self, id: ServerId, asked: Option<f64>, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(id as usize) else {
            return;
        };
        let keep = match asked {
            _ if s.next_relief_at > self.now => return,
            _ if s.probes.is_unresponsive() => 0.0,
            Some(asked) if asked > OVER => FULL / asked,
            _ => return,
        };
        s.next_relief_at = self.now + MAX_REPORT_AGE;
        let excess =
            (f64::from(s.open_connections) * (1.0 - keep) + self.random.next_unit()) as usize;
        let kin = |s: &Session| self.groups.count(s.request.group, id);
        let free = |s: &&Session| {
            (s.state, s.server, self.kind(s)) == (SessionState::Open, id, RetrySafety::Idempotent)
        };
        let here = self.sessions.iter().filter(free);
        let mut order: Vec<(usize, SessionId)> = here.map(|s| (kin(s), s.id())).collect();
        order.sort_unstable();
        for (_, sess) in order.into_iter().take(excess) {
            out.push(Action::Migrate { session: sess });
            self.advance(sess, None, SessionInput::ClientLeft, out);
        }
    }

    fn survey(&mut self) {
        self.unit = self.mean(|s| s.load.load_per_connection()).or(self.unit);
        // Where no report tells it: what a warm one bears of all of us, or each ever listed was planned for.
        let bears =
            |s: &Server| (self.warmth(s, self.now) >= 1.0).then_some(f64::from(s.open_connections));
        self.bears = self.mean(bears).unwrap_or(self.bears);
        let proxies = f64::from(self.facts.proxy_count);
        let planned = self.facts.planned_connections / self.servers.len().max(1) as f64;
        let bears = (self.bears * proxies).max(planned).max(1.0);
        let unit = self.unit.unwrap_or(1.0 / bears).max(1e-3);
        self.slow_start.set_fill_rate(unit, proxies);
        self.timers
            .schedule(self.now + PROBE, Timer::RefreshAverages);
    }

    fn learn(&mut self, roster: EndpointUpdate) {
        let inherited = matches!(roster, EndpointUpdate::Inherited(_));
        let (entries, whole) = match roster {
            EndpointUpdate::Failed => {
                let part = self
                    .poll_backoff
                    .record_failure(self.facts.proxy_count, &mut self.random);
                let wait = poll_wait(self.facts.endpoint_poll_delay, part);
                self.timers
                    .reschedule(self.now + wait, Timer::PollEndpoints);
                return;
            }
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Complete(list)
            | EndpointUpdate::Stale(list)
            | EndpointUpdate::Inherited(list) => (list, true),
        };
        // Changes of nothing only say that the call waits.
        if whole || !entries.is_empty() {
            self.poll_backoff.record_success();
        }
        self.servers
            .iter_mut()
            .filter(|_| whole)
            .for_each(|s| s.endpoint.state = EndpointState::Gone);
        let (t, v) = (
            self.now,
            self.mean(|s| Some(s.load.completion_rate())).unwrap_or(0.0),
        );
        let g = self.mean(|s| Some(s.load.aged_score(t))).unwrap_or(0.0);
        for entry in entries {
            grow(&mut self.servers, entry.server as usize);
            // One that cannot use all cold servers yet uses those that rank highest by its number and theirs.
            // What another process of this proxy had of it may be spent this moment.
            let first = hash_to_unit(u64::from(self.facts.proxy_index) + 1, entry.hash_key);
            let budget = if inherited { 0.0 } else { first };
            let s = &mut self.servers[entry.server as usize];
            let restarted = s.endpoint.started_at != entry.started_at;
            if restarted || !s.ejection.was_listed() {
                let load = LoadEstimate::starting_at(t, g, v, entry.load_per_connection);
                s.restart(load, DialAllowance::starting_at(t, budget));
            }
            s.endpoint = entry;
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: TICK });
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::PollEndpoints => out.push(Action::PollEndpoints),
                Timer::RefreshAverages => self.survey(),
                Timer::ProbeWaitOver(sess) => {
                    self.advance(sess, None, SessionInput::ProbesAnswered, out)
                }
            }
        }
        // A server that holds connections of ours is probed, the more it holds, the sooner.
        for id in 0..self.servers.len() as ServerId {
            let s = &self.servers[id as usize];
            let used = self.facts.may_probe && s.open_connections > 0 && s.is_ready();
            (used && s.probes.is_due(self.now, s.open_connections)).then(|| self.probe(id, out));
        }
    }
}

fn grow<T: Clone + Default>(list: &mut Vec<T>, at: usize) {
    if list.len() <= at {
        list.resize(at + 1, T::default());
    }
}
