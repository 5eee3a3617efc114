//! Listings of the newest record of every key.

use swiftshunt_journal::{LogError, NewestPage};

/// A listing, page by page. After a call that failed it goes on with the page that failed: pages are
/// no snapshot in any case, and a log that refuses a part of its calls would hardly ever let a listing
/// of many pages through in one go.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    pages: Vec<NewestPage>,
    /// The last key of the pages so far.
    after: Option<Vec<u8>>,
}

impl Listing {
    /// Reads what is left; gives all pages and begins anew once there is no more. `page` reads the page behind
    /// a key, as it was when the partition had a given end or later: what was appended after the end that the
    /// first page tells is left to the tail, what came before must be in the pages.
    pub(crate) async fn read<Reading>(
        &mut self,
        page: impl Fn(Option<Vec<u8>>, u64) -> Reading,
    ) -> Result<Vec<NewestPage>, LogError>
    where
        Reading: Future<Output = Result<NewestPage, LogError>>,
    {
        loop {
            let end = self.pages.first().map_or(0, |first| first.end);
            let page = page(self.after.clone(), end).await?;
            self.after = page.records.last().map(|record| record.key.clone());
            let more = page.more && self.after.is_some();
            self.pages.push(NewestPage { more, ..page });
            if !more {
                return Ok(std::mem::take(self).pages);
            }
        }
    }
}
