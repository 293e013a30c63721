//! The digests of the ledger's records, which are not a part of its encoding.

use super::{Ledger, RequestDigest};
use crate::Holder;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What the ledger's encoding does not hold of a record.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct RecordDigest {
    digest: RequestDigest,
    owner_knows_digest: bool,
}

impl Ledger {
    /// The id under which the owner of a request is asked for its result. It is that of the digest, so that the result
    /// of another request is not taken for it, or `request_id` if the owner may be of an earlier release.
    pub fn result_id(&self, request_id: u64) -> u64 {
        let entry = self.entries.get(&request_id).filter(|entry| entry.owner_knows_digest);
        entry.and_then(|entry| entry.record.digest).map_or(request_id, |digest| digest.result_id())
    }

    /// The open request of a holder whose result has this id.
    pub fn find_result(&self, holder: Holder, result_id: u64) -> Option<u64> {
        self.owned(holder).find(|request_id| self.result_id(*request_id) == result_id)
    }

    /// The digests of all records that have one, by request.
    pub(crate) fn digests(&self) -> BTreeMap<u64, RecordDigest> {
        let entries = self.entries.iter();
        let digests = entries.filter_map(|(request_id, entry)| {
            let (digest, owner_knows_digest) = (entry.record.digest?, entry.owner_knows_digest);
            Some((*request_id, RecordDigest { digest, owner_knows_digest }))
        });
        digests.collect()
    }

    /// Sets the digests of records after decoding. Digests of unknown requests are ignored.
    pub(crate) fn set_digests(&mut self, digests: BTreeMap<u64, RecordDigest>) {
        for (request_id, RecordDigest { digest, owner_knows_digest }) in digests {
            if let Some(entry) = self.entries.get_mut(&request_id) {
                entry.record.digest = Some(digest);
                entry.owner_knows_digest = owner_knows_digest;
            }
        }
    }
}
