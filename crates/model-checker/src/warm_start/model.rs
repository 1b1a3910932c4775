//! State of the warm-start model, and the messages between proxies, endpoints and discovery.

use super::action::{DiscoveryList, DiskState, WarmStartAction};
use super::proxy::{
    ENDPOINT_COUNT, FORMER_ENDPOINTS, PROXY_COUNT, ProxyModel, REPLACED_ENDPOINT,
    REPLACEMENT_ENDPOINT, SETTINGS,
};
use super::violation::WarmStartViolation;
use crate::model::Model;
#[cfg(feature = "injected-faults")]
use asterramp_warm_start::InjectedFault;
use asterramp_warm_start::{EndpointId, InformationAge, WarmStart, WarmStartStage};
use std::collections::BTreeSet;
use std::time::Duration;

/// The time in the initial state.
const START_TIME: Duration = Duration::from_secs(1_000);
/// Step by which the clock advances.
const TICK: Duration = Duration::from_millis(500);
/// Ticks within which a warm start must reach normal service if no further faults occur and the proxy knows an
/// endpoint.
const TICKS_TO_RECOVER: usize = 40;

/// State of the model: three proxies and their endpoints.
#[derive(Clone, Debug)]
pub struct WarmStartModel {
    now: Duration,
    /// The running proxies; `None` for one that is stopped.
    proxies: [Option<ProxyModel>; PROXY_COUNT],
    /// Whether each endpoint is up, by its id.
    endpoint_up: [bool; ENDPOINT_COUNT],
    #[cfg(feature = "injected-faults")]
    injected_fault: Option<InjectedFault>,
}

impl Default for WarmStartModel {
    fn default() -> Self {
        WarmStartModel::new()
    }
}

impl WarmStartModel {
    /// The initial state: no proxy is running, and endpoint 1 has been replaced by endpoint 2.
    pub fn new() -> WarmStartModel {
        WarmStartModel {
            now: START_TIME,
            proxies: [None, None, None],
            endpoint_up: [true, false, true],
            #[cfg(feature = "injected-faults")]
            injected_fault: None,
        }
    }

    /// As [`WarmStartModel::new`], with a fault injected into the production code.
    #[cfg(feature = "injected-faults")]
    pub fn with_fault(injected_fault: InjectedFault) -> WarmStartModel {
        WarmStartModel {
            injected_fault: Some(injected_fault),
            ..WarmStartModel::new()
        }
    }

    /// Applies an action without checking the resulting state.
    fn perform(&mut self, action: WarmStartAction) {
        match action {
            WarmStartAction::TogglePower { proxy, disk } => self.toggle_power(proxy, disk),
            WarmStartAction::FinishProbe { proxy, endpoint } => self.finish_probe(proxy, endpoint),
            WarmStartAction::AnswerPeer { asking, answering } => {
                self.answer_peer(asking, answering);
            }
            WarmStartAction::ToggleEndpoint(endpoint) => self.toggle_endpoint(endpoint),
            WarmStartAction::SendList { proxy, list } => self.send_list(proxy, list),
            WarmStartAction::SendListBegunAnew { proxy } => {
                let ready = self.endpoints_that_are_up();
                self.update(proxy, |proxy, now| {
                    proxy.receive_list_begun_anew(now, &ready)
                });
            }
            WarmStartAction::Delist { proxy, endpoint } => {
                self.update(proxy, |proxy, now| proxy.receive_delisting(now, endpoint));
            }
            WarmStartAction::ListReplacement { proxy } => {
                self.update(proxy, |proxy, now| {
                    proxy.receive_listing(now, REPLACEMENT_ENDPOINT)
                });
            }
            WarmStartAction::TimePasses => self.advance_clock(),
        }
    }

    /// Passes an event to a proxy, if it is running, and carries out the resulting effects.
    fn update(&mut self, proxy: usize, handle_event: impl FnOnce(&mut ProxyModel, Duration)) {
        if let Some(proxy) = &mut self.proxies[proxy] {
            handle_event(proxy, self.now);
            proxy.carry_out_effects(self.now);
        }
    }

    fn toggle_power(&mut self, number: usize, disk: DiskState) {
        if self.proxies[number].take().is_some() {
            return;
        }
        let proxy = ProxyModel::new(number, self.new_warm_start(), self.now);
        self.proxies[number] = Some(proxy);
        self.update(number, |proxy, now| match disk {
            DiskState::FreshSnapshot => proxy.read_snapshot(now, InformationAge::Fresh),
            DiskState::FutureSnapshot => proxy.read_snapshot(now, InformationAge::Unknown),
            DiskState::Empty => {}
        });
    }

