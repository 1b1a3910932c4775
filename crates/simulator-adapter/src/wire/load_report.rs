//! A server's load report.

use super::fields::Fields;

/// Most values in a report; the record has space for no more.
const MAX_VALUES: usize = 4;
/// Bytes of a value.
const VALUE_SIZE: usize = 4;

/// The values of a load report, in the order of the settings' `load_info.fields`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadReport {
    values: [f32; MAX_VALUES],
    /// Number of values in the report; 0 if the server sent none.
    count: usize,
}

impl LoadReport {
    /// Decodes the report at the offset `at`: a byte with the count of values, then the values.
    pub(super) fn decode(fields: Fields<'_>, at: usize) -> Self {
        let first = at + 1;
        LoadReport {
            values: std::array::from_fn(|index| fields.f32(first + VALUE_SIZE * index)),
            count: usize::from(fields.u8(at)).min(MAX_VALUES),
        }
    }

    /// The value at `index`; `None` if the report doesn't contain it.
    pub(crate) fn value(&self, index: usize) -> Option<f64> {
        let value = self.values[..self.count].get(index)?;
        Some(f64::from(*value))
    }
}
