//! Encodes the server's packets: handshake, OK, errors and result sets.

use super::packets::text;
use super::{DATABASE, Error, Server};

const VERSION: &str = "8.0.0-ottercroft";
const PLUGIN: &str = "mysql_native_password";
/// Long password, long flag, connect with database, protocol 4.1, transactions, secure connection, plugin auth.
const CAPABILITIES: u32 = 0x1 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x8_0000;
const UTF8MB4: u8 = 45;
const AUTOCOMMIT: u16 = 2;

impl Server {
    /// The initial handshake packet with the connection id.
    pub fn greet(&mut self, id: u32, scramble: &[u8; 20], out: &mut Vec<u8>) {
        self.sequence = 0;
        self.put(out, |b| {
            b.push(10);
            b.extend_from_slice(VERSION.as_bytes());
            b.push(0);
            b.extend_from_slice(&id.to_le_bytes());
            b.extend_from_slice(&scramble[..8]);
            b.push(0);
            b.extend_from_slice(&CAPABILITIES.to_le_bytes()[..2]);
            b.push(UTF8MB4);
            b.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
            b.extend_from_slice(&CAPABILITIES.to_le_bytes()[2..]);
            b.push(21);
            b.extend_from_slice(&[0; 10]);
            b.extend_from_slice(&scramble[8..]);
            b.push(0);
            b.extend_from_slice(PLUGIN.as_bytes());
            b.push(0);
        });
    }

    /// Writes one packet; sequence ids wrap.
    fn put(&mut self, out: &mut Vec<u8>, body: impl FnOnce(&mut Vec<u8>)) {
        let at = out.len();
        out.extend_from_slice(&[0, 0, 0, self.sequence]);
        body(out);
        let length = (out.len() - at - 4) as u32;
        out[at..at + 3].copy_from_slice(&length.to_le_bytes()[..3]);
        self.sequence = self.sequence.wrapping_add(1);
    }

    /// OK.
    pub fn ok(&mut self, out: &mut Vec<u8>) {
        self.put(out, |b| {
            b.extend_from_slice(&[0, 0, 0]);
            b.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
            b.extend_from_slice(&[0, 0]);
        });
    }

    /// An error.
    pub fn error(&mut self, error: &Error, out: &mut Vec<u8>) {
        self.put(out, |b| {
            b.push(0xff);
            b.extend_from_slice(&error.code.to_le_bytes());
            b.push(b'#');
            b.extend_from_slice(error.state.as_bytes());
            b.extend_from_slice(error.text.as_bytes());
        });
    }

    /// The column definitions of a result set; all columns are text.
    pub fn columns(&mut self, names: &[&str], out: &mut Vec<u8>) {
        self.put(out, |b| b.push(names.len() as u8));
        for name in names {
            self.put(out, |b| {
                for part in ["def", DATABASE, "", "", name, ""] {
                    text(b, part.as_bytes());
                }
                b.push(12);
                b.extend_from_slice(&[UTF8MB4, 0]);
                b.extend_from_slice(&0xffff_u32.to_le_bytes());
                b.extend_from_slice(&[0xfd, 0, 0, 0, 0, 0]);
            });
        }
        self.end_of_part(out);
    }

    /// One row.
    pub fn row<'a>(&mut self, cells: impl Iterator<Item = &'a [u8]>, out: &mut Vec<u8>) {
        self.put(out, |b| cells.for_each(|c| text(b, c)));
    }

    /// EOF: after the columns, and after the last row.
    pub fn end_of_part(&mut self, out: &mut Vec<u8>) {
        self.put(out, |b| {
            b.extend_from_slice(&[0xfe, 0, 0]);
            b.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
        });
    }
}
