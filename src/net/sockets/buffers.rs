//! Buffers of one size, used again from a pool.

use crate::net::sockets::system_calls;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::rc::Rc;

/// The size of every buffer: the largest packet, line or page fits in one.
pub const BLOCK: usize = 16 * 1024;
/// Free buffers.
#[derive(Clone)]
pub struct Pool {
    free: Rc<RefCell<Vec<Box<[u8]>>>>,
    /// How many are kept; more than these go back to the system.
    kept: usize,
}

impl Pool {
    /// An empty pool that keeps free buffers up to so many bytes.
    pub fn new(bytes: usize) -> Pool {
        Pool { free: Rc::default(), kept: bytes / BLOCK }
    }

    /// An empty buffer.
    pub fn block(&self) -> Block {
        let bytes = self.free.borrow_mut().pop().unwrap_or_else(|| vec![0; BLOCK].into_boxed_slice());
        Block { bytes, from: 0, to: 0, pool: self.clone() }
    }

    /// How many buffers are free.
    pub fn free(&self) -> usize {
        self.free.borrow().len()
    }
}

/// One buffer; it goes back to its pool by itself.
pub struct Block {
    bytes: Box<[u8]>,
    from: usize,
    to: usize,
    pool: Pool,
}

impl Drop for Block {
    fn drop(&mut self) {
        let mut free = self.pool.free.borrow_mut();
        if free.len() < self.pool.kept {
            free.push(std::mem::take(&mut self.bytes));
        }
    }
}

impl Block {
    /// What it holds.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.from..self.to]
    }

    /// Takes in as much as it has room for, and tells how much.
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        let n = bytes.len().min(BLOCK - self.to);
        self.bytes[self.to..self.to + n].copy_from_slice(&bytes[..n]);
        self.to += n;
        n
    }
}

/// Bytes that came and were not read yet: one block at most.
pub struct Inbox {
    pool: Pool,
    block: Option<Block>,
}

impl Inbox {
    /// An empty one.
    pub fn new(pool: &Pool) -> Inbox {
        Inbox { pool: pool.clone(), block: None }
    }

    /// What is there.
    pub fn bytes(&self) -> &[u8] {
        self.block.as_ref().map_or(&[], Block::bytes)
    }

    /// Whether nothing more fits.
    pub fn full(&self) -> bool {
        self.bytes().len() == BLOCK
    }

    /// Drops bytes from the front; an empty buffer goes back.
    pub fn consume(&mut self, n: usize) {
        if let Some(b) = &mut self.block {
            b.from = (b.from + n).min(b.to);
            if b.from == b.to {
                self.block = None;
            }
        }
    }

    /// Reads once; 0 is the end of the stream. It must not be full.
    pub fn fill(&mut self, stream: &mut impl Read) -> io::Result<usize> {
        let b = self.block.get_or_insert_with(|| self.pool.block());
        if b.from > 0 {
            b.bytes.copy_within(b.from..b.to, 0);
            (b.from, b.to) = (0, b.to - b.from);
        }
        let read = system_calls::read(stream, &mut b.bytes[b.to..]);
        b.to += *read.as_ref().unwrap_or(&0);
        if b.from == b.to {
            self.block = None;
        }
        read
    }
}

/// Bytes that wait to be written.
pub struct Outbox {
    pool: Pool,
    blocks: VecDeque<Block>,
    /// Whether a byte of what waits was written.
    begun: bool,
}

impl Outbox {
    /// An empty one.
    pub fn new(pool: &Pool) -> Outbox {
        Outbox { pool: pool.clone(), blocks: VecDeque::new(), begun: false }
    }

    /// Whether all was written.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Whether what waits was written in part.
    pub fn begun(&self) -> bool {
        self.begun
    }

    /// Drops what waits.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.begun = false;
    }

    /// Adds bytes.
    pub fn append(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let n = self.blocks.back_mut().map_or(0, |b| b.append(bytes));
            if n == 0 {
                self.blocks.push_back(self.pool.block());
            }
            bytes = &bytes[n..];
        }
    }

    /// Writes what the stream takes; true once all is written.
    pub fn flush(&mut self, stream: &mut impl Write) -> io::Result<bool> {
        while let Some(b) = self.blocks.front_mut() {
            match system_calls::write(stream, b.bytes()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.begun = true;
                    b.from += n;
                    if b.from == b.to {
                        self.blocks.pop_front();
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.begun = false;
        Ok(true)
    }
}

#[cfg(test)]
mod tests;
