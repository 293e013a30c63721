//! Buffers of one size, which are reused from a pool: no connection allocates while the pool lasts.

use crate::net::sockets::system_calls;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::rc::Rc;

/// The size of every buffer in bytes: the largest packet, line or page fits in one.
pub const BLOCK: usize = 16 * 1024;

/// Free buffers, shared by all connections.
#[derive(Clone)]
pub struct Pool {
    free: Rc<RefCell<Vec<Box<[u8]>>>>,
    /// The most free buffers that are kept; further ones go back to the system.
    most_free: usize,
}

impl Pool {
    /// An empty pool. It keeps free buffers up to so many bytes in all.
    pub fn new(bytes: usize) -> Pool {
        Pool { free: Rc::default(), most_free: bytes / BLOCK }
    }

    /// Takes an empty buffer, or makes one.
    pub fn block(&self) -> Block {
        let bytes = self.free.borrow_mut().pop().unwrap_or_else(|| vec![0; BLOCK].into_boxed_slice());
        Block { bytes, start: 0, end: 0, pool: self.clone() }
    }

    /// How many buffers are free.
    pub fn free(&self) -> usize {
        self.free.borrow().len()
    }
}

/// One buffer. It returns to its pool when it is dropped.
pub struct Block {
    bytes: Box<[u8]>,
    /// The unread bytes lie from `start` to `end`.
    start: usize,
    end: usize,
    pool: Pool,
}

impl Drop for Block {
    fn drop(&mut self) {
        let mut free = self.pool.free.borrow_mut();
        if free.len() < self.pool.most_free {
            free.push(std::mem::take(&mut self.bytes));
        }
    }
}

impl Block {
    /// The bytes that it holds.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Appends as many bytes as fit, and returns how many.
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        let n = bytes.len().min(BLOCK - self.end);
        self.bytes[self.end..self.end + n].copy_from_slice(&bytes[..n]);
        self.end += n;
        n
    }
}

/// Bytes that were received and not understood yet: one block at most.
pub struct Inbox {
    pool: Pool,
    block: Option<Block>,
}

impl Inbox {
    /// An empty one.
    pub fn new(pool: &Pool) -> Inbox {
        Inbox { pool: pool.clone(), block: None }
    }

    /// The bytes that it holds.
    pub fn bytes(&self) -> &[u8] {
        self.block.as_ref().map_or(&[], Block::bytes)
    }

    /// Whether nothing more fits.
    pub fn full(&self) -> bool {
        self.bytes().len() == BLOCK
    }

    /// Drops bytes from the front; an empty buffer returns to the pool.
    pub fn consume(&mut self, n: usize) {
        if let Some(block) = &mut self.block {
            block.start = (block.start + n).min(block.end);
            if block.start == block.end {
                self.block = None;
            }
        }
    }

    /// Reads once, and returns how many bytes came; 0 is the end of the stream. It must not be full.
    pub fn fill(&mut self, stream: &mut impl Read) -> io::Result<usize> {
        let block = self.block.get_or_insert_with(|| self.pool.block());
        if block.start > 0 {
            block.bytes.copy_within(block.start..block.end, 0);
            (block.start, block.end) = (0, block.end - block.start);
        }
        let read = system_calls::read(stream, &mut block.bytes[block.end..]);
        block.end += *read.as_ref().unwrap_or(&0);
        if block.start == block.end {
            self.block = None;
        }
        read
    }
}

/// Bytes that wait to be written.
pub struct Outbox {
    pool: Pool,
    blocks: VecDeque<Block>,
    /// Whether some bytes of what waits were written.
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
            let n = self.blocks.back_mut().map_or(0, |block| block.append(bytes));
            if n == 0 {
                self.blocks.push_back(self.pool.block());
            }
            bytes = &bytes[n..];
        }
    }

    /// Writes as much as the stream takes. True once all is written.
    pub fn flush(&mut self, stream: &mut impl Write) -> io::Result<bool> {
        while let Some(block) = self.blocks.front_mut() {
            match system_calls::write(stream, block.bytes()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.begun = true;
                    block.start += n;
                    if block.start == block.end {
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