    fn new_warm_start(&self) -> WarmStart {
        #[cfg_attr(not(feature = "injected-faults"), allow(unused_mut))]
        let mut warm_start = WarmStart::new(self.now, SETTINGS);
        #[cfg(feature = "injected-faults")]
        {
            warm_start.injected_fault = self.injected_fault;
        }
        warm_start
    }

    fn finish_probe(&mut self, proxy: usize, endpoint: EndpointId) {
        let is_up = self.endpoint_up[endpoint as usize];
        self.update(proxy, |proxy, now| proxy.finish_probe(now, endpoint, is_up));
    }

    /// A peer that is not running counts as one without responsive endpoints.
    fn answer_peer(&mut self, asking: usize, answering: usize) {
        let responsive = self.proxies[answering]
            .as_ref()
            .map(ProxyModel::responsive_endpoints)
            .unwrap_or_default();
        self.update(asking, |proxy, now| {
            proxy.receive_peer_answer(now, answering, responsive);
        });
    }

    /// Of the two endpoints that share an address, at most one is up.
    fn toggle_endpoint(&mut self, endpoint: EndpointId) {
        let is_up = !self.endpoint_up[endpoint as usize];
        self.endpoint_up[endpoint as usize] = is_up;
        if is_up && let Some(other) = other_at_address(endpoint) {
            self.endpoint_up[other as usize] = false;
        }
    }

    fn endpoints_that_are_up(&self) -> Vec<EndpointId> {
        (0..ENDPOINT_COUNT as EndpointId)
            .filter(|endpoint| self.endpoint_up[*endpoint as usize])
            .collect()
    }

    fn send_list(&mut self, proxy: usize, list: DiscoveryList) {
        let ready = match list {
            DiscoveryList::Empty => Vec::new(),
            DiscoveryList::Warm | DiscoveryList::Cold => self.endpoints_that_are_up(),
        };
        let is_cold = list == DiscoveryList::Cold;
        self.update(proxy, |proxy, now| proxy.receive_list(now, &ready, is_cold));
    }

    /// Advances the clock by one tick and lets each running proxy handle its deadlines that have passed.
    fn advance_clock(&mut self) {
        self.now += TICK;
        for proxy in 0..PROXY_COUNT {
            self.update(proxy, ProxyModel::handle_deadlines);
        }
    }

    fn finish_all_probes(&mut self, proxy: usize) {
        let in_flight = self.proxies[proxy]
            .as_ref()
            .map(|proxy| proxy.probes_in_flight.clone())
            .unwrap_or_default();
        for endpoint in in_flight {
            self.finish_probe(proxy, endpoint);
        }
    }

    /// Checks that warm starts end if no further faults occur: the former endpoints are up, all probes are answered
    /// and, with `has_discovery`, discovery lists those endpoints. Every proxy that knows an endpoint must then reach
    /// normal service; with discovery, every proxy must, and it must use exactly the listed endpoints.
    fn check_recovery(&self, has_discovery: bool) -> Result<(), WarmStartViolation> {
        let mut model = self.clone();
        model.endpoint_up = [true, true, false];
        if has_discovery {
            (0..PROXY_COUNT).for_each(|proxy| model.send_list(proxy, DiscoveryList::Cold));
        }
        for _ in 0..TICKS_TO_RECOVER {
            (0..PROXY_COUNT).for_each(|proxy| model.finish_all_probes(proxy));
            model.advance_clock();
        }
        for (number, proxy) in model.running_proxies() {
            let stage = proxy.warm_start.stage();
            let must_be_normal = has_discovery || proxy.knows_any_endpoint(&model.endpoint_up);
            if must_be_normal && stage != WarmStartStage::Normal {
                return Err(WarmStartViolation::NeverNormal {
                    proxy: number,
                    stage: stage.name(),
                });
            }
            if has_discovery && proxy.used_endpoints != BTreeSet::from(FORMER_ENDPOINTS) {
                return Err(WarmStartViolation::ListNotFollowed {
                    proxy: number,
                    used: proxy.used_endpoints.clone(),
                });
            }
        }
        Ok(())
    }

