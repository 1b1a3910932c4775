//! The names of the network paths between the processes of a run.

/// The two parties that a network path joins. Violations are printed with it, so its debug text is part of the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LinkEnds {
    /// A proxy and a host, by their numbers.
    Proxy(u16, u16),
    /// The clients and the front of a zone, and a proxy, by their numbers.
    Clients(u8, u16),
}
