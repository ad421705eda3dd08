//! Whether engines drop repeats of a statement with a deduplication token.
//!
//! ClickHouse applies `insert_deduplication_token` to inserts only, not while `insert_deduplicate` is off, and to asynchronous
//! inserts only if `async_insert_deduplicate` is on.

use crate::params::Params;
use crate::sql::Statement;

/// Whether engines drop repeats of this statement, given the settings in the URL.
pub(super) fn is_deduplicated(params: &Params, statement: &Statement) -> bool {
    let is_off = |name| params.non_empty(name).is_some() && !params.is_on(name);
    let is_asynchronous = params.non_empty("async_insert").is_some() && !is_off("async_insert");
    params.non_empty("insert_deduplication_token").is_some()
        && statement.is_insert
        && !statement.may_set_deduplication
        && !is_off("insert_deduplicate")
        && (!is_asynchronous || params.is_on("async_insert_deduplicate"))
}
