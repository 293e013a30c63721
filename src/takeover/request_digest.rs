//! The digest by which tries of one request are told from tries of another that uses the same id.

use fleet::ledger::RequestDigest;
use sha2::{Digest as _, Sha256};

/// The id under which a request is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordId {
    /// Its client keeps this id over all tries of the request.
    Ask(u64),
    /// Its client sends no such id; the request is recorded under the id of its only try.
    Try(u64),
}

/// What a request asks for, as its client sent it. Whatever may differ between two tries of one request (its id, time
/// budget, number and estimates) is not a part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// The id under which it is recorded.
    pub id: RecordId,
    /// The name of its class.
    pub class: &'a str,
    /// The name of its tenant.
    pub tenant: Option<&'a str>,
    /// Its key.
    pub key: Option<u64>,
    /// Its idempotency token, which its executor takes into account.
    pub token: Option<&'a str>,
    /// The statement, without the comment that holds the fields.
    pub statement: &'a str,
}

impl RequestContent<'_> {
    /// The digest of the request, the same at all dispatchers.
    pub fn digest(&self) -> RequestDigest {
        let (kind, id) = match self.id {
            RecordId::Ask(id) => (0, id),
            RecordId::Try(id) => (1, id),
        };
        let mut hasher = Sha256::new();
        hasher.update([kind]);
        hasher.update(id.to_le_bytes());
        add_field(&mut hasher, Some(self.class.as_bytes()));
        add_field(&mut hasher, self.tenant.map(str::as_bytes));
        add_field(&mut hasher, self.key.map(u64::to_le_bytes).as_ref().map(<[u8; 8]>::as_slice));
        add_field(&mut hasher, self.token.map(str::as_bytes));
        add_field(&mut hasher, Some(self.statement.as_bytes()));
        RequestDigest(hasher.finalize().into())
    }
}

/// Adds an optional field with its length, so that no two sequences of fields give the same bytes.
fn add_field(hasher: &mut Sha256, field: Option<&[u8]>) {
    match field {
        None => hasher.update([0]),
        Some(bytes) => {
            hasher.update([1]);
            hasher.update((bytes.len() as u64).to_le_bytes());
            hasher.update(bytes);
        }
    }
}
