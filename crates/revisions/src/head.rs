//! The head of a revision: what keepers vote on and authors sign. Its text goes by itself.
//!
//! | bytes | field |
//! |---|---|
//! | 4 | number, from 1 |
//! | 32 | the digest of the head before it; zeros before the first |
//! | 2 | author |
//! | 4 | bytes of the text |
//! | 32 | the digest of the text |
//! | 64 | the author's signature over `badgerledge revision 1` and all of the above |

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;

use crate::{digest, Author, Digest, Hand, Number, Refused, Signature};

/// Bytes of a text at most: a catalogue of 100,000 titles has some 10 MB.
pub const LONGEST_TEXT: usize = 16 * 1024 * 1024;
const HEAD: usize = 74;
const DOMAIN: &[u8] = b"badgerledge revision 1";

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Head {
    pub number: Number,
    pub before: Digest,
    pub author: Author,
    pub length: u32,
    pub text: Digest,
}

impl Head {
    pub fn new(number: Number, before: Digest, author: Author, text: &[u8]) -> Self {
        Self { number, before, author, length: text.len() as u32, text: digest(text) }
    }

    pub fn bytes(&self) -> [u8; HEAD] {
        let mut bytes = [0; HEAD];
        bytes[..4].copy_from_slice(&self.number.to_be_bytes());
        bytes[4..36].copy_from_slice(&self.before);
        bytes[36..38].copy_from_slice(&self.author.to_be_bytes());
        bytes[38..42].copy_from_slice(&self.length.to_be_bytes());
        bytes[42..].copy_from_slice(&self.text);
        bytes
    }

    /// What names this revision everywhere.
    pub fn digest(&self) -> Digest {
        digest(&self.bytes())
    }

    /// What its author signs.
    pub fn signed_bytes(&self) -> Vec<u8> {
        [DOMAIN, &self.bytes()].concat()
    }

    /// Whether this is its text.
    ///
    /// # Errors
    /// Where it is too long, of another length, or another text.
    pub fn check_text(&self, text: &[u8]) -> Result<(), Refused> {
        if text.len() != self.length as usize || text.len() > LONGEST_TEXT {
            return Err(Refused::Length(text.len(), self.length as usize));
        }
        if digest(text) != self.text {
            return Err(Refused::Digest);
        }
        Ok(())
    }
}

/// A head with its author's signature.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Signed {
    pub head: Head,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

impl Signed {
    pub fn is_signed(&self, hand: &impl Hand) -> bool {
        hand.by_author(self.head.author, &self.head.signed_bytes(), &self.signature)
    }

    /// Whether its author signed it, by a key that holds or held.
    pub fn was_signed(&self, hand: &impl Hand) -> bool {
        hand.by_author_ever(self.head.author, &self.head.signed_bytes(), &self.signature)
    }
}
