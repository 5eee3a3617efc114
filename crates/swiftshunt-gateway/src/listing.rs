//! Listings of the newest record of every key.

use swiftshunt_journal::{Log, LogError, NewestPage, Topic};

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
    /// Reads what is left; gives all pages and begins anew once there is no more.
    pub(crate) async fn read(
        &mut self,
        log: &dyn Log,
        topic: Topic,
        partition: u32,
    ) -> Result<Vec<NewestPage>, LogError> {
        loop {
            let page = log.newest(topic, partition, self.after.clone()).await?;
            self.after = page.records.last().map(|record| record.key.clone());
            let more = page.more && self.after.is_some();
            self.pages.push(NewestPage { more, ..page });
            if !more {
                return Ok(std::mem::take(self).pages);
            }
        }
    }
}
