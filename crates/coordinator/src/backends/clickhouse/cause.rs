//! Maps engine errors to the cause of an attempt's failure.

use driftfront_clickhouse::exception::{
    classify, is_from_another_server, ErrorClass, Exception, NETWORK_ERROR,
};
use driftfront_clickhouse::result_checker::ResultError;
use driftfront_core::Cause;

/// ClickHouse's code for a result that can't be decoded.
const CORRUPTED_DATA: u32 = 246;
/// The code of an exception whose text has no error code.
const NO_CODE: u32 = 0;

/// The cause of a failure, given its error code, HTTP status and text.
pub(super) fn cause_of_error(code: Option<u32>, status: u16, text: &str) -> Cause {
    match classify(code, status) {
        ErrorClass::Rejected if is_from_another_server(text) => Cause::Engine(text.into()),
        ErrorClass::Rejected => Cause::Rejected,
        ErrorClass::Statement => Cause::Statement(text.into()),
        ErrorClass::Engine => Cause::Engine(text.into()),
    }
}

/// The cause of an invalid result after status 200. The query has started, so it can't count as rejected.
pub(super) fn cause_of_invalid_result(error: &ResultError) -> Cause {
    match error {
        ResultError::Exception(e) if e.code == NO_CODE => {
            Cause::Engine(Exception::new(NETWORK_ERROR, &e.text).text)
        }
        ResultError::Exception(e) => match cause_of_error(Some(e.code), 200, &e.text) {
            Cause::Rejected => Cause::Engine(e.text.clone()),
            cause => cause,
        },
        error => Cause::Engine(Exception::new(CORRUPTED_DATA, &error.to_string()).text),
    }
}
