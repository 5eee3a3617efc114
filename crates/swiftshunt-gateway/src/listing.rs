//! Paged listing of the newest record of every key.

use swiftshunt_journal::{LogError, NewestPage};

/// A listing, page by page. After a failed call it continues with the page that failed: if the log refuses some of its
/// calls, a listing of many pages would hardly ever succeed in one pass. Nothing is lost by that, since the pages of a
/// single pass are no consistent snapshot either.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    pages: Vec<NewestPage>,
    /// Last key of the pages read so far.
    after: Option<Vec<u8>>,
}

impl Listing {
    /// Reads the remaining pages, returns all pages, and resets the listing. `page` reads the page that follows a
    /// key (`None`: the first page), at a time when the partition's end is at or after the given offset. Records before
    /// the end that the first page reports must be in the pages; later records are read from the tail.
    pub(crate) async fn read<Reading>(
        &mut self,
        page: impl Fn(Option<Vec<u8>>, u64) -> Reading,
    ) -> Result<Vec<NewestPage>, LogError>
    where
        Reading: Future<Output = Result<NewestPage, LogError>>,
    {
        loop {
            if let Some(pages) = self.read_page(&page).await?.all_pages {
                return Ok(pages);
            }
        }
    }

    /// Reads the next page, as [`Self::read`] does.
    pub(crate) async fn read_page<Reading>(
        &mut self,
        page: impl Fn(Option<Vec<u8>>, u64) -> Reading,
    ) -> Result<PageRead, LogError>
    where
        Reading: Future<Output = Result<NewestPage, LogError>>,
    {
        let end = self.pages.first().map_or(0, |first| first.end);
        let page = page(self.after.clone(), end).await?;
        let last = page.records.last().map(|record| record.key.clone());
        let more = page.more && last.is_some();
        if more && last <= self.after {
            *self = Self::default();
            return Err(LogError::Unanswered {
                reason: "a listing does not get beyond a key".to_owned(),
            });
        }
        self.after = last;
        let records = page.records.iter();
        let bytes = records.map(|record| record.key.len() + record.value.len());
        let bytes = bytes.sum();
        self.pages.push(NewestPage { more, ..page });
        let all_pages = (!more).then(|| std::mem::take(self).pages);
        Ok(PageRead { bytes, all_pages })
    }
}

/// A page that was added to a listing.
pub(crate) struct PageRead {
    /// Size of its keys and values.
    pub(crate) bytes: usize,
    /// All pages, if this was the last one.
    pub(crate) all_pages: Option<Vec<NewestPage>>,
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;
    use swiftshunt_journal::KeyedRecord;

    use super::*;

    #[tokio::test]
    async fn a_listing_that_returns_the_same_page_again_ends() {
        let mut listing = Listing::default();
        let read = listing.read(|_, _| async {
            let record = KeyedRecord {
                offset: 0,
                key: b"key".to_vec(),
                value: Bytes::from_static(b"value"),
            };
            Ok(NewestPage {
                records: vec![record],
                more: true,
                end: 1,
            })
        });
        assert!(read.await.is_err());
    }
}
