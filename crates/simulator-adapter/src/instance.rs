//! One proxy instance of the simulator: its placement engine, and the translation of its events and actions.

use crate::error::RecordError;
use crate::id_table::IdTable;
use crate::translate;
use crate::wire::{
    EndpointListRecord, EventRecord, Fields, LoadReport, ServerAddress, SessionRecord, settings,
};
use asterramp_placement::event::{EndpointUpdate, ServerLoad, SessionId};
use asterramp_placement::settings::{self as engine_settings, LoadReportFormat};
use asterramp_placement::{PlacementAction, PlacementEngine, PlacementEvent};
use std::time::Duration;

/// One running instance.
pub(crate) struct Instance {
    engine: PlacementEngine,
    /// Listeners in the settings; valid indices are below it.
    listener_count: usize,
    /// Which values a load report contains, and in which order.
    load_report_format: LoadReportFormat,
    ids: IdTable,
}

impl Instance {
    /// Starts an instance with the random seed and settings of a start record.
    ///
    /// # Errors
    ///
    /// Settings that lie outside the tail, aren't UTF-8, or are incomplete or invalid.
    pub(crate) fn start(fields: Fields<'_>, tail: &[u8]) -> Result<Self, RecordError> {
        let text = settings::text(fields, tail)?;
        let settings = engine_settings::read(settings::key_value_pairs(text))?;
        Ok(Instance {
            engine: PlacementEngine::new(settings.deployment, settings::random_seed(fields)),
            listener_count: settings.listeners.len(),
            load_report_format: settings.load_report_format,
            ids: IdTable::default(),
        })
    }

    /// Passes one event to the engine at the time `now`, and appends the engine's actions to `actions`.
    ///
    /// # Errors
    ///
    /// A new session whose handle is in use or whose listener isn't in the settings.
    pub(crate) fn handle_event(
        &mut self,
        record: EventRecord,
        now: Duration,
        actions: &mut Vec<PlacementAction>,
    ) -> Result<(), RecordError> {
        if let Some(event) = self.translate_event(record)? {
            self.engine.handle(now, event, actions);
        }
        Ok(())
    }

    /// Appends the record of one action to a reply. [`PlacementAction::ReleaseSession`] has no record: it frees the
    /// session's id.
    pub(crate) fn append_action(
        &mut self,
        instance: u16,
        action: PlacementAction,
        reply: &mut Vec<u8>,
    ) {
        if let PlacementAction::ReleaseSession { session } = action {
            self.ids.remove_session(session);
        } else if let Some(record) = translate::action_record(instance, action, &self.ids) {
            record.append_to(reply);
        }
    }

    /// Translates a record to an event of the engine; `None` if the record is about an ended session or an unknown
    /// server, or is one that the engine doesn't use.
    fn translate_event(
        &mut self,
        record: EventRecord,
    ) -> Result<Option<PlacementEvent>, RecordError> {
        Ok(match record {
            EventRecord::EndpointList(list) => {
                Some(PlacementEvent::EndpointsUpdated(self.endpoint_update(list)))
            }
            EventRecord::SessionRequested(request) => {
                let session = self.add_session(&request)?;
                let request = translate::session_request(session, &request);
                Some(PlacementEvent::SessionRequested(request))
            }
            EventRecord::SessionInherited(request, address) => {
                Some(self.session_inherited(&request, address)?)
            }
            EventRecord::SessionOpened { handle, attempt } => self
                .ids
                .session_id(handle)
                .map(|session| PlacementEvent::SessionOpened { session, attempt }),
            EventRecord::AttemptEnded(ended) => {
                self.ids
                    .session_id(ended.handle)
                    .map(|session| PlacementEvent::AttemptEnded {
                        session,
                        attempt: ended.attempt,
                        outcome: translate::outcome(ended.outcome),
                        session_over: ended.session_over,
                        load: self.load(&ended.load),
                    })
            }
            EventRecord::ClientLeft { handle } => self
                .ids
                .session_id(handle)
                .map(|session| PlacementEvent::ClientLeft { session }),
            EventRecord::Observed(observed) => translate::observation_event(&observed, &self.ids),
            EventRecord::ProbeEnded(ended) => {
                self.ids
                    .server_id(ended.address)
                    .map(|server| PlacementEvent::ProbeEnded {
                        server,
                        outcome: translate::outcome(ended.outcome),
                        load: self.load(&ended.load),
                    })
            }
            EventRecord::Timer => Some(PlacementEvent::Tick),
            EventRecord::PeerMessage => None,
        })
    }

    fn session_inherited(
        &mut self,
        request: &SessionRecord,
        address: ServerAddress,
    ) -> Result<PlacementEvent, RecordError> {
        let session = self.add_session(request)?;
        let request = translate::session_request(session, request);
        let server = self.ids.get_or_add_server(address);
        Ok(PlacementEvent::SessionInherited(request, server))
    }

    /// Checks a new session and assigns an id to it.
    fn add_session(&mut self, request: &SessionRecord) -> Result<SessionId, RecordError> {
        let listener = request.listener;
        if usize::from(listener) >= self.listener_count {
            return Err(RecordError::UnknownListener { listener });
        }
        let handle = request.handle;
        if self.ids.session_id(handle).is_some() {
            return Err(RecordError::DuplicateSession { handle });
        }
        Ok(self.ids.add_session(handle))
    }

    fn endpoint_update(&mut self, list: EndpointListRecord) -> EndpointUpdate {
        let mut endpoints = Vec::with_capacity(list.entries.len());
        for entry in list.entries {
            let server = self.ids.get_or_add_server(entry.address);
            endpoints.push(translate::endpoint(server, &entry));
        }
        translate::endpoint_update(list.mode, endpoints)
    }

    fn load(&self, report: &LoadReport) -> ServerLoad {
        self.load_report_format.load(|index, _| report.value(index))
    }
}
