//! What is going to happen, by time and then in the order in which it was put in.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

struct Entry<E> {
    at: Duration,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// The earliest is the greatest: the heap gives that one first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A queue of events.
pub struct Queue<E> {
    heap: BinaryHeap<Entry<E>>,
    sequence: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<E> Queue<E> {
    pub fn push(&mut self, at: Duration, event: E) {
        self.sequence += 1;
        self.heap.push(Entry { at, sequence: self.sequence, event });
    }

    /// The first event, if it is not after this time.
    pub fn pop(&mut self, until: Duration) -> Option<(Duration, E)> {
        if self.heap.peek()?.at > until {
            return None;
        }
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}
