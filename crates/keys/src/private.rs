//! A private key's file: two lines, whose it is, by number, and the secret, in hex.

use std::fs::File;
use std::io::{Read, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::Path;

use badgerledge_gossip::statement::Signature;
use badgerledge_gossip::Member;
use ed25519_dalek::{Signer, SigningKey};
use thiserror::Error;

/// Why a private key is not taken.
#[derive(Debug, Error)]
pub enum PrivateFault {
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    #[error("{0}: others may read this private key (mode {1:o}); chmod 600 it, and make a new one if they may have")]
    Open(String, u32),
    #[error("{0}:{1}: {2}")]
    Malformed(String, usize, &'static str),
    #[error("no randomness: {0}")]
    Random(getrandom::Error),
}

/// Whose key it is. An author signs revisions and nothing else, and a member never signs one as an author.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Member(Member),
    Author(Member),
}

impl Role {
    fn parts(self) -> (&'static str, Member) {
        match self {
            Self::Member(number) => ("member", number),
            Self::Author(number) => ("author", number),
        }
    }
}

impl std::fmt::Display for Role {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (name, number) = self.parts();
        write!(f, "{name} {number}")
    }
}

#[derive(Clone)]
pub struct PrivateKey {
    role: Role,
    signing: SigningKey,
}

/// Modes that let anyone but the owner in.
const OTHERS: u32 = 0o077;
/// Bytes of a key file at most.
const LONGEST: u64 = 1024;

impl PrivateKey {
    pub fn make(role: Role) -> Result<Self, PrivateFault> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(PrivateFault::Random)?;
        Ok(Self { role, signing: SigningKey::from_bytes(&secret) })
    }

    /// Writes it to a file that was not there, for its owner alone.
    pub fn write(&self, path: &Path) -> Result<(), PrivateFault> {
        let io = |e| PrivateFault::Io(path.display().to_string(), e);
        let mut file = File::options().write(true).create_new(true).mode(0o600).open(path).map_err(io)?;
        let (name, number) = self.role.parts();
        let text = format!("{name} = {number}\nsecret = {}\n", hex::encode(self.signing.to_bytes()));
        file.write_all(text.as_bytes()).and_then(|()| file.sync_all()).map_err(io)
    }

    pub fn read(path: &Path) -> Result<Self, PrivateFault> {
        let name = path.display().to_string();
        let io = |e| PrivateFault::Io(name.clone(), e);
        let file = File::open(path).map_err(io)?;
        let mode = file.metadata().map_err(io)?.permissions().mode();
        if mode & OTHERS != 0 {
            return Err(PrivateFault::Open(name, mode & 0o777));
        }
        let mut text = String::new();
        file.take(LONGEST).read_to_string(&mut text).map_err(io)?;
        let malformed = |line: usize, why| PrivateFault::Malformed(name.clone(), line, why);
        let mut lines = text.lines();
        let mut value = |line: usize, keys: &[&str], why| {
            let told = lines.next().and_then(|text| text.split_once('='));
            let told = told.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
            told.filter(|told| keys.contains(&told.0.as_str())).ok_or_else(|| malformed(line, why))
        };
        let (role, number) = value(1, &["member", "author"], "member = NUMBER or author = NUMBER is wanted")?;
        let (_, secret) = value(2, &["secret"], "secret = 64 HEX DIGITS is wanted")?;
        let number = number.parse().map_err(|_| malformed(1, "a number of 0 to 65534 is taken"))?;
        let role = if role == "member" { Role::Member(number) } else { Role::Author(number) };
        let mut bytes = [0; 32];
        hex::decode_to_slice(secret, &mut bytes).map_err(|_| malformed(2, "64 hex digits are taken"))?;
        Ok(Self { role, signing: SigningKey::from_bytes(&bytes) })
    }

    pub fn role(&self) -> Role {
        self.role
    }

    /// Signs as whoever the key is of.
    pub fn sign(&self, bytes: &[u8]) -> Signature {
        self.signing.sign(bytes).to_bytes()
    }

    /// The public half, in hex.
    pub fn public(&self) -> String {
        hex::encode(self.signing.verifying_key().to_bytes())
    }

    pub(crate) fn signing(&self) -> &SigningKey {
        &self.signing
    }
}
