//! Parses the text of a file into an [`OperatorConfig`].

use crate::config::{
    AdminSocketConfig, DrainConfig, OperatorConfig, SnapshotConfig, WarmStartConfig,
    ZoneFailoverConfig,
};
use crate::keys;
use crate::problem::{ConfigError, ConfigProblem};
use crate::value::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue};

/// Table and name of the keys that a table must contain if it contains any key.
const REQUIRED_KEYS: [(&str, &str); 2] = [("control", "socket"), ("state", "folder")];

/// Line that is reported for a missing key.
const LINE_OF_MISSING_KEYS: usize = 1;

impl OperatorConfig {
    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// All problems of the file, sorted by line and then by text.
    pub fn parse(text: &str) -> Result<OperatorConfig, Vec<ConfigProblem>> {
        let mut file = FileReader::new(text);
        file.read();
        file.check_missing_keys();
        if file.problems.is_empty() {
            return Ok(file.values.into_config());
        }
        file.problems
            .sort_by_cached_key(|problem| (problem.line, problem.error.to_string()));
        Err(file.problems)
    }
}

/// Reads a file, and collects its values and problems.
struct FileReader<'a> {
    text: &'a str,
    values: Values,
    problems: Vec<ConfigProblem>,
}

impl<'a> FileReader<'a> {
    fn new(text: &'a str) -> Self {
        FileReader {
            text,
            values: Values::default(),
            problems: Vec::new(),
        }
    }

    /// Adds a problem at a byte offset in the text.
    fn add_problem(&mut self, offset: usize, error: ConfigError) {
        let text_before = &self.text[..offset.min(self.text.len())];
        let line = text_before.matches('\n').count() + 1;
        self.problems.push(ConfigProblem { line, error });
    }

    /// Reads all tables. The parts that are valid TOML are read even if others are not.
    fn read(&mut self) {
        let (root, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            self.add_problem(offset, ConfigError::Syntax(error.message().to_string()));
        }
        for (name, table) in root.get_ref() {
            self.read_table(name, table);
        }
    }

    fn read_table(&mut self, name: &Spanned<DeString<'_>>, table: &Spanned<DeValue<'_>>) {
        let offset = name.span().start;
        let name = name.get_ref().as_ref();
        if !keys::is_table(name) {
            let name = name.to_string();
            return self.add_problem(offset, ConfigError::UnknownTable { name });
        }
        let DeValue::Table(entries) = table.get_ref() else {
            let name = name.to_string();
            return self.add_problem(offset, ConfigError::NotATable { name });
        };
        for (key, value) in entries {
            self.read_key(name, key, value);
        }
    }

    fn read_key(&mut self, table: &str, key: &Spanned<DeString<'_>>, value: &Spanned<DeValue<'_>>) {
        let offset = key.span().start;
        let Some(definition) = keys::find(table, key.get_ref()) else {
            let error = ConfigError::UnknownKey {
                table: table.to_string(),
                key: key.get_ref().to_string(),
            };
            return self.add_problem(offset, error);
        };
        match definition.kind.parse(value) {
            Ok(value) => self.values.insert(definition.table, definition.name, value),
            Err(error) => {
                let error = ConfigError::InvalidValue {
                    table: definition.table,
                    key: definition.name,
                    error,
                };
                self.add_problem(offset, error);
            }
        }
    }

    /// Adds a problem for each missing key that another key needs. Only keys with a valid value count as present.
    fn check_missing_keys(&mut self) {
        for (table, key) in REQUIRED_KEYS {
            if self.values.has_table(table) && !self.values.has(table, key) {
                self.problems.push(ConfigProblem {
                    line: LINE_OF_MISSING_KEYS,
                    error: ConfigError::MissingKey { table, key },
                });
            }
        }
        if self.values.has("recovery", "others") && !self.values.has("recovery", "fleet") {
            self.problems.push(ConfigProblem {
                line: LINE_OF_MISSING_KEYS,
                error: ConfigError::MissingFleet,
            });
        }
    }
}

/// The valid values of a file, by table and key.
#[derive(Default)]
struct Values(BTreeMap<(&'static str, &'static str), Value>);

impl Values {
    fn insert(&mut self, table: &'static str, key: &'static str, value: Value) {
        self.0.insert((table, key), value);
    }

    fn has(&self, table: &'static str, key: &'static str) -> bool {
        self.0.contains_key(&(table, key))
    }