    fn running_proxies(&self) -> impl Iterator<Item = (usize, &ProxyModel)> {
        let proxies = self.proxies.iter().enumerate();
        proxies.filter_map(|(number, proxy)| Some((number, proxy.as_ref()?)))
    }
}

/// The endpoint that shares its address with `endpoint`, if there is one.
fn other_at_address(endpoint: EndpointId) -> Option<EndpointId> {
    match endpoint {
        REPLACED_ENDPOINT => Some(REPLACEMENT_ENDPOINT),
        REPLACEMENT_ENDPOINT => Some(REPLACED_ENDPOINT),
        _ => None,
    }
}

/// The disk contents with which a proxy may start. Proxies differ only in these: between them, proxies 0 and 1 cover
/// every kind, and proxy 2 has the usual one.
fn possible_disks(proxy: usize) -> &'static [DiskState] {
    match proxy {
        0 => &[DiskState::FreshSnapshot, DiskState::FutureSnapshot],
        1 => &[DiskState::Empty],
        _ => &[DiskState::FreshSnapshot],
    }
}

/// Actions that are possible for a running proxy. `is_replacement_up` tells whether the replacement endpoint is up.
fn running_proxy_actions(
    number: usize,
    proxy: &ProxyModel,
    is_replacement_up: bool,
) -> Vec<WarmStartAction> {
    use WarmStartAction::*;
    let mut actions = vec![TogglePower {
        proxy: number,
        disk: DiskState::Empty,
    }];
    let probes = proxy.probes_in_flight.iter();
    actions.extend(probes.map(|endpoint| FinishProbe {
        proxy: number,
        endpoint: *endpoint,
    }));
    let peers = proxy.awaited_peers.iter();
    actions.extend(peers.map(|peer| AnswerPeer {
        asking: number,
        answering: *peer,
    }));
    if proxy.listed_endpoints.is_none() {
        actions.extend(proxy.used_endpoints.iter().map(|endpoint| Delist {
            proxy: number,
            endpoint: *endpoint,
        }));
        actions.extend(is_replacement_up.then_some(ListReplacement { proxy: number }));
    }
    let lists = [
        DiscoveryList::Warm,
        DiscoveryList::Cold,
        DiscoveryList::Empty,
    ];
    actions.extend(lists.map(|list| SendList {
        proxy: number,
        list,
    }));
    actions.push(SendListBegunAnew { proxy: number });
    actions
}

impl Model for WarmStartModel {
    type Action = WarmStartAction;
    type Violation = WarmStartViolation;
    type Fingerprint = String;

    fn fingerprint(&self) -> String {
        let proxies = self.proxies.iter().map(|proxy| {
            let running = proxy.as_ref();
            running.map_or_else(|| "-".to_string(), |proxy| proxy.fingerprint(self.now))
        });
        let proxies: Vec<String> = proxies.collect();
        format!("{:?}|{}", self.endpoint_up, proxies.join("|"))
    }

    fn actions(&self) -> Vec<WarmStartAction> {
        let mut actions = vec![WarmStartAction::TimePasses];
        let endpoints = 0..ENDPOINT_COUNT as EndpointId;
        actions.extend(endpoints.map(WarmStartAction::ToggleEndpoint));
        for (number, proxy) in self.proxies.iter().enumerate() {
            match proxy {
                Some(proxy) => {
                    let is_replacement_up = self.endpoint_up[REPLACEMENT_ENDPOINT as usize];
                    actions.extend(running_proxy_actions(number, proxy, is_replacement_up));
                }
                None => actions.extend(possible_disks(number).iter().map(|disk| {
                    WarmStartAction::TogglePower {
                        proxy: number,
                        disk: *disk,
                    }
                })),
            }
        }
        actions
    }

    fn apply(&mut self, action: WarmStartAction) -> Result<(), WarmStartViolation> {
        self.perform(action);
        let running_proxies = self.proxies.iter_mut().flatten();
        let violation = running_proxies
            .filter_map(|proxy| proxy.violation.take())
            .next();
        violation.map_or(Ok(()), Err)?;
        let (now, endpoint_up) = (self.now, &self.endpoint_up);
        let mut running = self.proxies.iter().flatten();
        running.try_for_each(|proxy| proxy.check(now, endpoint_up))
    }

    fn check(&self) -> Result<(), WarmStartViolation> {
        self.check_recovery(false)?;
        self.check_recovery(true)
    }
}
