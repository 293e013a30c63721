//! Fixed-size buffers that are reused from a pool, so that connections do not allocate while the pool has
//! free buffers.

use crate::net::sockets::system_calls;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::rc::Rc;

/// Size of a buffer, in bytes; fits the largest packet, line or page.
pub const BLOCK_SIZE: usize = 16 * 1024;

/// Pool of free buffers, shared by all connections.
#[derive(Clone)]
pub struct Pool {
    free: Rc<RefCell<Vec<Box<[u8]>>>>,
    /// Maximum number of free buffers to keep; further ones are deallocated.
    max_free: usize,
}

impl Pool {
    /// Creates an empty pool that keeps up to this many bytes of free buffers.
    pub fn new(bytes: usize) -> Pool {
        Pool { free: Rc::default(), max_free: bytes / BLOCK_SIZE }
    }

    /// Takes an empty buffer from the pool, or allocates one.
    pub fn block(&self) -> Block {
        let bytes = self.free.borrow_mut().pop().unwrap_or_else(|| vec![0; BLOCK_SIZE].into_boxed_slice());
        Block { bytes, start: 0, end: 0, pool: self.clone() }
    }

    /// Number of free buffers.
    pub fn free(&self) -> usize {
        self.free.borrow().len()
    }
}

/// A buffer that returns to its pool when dropped.
pub struct Block {
    bytes: Box<[u8]>,
    /// Unread bytes are in `start..end`.
    start: usize,
    end: usize,
    pool: Pool,
}

impl Drop for Block {
    fn drop(&mut self) {
        let mut free = self.pool.free.borrow_mut();
        if free.len() < self.pool.max_free {
            free.push(std::mem::take(&mut self.bytes));
        }
    }
}

impl Block {
    /// The bytes that it holds.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Appends as many bytes as fit and returns their number.
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        let n = bytes.len().min(BLOCK_SIZE - self.end);
        self.bytes[self.end..self.end + n].copy_from_slice(&bytes[..n]);
        self.end += n;
        n
    }
}

/// Received bytes that are not yet parsed; at most one block.
pub struct ReadBuffer {
    pool: Pool,
    block: Option<Block>,
}

impl ReadBuffer {
    /// An empty one.
    pub fn new(pool: &Pool) -> ReadBuffer {
        ReadBuffer { pool: pool.clone(), block: None }
    }

    /// The bytes that it holds.
    pub fn bytes(&self) -> &[u8] {
        self.block.as_ref().map_or(&[], Block::bytes)
    }

    /// Whether the buffer is full.
    pub fn is_full(&self) -> bool {
        self.bytes().len() == BLOCK_SIZE
    }

    /// Removes bytes from the front; an empty buffer returns to the pool.
    pub fn consume(&mut self, n: usize) {
        if let Some(block) = &mut self.block {
            block.start = (block.start + n).min(block.end);
            if block.start == block.end {
                self.block = None;
            }
        }
    }

    /// Reads once and returns the number of bytes; 0 means end of stream. The buffer must not be full.
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

/// Bytes to be written.
pub struct WriteBuffer {
    pool: Pool,
    blocks: VecDeque<Block>,
    /// Whether part of the pending bytes has been written.
    is_partially_written: bool,
    /// Number of bytes written so far.
    written: u64,
}

impl WriteBuffer {
    /// An empty one.
    pub fn new(pool: &Pool) -> WriteBuffer {
        WriteBuffer { pool: pool.clone(), blocks: VecDeque::new(), is_partially_written: false, written: 0 }
    }

    /// Whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Whether the pending bytes have been written in part.
    pub fn is_partially_written(&self) -> bool {
        self.is_partially_written
    }

    /// Number of bytes written since its creation.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Discards the pending bytes.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.is_partially_written = false;
    }

    /// Queues bytes.
    pub fn append(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let n = self.blocks.back_mut().map_or(0, |block| block.append(bytes));
            if n == 0 {
                self.blocks.push_back(self.pool.block());
            }
            bytes = &bytes[n..];
        }
    }

    /// Writes as much as the stream accepts. Returns true once nothing is pending.
    pub fn flush(&mut self, stream: &mut impl Write) -> io::Result<bool> {
        while let Some(block) = self.blocks.front_mut() {
            match system_calls::write(stream, block.bytes()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.is_partially_written = true;
                    self.written += n as u64;
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
        self.is_partially_written = false;
        Ok(true)
    }
}

#[cfg(test)]
mod tests;
