//! The digests of the ledger's records, which are not a part of its encoding.

use super::{Ledger, RequestDigest};
use std::collections::BTreeMap;

impl Ledger {
    /// The digests of all records that have one, by request.
    pub(crate) fn digests(&self) -> BTreeMap<u64, RequestDigest> {
        self.entries.iter().filter_map(|(id, entry)| Some((*id, entry.record.digest?))).collect()
    }

    /// Sets the digests of records after decoding. Digests of unknown requests are ignored.
    pub(crate) fn set_digests(&mut self, digests: BTreeMap<u64, RequestDigest>) {
        for (request_id, digest) in digests {
            if let Some(entry) = self.entries.get_mut(&request_id) {
                entry.record.digest = Some(digest);
            }
        }
    }
}
