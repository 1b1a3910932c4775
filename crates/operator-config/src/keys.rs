//! The table of all keys of the file, with their kinds, bounds and when a change takes effect.

use crate::OperatorConfig;
use crate::value::{Value, ValueKind};

/// When a changed value takes effect after the file is reloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// At once, on the SIGHUP that reloads the file.
    Immediately,
    /// At the proxy's next start; until then the old value applies.
    AfterRestart,
}

/// Definition of a key of the file.
pub(crate) struct Key {
    /// Name of the table that the key is in.
    pub(crate) table: &'static str,
    /// Name of the key within its table.
    pub(crate) name: &'static str,
    /// Kind and bounds of its value.
    pub(crate) kind: ValueKind,
    /// When a changed value takes effect.
    pub(crate) takes_effect: TakesEffect,
    /// Returns the key's value in a configuration; `None` if that has no such table.
    pub(crate) value_in: fn(&OperatorConfig) -> Option<Value>,
}

/// All keys, grouped by table. Error messages and [`OperatorConfig::changes`] list keys in this order.
pub(crate) const KEYS: &[Key] = &[
    Key {
        table: "control",
        name: "socket",
        kind: ValueKind::SocketPath,
        takes_effect: TakesEffect::AfterRestart,
        value_in: socket_path,
    },
    Key {
        table: "control",
        name: "peers",
        kind: count(1, 64),
        takes_effect: TakesEffect::AfterRestart,
        value_in: max_connections,
    },
    Key {
        table: "drain",
        name: "deadline",
        kind: duration(1.0, 86_400.0),
        takes_effect: TakesEffect::Immediately,
        value_in: |config| Some(Value::Duration(config.drain.default_deadline)),
    },
    Key {
        table: "drain",
        name: "closing",
        kind: duration(0.0, 60.0),
        takes_effect: TakesEffect::Immediately,
        value_in: |config| Some(Value::Duration(config.drain.max_closing_time)),
    },
    Key {
        table: "drain",
        name: "quiet",
        kind: duration(0.1, 60.0),
        takes_effect: TakesEffect::Immediately,
        value_in: |config| Some(Value::Duration(config.drain.quiet_period)),
    },
    Key {
        table: "drain",
        name: "pace",
        kind: ValueKind::Number {
            min: 0.1,
            max: 100_000.0,
        },
        takes_effect: TakesEffect::Immediately,
        value_in: |config| Some(Value::Number(config.drain.max_migrations_per_second)),
    },
    Key {
        table: "drain",
        name: "back",
        kind: duration(0.0, 3_600.0),
        takes_effect: TakesEffect::Immediately,
        value_in: |config| Some(Value::Duration(config.drain.time_before_next_drain)),
    },
    Key {
        table: "site",
        name: "watch",
        kind: ValueKind::Boolean,
        takes_effect: TakesEffect::AfterRestart,
        value_in: |config| Some(Value::Boolean(config.zone_failover.enabled)),
    },
    Key {
        table: "site",
        name: "look",
        kind: duration(0.2, 60.0),
        takes_effect: TakesEffect::Immediately,
        value_in: |config| Some(Value::Duration(config.zone_failover.probe_interval)),
    },
    Key {
        table: "site",
        name: "hold",
        kind: duration(0.0, 600.0),
        takes_effect: TakesEffect::Immediately,
        value_in: |config| Some(Value::Duration(config.zone_failover.hold_down)),
    },
    Key {
        table: "site",
        name: "hold_most",
        kind: duration(0.0, 3_600.0),
        takes_effect: TakesEffect::Immediately,
        value_in: |config| Some(Value::Duration(config.zone_failover.max_hold_down)),
    },
    Key {
        table: "site",
        name: "settle",
        kind: duration(0.0, 600.0),
        takes_effect: TakesEffect::Immediately,
        value_in: |config| Some(Value::Duration(config.zone_failover.recovery_ramp)),
    },
    Key {
        table: "site",
        name: "pace",
        kind: ValueKind::Boolean,
        takes_effect: TakesEffect::Immediately,
        value_in: |config| Some(Value::Boolean(config.zone_failover.paces_admission)),
    },
    Key {
        table: "site",
        name: "by_worth",
        kind: ValueKind::Boolean,
        takes_effect: TakesEffect::AfterRestart,
        value_in: |config| Some(Value::Boolean(config.zone_failover.rejects_by_priority)),
    },
    Key {
        table: "state",
        name: "folder",
        kind: ValueKind::DirectoryPath,
        takes_effect: TakesEffect::AfterRestart,
        value_in: snapshot_directory,
    },
    Key {
        table: "state",
        name: "every",
        kind: duration(0.2, 600.0),
        takes_effect: TakesEffect::AfterRestart,
        value_in: snapshot_interval,
    },
    Key {
        table: "recovery",
        name: "stages",
        kind: ValueKind::Boolean,
        takes_effect: TakesEffect::AfterRestart,
        value_in: |config| Some(Value::Boolean(config.warm_start.enabled)),
    },
    Key {
        table: "recovery",
        name: "look",
        kind: duration(0.0, 1.0),
        takes_effect: TakesEffect::AfterRestart,
        value_in: |config| Some(Value::Duration(config.warm_start.discovery_timeout)),
    },
    Key {
        table: "recovery",
        name: "probe",
        kind: duration(0.1, 60.0),
        takes_effect: TakesEffect::AfterRestart,
        value_in: |config| Some(Value::Duration(config.warm_start.probe_timeout)),
    },
    Key {
        table: "recovery",
        name: "fleet",
        kind: ValueKind::Name,
        takes_effect: TakesEffect::AfterRestart,
        value_in: |config| Some(Value::Name(config.warm_start.fleet.clone())),
    },
    Key {
        table: "recovery",
        name: "others",
        kind: ValueKind::Addresses,
        takes_effect: TakesEffect::AfterRestart,
        value_in: |config| Some(Value::Addresses(config.warm_start.peers.clone())),
    },
];

