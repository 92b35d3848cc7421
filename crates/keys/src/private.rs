//! A private key and its file, which has two lines: the role and number of its owner, and the secret in hex.

use std::fs::File;
use std::io::{Read, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::Path;

use badgerledge_gossip::statement::Signature;
use badgerledge_gossip::Member;
use ed25519_dalek::{Signer, SigningKey};
use thiserror::Error;

/// Why a private key can not be read, written or generated.
#[derive(Debug, Error)]
pub enum PrivateKeyError {
    /// The file and the error.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// The file and its mode.
    #[error("{0}: others may read this private key (mode {1:o}); chmod 600 it, and make a new one if it may have been read")]
    Open(String, u32),
    /// The file, the line number and the error.
    #[error("{0}:{1}: {2}")]
    Malformed(String, usize, &'static str),
    #[error("the system provides no random numbers: {0}")]
    Random(getrandom::Error),
}

/// The owner of a key. An author signs revisions and nothing else, and a member never signs a revision as an
/// author.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Member(Member),
    Author(Member),
}

impl Role {
    /// Name and number of the role, as in the key file and the ring.
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

/// A private key with its owner.
#[derive(Clone)]
pub struct PrivateKey {
    role: Role,
    signing_key: SigningKey,
}

/// Permission bits of a file that let group or others access it.
const GROUP_AND_OTHERS_MODE: u32 = 0o077;
/// Maximum number of bytes that are read from a key file.
const MAX_FILE_BYTES: u64 = 1024;

impl PrivateKey {
    /// Generates a new key.
    pub fn generate(role: Role) -> Result<Self, PrivateKeyError> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(PrivateKeyError::Random)?;
        Ok(Self { role, signing_key: SigningKey::from_bytes(&secret) })
    }

    /// Writes the key to a new file that only its owner may read; fails if the file exists.
    pub fn write(&self, path: &Path) -> Result<(), PrivateKeyError> {
        let io_fault = |error| PrivateKeyError::Io(path.display().to_string(), error);
        let mut file =
            File::options().write(true).create_new(true).mode(0o600).open(path).map_err(io_fault)?;
        let (name, number) = self.role.parts();
        let text = format!("{name} = {number}\nsecret = {}\n", hex::encode(self.signing_key.to_bytes()));
        file.write_all(text.as_bytes()).and_then(|()| file.sync_all()).map_err(io_fault)
    }

    /// Reads a key from a file; fails if anyone but its owner may access the file.
    pub fn read(path: &Path) -> Result<Self, PrivateKeyError> {
        let file_name = path.display().to_string();
        let io_fault = |error| PrivateKeyError::Io(file_name.clone(), error);
        let file = File::open(path).map_err(io_fault)?;
        let mode = file.metadata().map_err(io_fault)?.permissions().mode();
        if mode & GROUP_AND_OTHERS_MODE != 0 {
            return Err(PrivateKeyError::Open(file_name, mode & 0o777));
        }
        let mut text = String::new();
        file.take(MAX_FILE_BYTES).read_to_string(&mut text).map_err(io_fault)?;
        let malformed = |line: usize, why| PrivateKeyError::Malformed(file_name.clone(), line, why);
        let mut lines = text.lines();
        let mut next_value = |line: usize, names: &[&str], why| {
            let pair = lines.next().and_then(|text| text.split_once('='));
            let pair = pair.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
            pair.filter(|pair| names.contains(&pair.0.as_str())).ok_or_else(|| malformed(line, why))
        };
        let (role, number) =
            next_value(1, &["member", "author"], "the line must be member = NUMBER or author = NUMBER")?;
        let (_, secret) = next_value(2, &["secret"], "the line must be secret = 64 HEX DIGITS")?;
        let number = number.parse().map_err(|_| malformed(1, "the number must be between 0 and 65534"))?;
        let role = if role == "member" { Role::Member(number) } else { Role::Author(number) };
        let mut bytes = [0; 32];
        hex::decode_to_slice(secret, &mut bytes)
            .map_err(|_| malformed(2, "the secret must have 64 hex digits"))?;
        Ok(Self { role, signing_key: SigningKey::from_bytes(&bytes) })
    }

    /// The owner of the key.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Signs as the owner of the key.
    pub fn sign(&self, bytes: &[u8]) -> Signature {
        self.signing_key.sign(bytes).to_bytes()
    }

    /// The public key in hex.
    pub fn public_hex(&self) -> String {
        hex::encode(self.signing_key.verifying_key().to_bytes())
    }

    pub(crate) fn signing_key(&self) -> &SigningKey {
        &self.signing_key
    }
}
