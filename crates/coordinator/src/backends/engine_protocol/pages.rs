//! The pages of an attempt's result.

use super::message::{Message, MessageKind};
use driftfront_core::{AttemptKey, AttemptReport, Micros};

/// Maximum number of pages in a result.
const MAX_PAGES: usize = 16;

/// Why a page is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A row is incomplete or does not have three columns.
    #[error("page does not consist of complete rows with three columns")]
    NotRows,
    /// The first page has no `fetches`. Without it an incomplete result would look complete.
    #[error("first page has no page count")]
    NoPageCount,
    /// The result exceeds the maximum number of pages.
    #[error("result has too many pages")]
    TooManyPages,
    /// A further page has no `fetch_no`.
    #[error("page has no page number")]
    NoPageNumber,
    /// A page is outside the result, or arrived before the first page.
    #[error("page was not requested")]
    Unrequested,
}

/// An attempt in flight with its received pages.
pub(super) struct OpenAttempt {
    pub(super) key: AttemptKey,
    /// Empty until the first page reports the number of pages.
    pages: Vec<Option<Vec<u8>>>,
    /// What the first page reported.
    pub(super) report: AttemptReport,
    /// When the first page arrived.
    begun_at: Micros,
    /// Missing pages were requested a second time.
    is_retried: bool,
}

impl OpenAttempt {
    pub(super) fn new(key: AttemptKey) -> OpenAttempt {
        OpenAttempt {
            key,
            pages: Vec::new(),
            report: AttemptReport::default(),
            begun_at: 0,
            is_retried: false,
        }
    }

    /// Adds a page; returns false if it is a duplicate.
    pub(super) fn add_page(
        &mut self,
        now: Micros,
        message: Message,
        report: impl FnOnce(&Message) -> AttemptReport,
    ) -> Result<bool, PageError> {
        let is_first = message.kind == MessageKind::Hit;
        if is_first && !self.pages.is_empty() {
            return Ok(false);
        }
        if !is_rows(&message.body) {
            return Err(PageError::NotRows);
        }
        let index = if is_first {
            let count = message.index("fetches").ok_or(PageError::NoPageCount)?;
            if count > MAX_PAGES {
                return Err(PageError::TooManyPages);
            }
            self.pages = vec![None; count.max(1)];
            (self.report, self.begun_at) = (report(&message), now);
            0
        } else {
            message.index("fetch_no").ok_or(PageError::NoPageNumber)?
        };
        let page = self.pages.get_mut(index).ok_or(PageError::Unrequested)?;
        if page.is_some() {
            return Ok(false);
        }
        *page = Some(message.body);
        Ok(true)
    }

    /// Writes a request for each missing page.
    pub(super) fn request_missing_pages(&self, id: &str, out: &mut Vec<u8>) {
        for (index, page) in self.pages.iter().enumerate() {
            if page.is_none() {
                out.extend(format!("FETCH {id} {index}\r\n").bytes());
            }
        }
    }

    /// Requests missing pages a second time, at most once.
    pub(super) fn retry_missing_pages(&mut self, id: &str, out: &mut Vec<u8>) {
        if !std::mem::replace(&mut self.is_retried, true) {
            self.request_missing_pages(id, out);
        }
    }

    /// Whether the first page arrived longer than `time` ago.
    pub(super) fn is_first_page_older_than(&self, now: Micros, time: Micros) -> bool {
        !self.pages.is_empty() && now > self.begun_at + time
    }

    /// Whether all pages have arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// Number of pages in the result.
    pub(super) fn page_count(&self) -> usize {
        self.pages.len()
    }

    /// Returns all rows and the report of the first page.
    pub(super) fn into_result(self) -> (Vec<u8>, AttemptReport) {
        let rows = self.pages.into_iter().flatten().flatten().collect();
        (rows, self.report)
    }
}

/// Whether a page consists of complete rows with three text columns.
fn is_rows(page: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(page) else {
        return false;
    };
    let is_row = |row: &str| row.ends_with('\n') && row.matches('\t').count() == 2;
    text.split_inclusive('\n').all(is_row)
}