/// Finds a key by its table and name.
pub(crate) fn find(table: &str, name: &str) -> Option<&'static Key> {
    KEYS.iter()
        .find(|key| key.table == table && key.name == name)
}

/// Whether a table of this name exists.
pub(crate) fn is_table(name: &str) -> bool {
    KEYS.iter().any(|key| key.table == name)
}

/// Names of all tables, as in `[control], [drain]`.
pub(crate) fn table_names() -> String {
    let mut names: Vec<String> = KEYS.iter().map(|key| format!("[{}]", key.table)).collect();
    names.dedup();
    names.join(", ")
}

/// Names of all keys of a table, as in `socket, peers`.
pub(crate) fn key_names(table: &str) -> String {
    let keys = KEYS.iter().filter(|key| key.table == table);
    let names: Vec<&str> = keys.map(|key| key.name).collect();
    names.join(", ")
}

/// A duration with bounds in seconds.
const fn duration(min: f64, max: f64) -> ValueKind {
    ValueKind::Duration { min, max }
}

const fn count(min: i64, max: i64) -> ValueKind {
    ValueKind::Count { min, max }
}

fn socket_path(config: &OperatorConfig) -> Option<Value> {
    let admin_socket = config.admin_socket.as_ref()?;
    Some(Value::Path(admin_socket.path.clone()))
}

fn max_connections(config: &OperatorConfig) -> Option<Value> {
    let admin_socket = config.admin_socket.as_ref()?;
    Some(Value::Count(admin_socket.max_connections))
}

fn snapshot_directory(config: &OperatorConfig) -> Option<Value> {
    let snapshots = config.snapshots.as_ref()?;
    Some(Value::Path(snapshots.directory.clone()))
}

fn snapshot_interval(config: &OperatorConfig) -> Option<Value> {
    let snapshots = config.snapshots.as_ref()?;
    Some(Value::Duration(snapshots.interval))
}
