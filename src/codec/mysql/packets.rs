//! Packet framing and field decoding.

use super::{Error, MAX_PACKET_BYTES};

/// The sequence id and body of the next packet; `None` while it is incomplete.
pub(super) fn packet(input: &[u8]) -> Result<Option<(u8, &[u8])>, Error> {
    let Some(head) = input.get(..4) else { return Ok(None) };
    let length = usize::from(head[0]) | usize::from(head[1]) << 8 | usize::from(head[2]) << 16;
    if length > MAX_PACKET_BYTES {
        return Err(Error::new(
            1153,
            "08S01",
            format!("packet of {length} bytes, {MAX_PACKET_BYTES} at most"),
        ));
    }
    Ok(input.get(4..4 + length).map(|body| (head[3], body)))
}

pub(super) fn malformed(what: &str) -> Error {
    Error::new(1835, "HY000", format!("malformed packet: {what}"))
}

/// Reads fields from the front of a packet body.
pub(super) struct Reader<'a>(pub(super) &'a [u8]);

impl<'a> Reader<'a> {
    pub(super) fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], Error> {
        let (front, rest) = self.0.split_at_checked(n).ok_or_else(|| malformed(what))?;
        self.0 = rest;
        Ok(front)
    }

    pub(super) fn until_nul(&mut self, what: &str) -> Result<&'a [u8], Error> {
        let n = self.0.iter().position(|b| *b == 0).ok_or_else(|| malformed(what))?;
        let text = self.take(n, what)?;
        self.take(1, what)?;
        Ok(text)
    }
}

/// Writes a length-encoded string.
pub(super) fn text(out: &mut Vec<u8>, bytes: &[u8]) {
    match bytes.len() {
        n @ 0..=250 => out.push(n as u8),
        n @ 251..=0xffff => {
            out.push(0xfc);
            out.extend_from_slice(&(n as u16).to_le_bytes());
        }
        n => {
            out.push(0xfd);
            out.extend_from_slice(&(n as u32).to_le_bytes()[..3]);
        }
    }
    out.extend_from_slice(bytes);
}
