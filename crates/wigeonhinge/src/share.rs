//! Division of slots and connections among the entries of a zone.

use std::time::Duration;

/// Time after a start or a pause in which an entry uses no slots of its share.
pub const HOLD: Duration = Duration::from_millis(2_500);
