//! Codec of the rows of jobs in the store.
//!
//! Rows are written for each start and end of a task, so they use a compact binary codec.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the codec, the first byte of each row.
const VERSION: u8 = 5;

/// Earlier version that can be read: its rows lack the transfer, the last field of a job's row.
const VERSION_WITHOUT_TRANSFER: u8 = 4;

/// Earlier version that can be read: its rows also lack the workspace, the field before.
const VERSION_WITHOUT_WORKSPACE: u8 = 3;

/// Encodes a row.
///
/// # Errors
///
/// Fails with the reason if the row cannot be encoded.
pub(super) fn encode(row: &impl Serialize) -> Result<Vec<u8>, String> {
    let bytes = vec![VERSION];
    postcard::to_extend(row, bytes).map_err(|error| format!("a row cannot be encoded: {error}"))
}

/// Decodes a row.
///
/// # Errors
///
/// Fails with the reason if the row has another version or other content.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    // An empty text and an absent value are a byte of 0; rows without the fields ignore the rest.
    let (row, missing): (&[u8], &[u8]) = match bytes.split_first() {
        Some((&VERSION, row)) => (row, &[]),
        Some((&VERSION_WITHOUT_TRANSFER, row)) => (row, &[0]),
        Some((&VERSION_WITHOUT_WORKSPACE, row)) => (row, &[0, 0]),
        Some((version, _)) => return Err(format!("unknown version {version} of the codec")),
        None => return Err("empty".into()),
    };
    let decoded = match missing {
        [] => postcard::from_bytes(row),
        _ => postcard::from_bytes(&[row, missing].concat()),
    };
    decoded.map_err(|error| format!("cannot be decoded: {error}"))
}
