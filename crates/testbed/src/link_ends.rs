//! Identifies the network paths between the processes of a run.

/// The two parties that a network path joins, the dialling one first. Violations print it, so its `Debug` output is
/// part of the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LinkEnds {
    /// A proxy and a host, by proxy number and host number.
    Proxy(u16, u16),
    /// The clients and the front of a zone, and a proxy, by zone index and proxy number.
    Clients(u8, u16),
}