    fn has_table(&self, table: &str) -> bool {
        self.0.keys().any(|key| key.0 == table)
    }

    fn duration(&self, table: &'static str, key: &'static str) -> Option<Duration> {
        match self.0.get(&(table, key)) {
            Some(Value::Duration(duration)) => Some(*duration),
            _ => None,
        }
    }

    fn boolean(&self, table: &'static str, key: &'static str) -> Option<bool> {
        match self.0.get(&(table, key)) {
            Some(Value::Boolean(value)) => Some(*value),
            _ => None,
        }
    }

    fn number(&self, table: &'static str, key: &'static str) -> Option<f64> {
        match self.0.get(&(table, key)) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    fn count(&self, table: &'static str, key: &'static str) -> Option<usize> {
        match self.0.get(&(table, key)) {
            Some(Value::Count(count)) => Some(*count),
            _ => None,
        }
    }

    fn path(&self, table: &'static str, key: &'static str) -> Option<PathBuf> {
        match self.0.get(&(table, key)) {
            Some(Value::Path(path)) => Some(path.clone()),
            _ => None,
        }
    }

    fn name(&self, table: &'static str, key: &'static str) -> Option<String> {
        match self.0.get(&(table, key)) {
            Some(Value::Name(name)) => Some(name.clone()),
            _ => None,
        }
    }

    fn addresses(&self, table: &'static str, key: &'static str) -> Option<Vec<SocketAddr>> {
        match self.0.get(&(table, key)) {
            Some(Value::Addresses(addresses)) => Some(addresses.clone()),
            _ => None,
        }
    }

    fn into_config(self) -> OperatorConfig {
        OperatorConfig {
            admin_socket: self.admin_socket(),
            drain: self.drain(),
            zone_failover: self.zone_failover(),
            snapshots: self.snapshots(),
            warm_start: self.warm_start(),
        }
    }

    fn admin_socket(&self) -> Option<AdminSocketConfig> {
        let path = self.path("control", "socket")?;
        let max_connections = self
            .count("control", "peers")
            .unwrap_or(AdminSocketConfig::DEFAULT_MAX_CONNECTIONS);
        Some(AdminSocketConfig {
            path,
            max_connections,
        })
    }

    fn drain(&self) -> DrainConfig {
        let duration = |key, default| self.duration("drain", key).unwrap_or(default);
        let default = DrainConfig::default();
        DrainConfig {
            default_deadline: duration("deadline", default.default_deadline),
            max_closing_time: duration("closing", default.max_closing_time),
            quiet_period: duration("quiet", default.quiet_period),
            max_migrations_per_second: self
                .number("drain", "pace")
                .unwrap_or(default.max_migrations_per_second),
            time_before_next_drain: duration("back", default.time_before_next_drain),
        }
    }

    fn zone_failover(&self) -> ZoneFailoverConfig {
        let duration = |key, default| self.duration("site", key).unwrap_or(default);
        let boolean = |key, default| self.boolean("site", key).unwrap_or(default);
        let default = ZoneFailoverConfig::default();
        ZoneFailoverConfig {
            enabled: boolean("watch", default.enabled),
            probe_interval: duration("look", default.probe_interval),
            hold_down: duration("hold", default.hold_down),
            max_hold_down: duration("hold_most", default.max_hold_down),
            recovery_ramp: duration("settle", default.recovery_ramp),
            paces_admission: boolean("pace", default.paces_admission),
            rejects_by_priority: boolean("by_worth", default.rejects_by_priority),
        }
    }

    fn snapshots(&self) -> Option<SnapshotConfig> {
        let directory = self.path("state", "folder")?;
        let interval = self
            .duration("state", "every")
            .unwrap_or(SnapshotConfig::DEFAULT_INTERVAL);
        Some(SnapshotConfig {
            directory,
            interval,
        })
    }

    fn warm_start(&self) -> WarmStartConfig {
        let duration = |key, default| self.duration("recovery", key).unwrap_or(default);
        let default = WarmStartConfig::default();
        WarmStartConfig {
            enabled: self
                .boolean("recovery", "stages")
                .unwrap_or(default.enabled),
            discovery_timeout: duration("look", default.discovery_timeout),
            probe_timeout: duration("probe", default.probe_timeout),
            fleet: self.name("recovery", "fleet").unwrap_or(default.fleet),
            peers: self
                .addresses("recovery", "others")
                .unwrap_or(default.peers),
        }
    }
}
