//! Bytes on their way through one direction of a line.

/// A queue of bytes, taken from its front and filled at its end, with a bound that its owner keeps.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    taken: usize,
}

impl Buffer {
    pub fn len(&self) -> usize {
        self.bytes.len() - self.taken
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[self.taken..]
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.make_room();
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes away `count` bytes from the front, or all if there are fewer.
    pub fn consume(&mut self, count: usize) {
        self.taken = (self.taken + count).min(self.bytes.len());
        if self.taken == self.bytes.len() {
            self.bytes.clear();
            self.taken = 0;
            // A burst must not hold its memory for as long as the line lives.
            if self.bytes.capacity() > KEPT {
                self.bytes.shrink_to(KEPT);
            }
        }
    }

    /// Moves what is left to the front once more than half of the bytes are spent, so that each byte is
    /// moved at most once on the mean.
    fn make_room(&mut self) {
        if self.taken > 0 && self.taken >= self.bytes.len() / 2 {
            self.bytes.drain(..self.taken);
            self.taken = 0;
        }
    }
}

/// Memory that an empty buffer keeps, in bytes: a few media packets, so that the ordinary path allocates
/// nothing, and 2,000 lines hold some 64 MB at most.
const KEPT: usize = 16 * 1024;
