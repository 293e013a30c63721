//! Encoding of batches and snapshots with an extension, which earlier releases ignore.
//!
//! The encoding has no field names, so that a field can't be added to a type that peers of an earlier release read. They
//! ignore the bytes after a whole batch or snapshot, though, and pass the bytes of a batch on unchanged. What such
//! peers don't know therefore follows there. It must not influence how the replicated state changes, as they don't apply
//! it: a peer that joins by a snapshot of theirs lacks it.

use crate::Incarnation;
use crate::ledger::{self, Ledger, RecordDigest, RequestDigest};
use crate::state::Command;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The payload of a log entry: the proposing incarnation, the batch's number and its commands.
pub type Batch = (Incarnation, u64, Vec<Command>);

/// What follows a batch.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct BatchExtension {
    /// The digests of the records that the batch opens, by the index of the command.
    digests: Vec<(u32, RequestDigest)>,
}

/// What follows a snapshot.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct SnapshotExtension {
    /// The digests of the ledger's records, by request.
    digests: BTreeMap<u64, RecordDigest>,
}

/// Encodes a batch.
pub fn encode_batch(from: Incarnation, number: u64, commands: &[Command]) -> postcard::Result<Vec<u8>> {
    let digest_of = |(index, command): (usize, &Command)| match command {
        Command::Work(ledger::Command::Open(_, _, record)) => {
            Some((u32::try_from(index).ok()?, record.digest?))
        }
        _ => None,
    };
    let digests = commands.iter().enumerate().filter_map(digest_of).collect();
    let bytes = postcard::to_stdvec(&(from, number, commands))?;
    append(bytes, &BatchExtension { digests })
}

/// Decodes a batch of this or an earlier release.
pub fn decode_batch(bytes: &[u8]) -> postcard::Result<Batch> {
    let ((from, number, mut commands), rest): (Batch, &[u8]) = postcard::take_from_bytes(bytes)?;
    for (index, digest) in parse::<BatchExtension>(rest).digests {
        if let Some(Command::Work(ledger::Command::Open(_, _, record))) = commands.get_mut(index as usize) {
            record.digest = Some(digest);
        }
    }
    Ok((from, number, commands))
}

/// Appends what the encoded state does not hold of its ledger.
pub(crate) fn append_digests(state: Vec<u8>, ledger: &Ledger) -> postcard::Result<Vec<u8>> {
    append(state, &SnapshotExtension { digests: ledger.digests() })
}

/// Sets what follows an encoded state.
pub(crate) fn restore_digests(rest: &[u8], ledger: &mut Ledger) {
    ledger.set_digests(parse::<SnapshotExtension>(rest).digests);
}

/// Appends an extension, unless it is empty.
fn append<E: Default + PartialEq + Serialize>(
    mut bytes: Vec<u8>,
    extension: &E,
) -> postcard::Result<Vec<u8>> {
    if *extension != E::default() {
        bytes.extend(postcard::to_stdvec(extension)?);
    }
    Ok(bytes)
}

/// Decodes an extension; an empty one if there is none or it can't be read.
fn parse<E: Default + DeserializeOwned>(rest: &[u8]) -> E {
    postcard::from_bytes(rest).unwrap_or_default()
}
