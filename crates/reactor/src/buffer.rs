//! Byte buffer for one direction of a connection.

/// A queue of bytes that is filled at the end and consumed at the front. Its owner enforces the size limit.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    consumed: usize,
}

impl Buffer {
    /// The number of bytes not yet consumed.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Whether all bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The bytes not yet consumed.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.compact();
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes `count` bytes from the front, or all if there are fewer.
    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.bytes.len());
        if self.consumed == self.bytes.len() {
            self.bytes.clear();
            self.consumed = 0;
            // A burst must not keep its memory for the life of the connection.
            if self.bytes.capacity() > RETAINED_CAPACITY {
                self.bytes.shrink_to(RETAINED_CAPACITY);
            }
        }
    }

    /// The memory that it holds, in bytes.
    #[cfg(test)]
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Moves the rest to the front once more than half of the bytes are consumed, so that each byte is moved
    /// at most once on average.
    fn compact(&mut self) {
        if self.consumed > 0 && self.consumed >= self.bytes.len() / 2 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
    }
}

/// Bytes of capacity that an empty buffer keeps: a media packet or a few messages. Hundreds of connections that each
/// carried one long message must not hold its length for good.
const RETAINED_CAPACITY: usize = 2 * 1024;
