//! Access to columns of numbers, and the checks that reports and grants have in common.

use super::{MessageError, MilliUnits, FORMAT, MAX_BYTES, MAX_ENTRIES, MAX_UNITS};
use prost::Message;

/// Returns the value of an entry in a column; zero if the column is left out.
pub(super) fn value<T: Copy + Default>(column: &[T], index: usize) -> T {
    column.get(index).copied().unwrap_or_default()
}

/// Empties a column that holds only zeros, so that it is left out of the encoded message.
pub(super) fn omit_if_zero<T: Default + PartialEq>(column: &mut Vec<T>) {
    if column.iter().all(|value| *value == T::default()) {
        column.clear();
    }
}

/// Decodes a message of at most [`MAX_BYTES`].
pub(super) fn decode<M: Message + Default>(bytes: &[u8]) -> Result<M, MessageError> {
    if bytes.len() > MAX_BYTES {
        return Err(MessageError::TooLong(bytes.len()));
    }
    M::decode(bytes).map_err(MessageError::Malformed)
}

/// Checks that the version of the format is [`FORMAT`].
pub(super) fn check_format(format: u32) -> Result<(), MessageError> {
    if format != FORMAT {
        return Err(MessageError::Format(format));
    }
    Ok(())
}

/// Checks that there are no more than [`MAX_ENTRIES`], and that each column has a value for each
/// entry or is left out.
pub(super) fn check_columns(entries: usize, lengths: &[usize]) -> Result<(), MessageError> {
    if entries > MAX_ENTRIES {
        return Err(MessageError::Entries("too many entries"));
    }
    if lengths
        .iter()
        .any(|length| *length != entries && *length != 0)
    {
        return Err(MessageError::Entries("columns of different lengths"));
    }
    Ok(())
}

/// Checks that no number of units exceeds [`MAX_UNITS`].
pub(super) fn check_units(mut units: impl Iterator<Item = MilliUnits>) -> Result<(), MessageError> {
    if units.any(|units| units > MAX_UNITS) {
        return Err(MessageError::Entries("number of units out of range"));
    }
    Ok(())
}
