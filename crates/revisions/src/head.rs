//! The head of a revision: what authors sign and acceptors vote on. The text is transferred separately.
//!
//! | bytes | field |
//! |---|---|
//! | 4 | number, from 1 |
//! | 32 | digest of the preceding head; zeros before the first |
//! | 2 | author |
//! | 4 | length of the text in bytes |
//! | 32 | digest of the text |
//! | 64 | the author's signature over `badgerledge revision 1` and all of the above |

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;

use crate::{digest, Author, Digest, Number, Refused, Signature, Signer};

/// Maximum length of a text in bytes. A catalogue of 100,000 titles has some 10 MB.
pub const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;
const HEAD_BYTES: usize = 74;
const SIGNATURE_DOMAIN: &[u8] = b"badgerledge revision 1";

/// The fields that identify a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Head {
    pub number: Number,
    /// Digest of the preceding head; zeros before the first.
    pub predecessor: Digest,
    pub author: Author,
    /// Length of the text in bytes.
    pub length: u32,
    /// Digest of the text.
    pub text: Digest,
}

impl Head {
    /// The head of this text.
    pub fn new(number: Number, predecessor: Digest, author: Author, text: &[u8]) -> Self {
        Self { number, predecessor, author, length: text.len() as u32, text: digest(text) }
    }

    /// The encoded head.
    pub fn bytes(&self) -> [u8; HEAD_BYTES] {
        let mut bytes = [0; HEAD_BYTES];
        bytes[..4].copy_from_slice(&self.number.to_be_bytes());
        bytes[4..36].copy_from_slice(&self.predecessor);
        bytes[36..38].copy_from_slice(&self.author.to_be_bytes());
        bytes[38..42].copy_from_slice(&self.length.to_be_bytes());
        bytes[42..].copy_from_slice(&self.text);
        bytes
    }

    /// The digest that identifies this revision.
    pub fn digest(&self) -> Digest {
        digest(&self.bytes())
    }

    /// The bytes that the author signs.
    pub fn signed_bytes(&self) -> Vec<u8> {
        [SIGNATURE_DOMAIN, &self.bytes()].concat()
    }

    /// Checks that `text` is the text of this head.
    ///
    /// # Errors
    /// If it is too long, or its length or digest differs.
    pub fn check_text(&self, text: &[u8]) -> Result<(), Refused> {
        if text.len() != self.length as usize || text.len() > MAX_TEXT_BYTES {
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
    /// Whether the author signed it with a key that is valid now.
    pub fn is_signed(&self, signer: &impl Signer) -> bool {
        signer.verify_author(self.head.author, &self.head.signed_bytes(), &self.signature)
    }

    /// Whether the author signed it with a key that is or was valid.
    pub fn was_signed(&self, signer: &impl Signer) -> bool {
        signer.verify_author_any_key(self.head.author, &self.head.signed_bytes(), &self.signature)
    }
}
