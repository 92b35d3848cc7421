//! Lease nonces from the system's source of randomness.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use badgerledge_distribution::lease::Nonce;
use badgerledge_distribution::watcher::DrawNonce;

/// Whether a nonce could not be generated. A lease over a predictable nonce may have been granted at any
/// earlier time.
#[derive(Clone, Default)]
pub struct RandomnessFailed(Arc<AtomicBool>);

impl RandomnessFailed {
    /// Whether generating a nonce has ever failed.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Returns the generator of nonces. If the system once fails to give randomness, `failed` stays set.
pub fn from_system(failed: RandomnessFailed) -> DrawNonce {
    Box::new(move || {
        let mut nonce = Nonce::default();
        if let Err(fault) = getrandom::fill(&mut nonce) {
            tracing::error!(
                "no randomness for a lease nonce; new joins are held back until a restart: {fault}"
            );
            failed.0.store(true, Ordering::Relaxed);
        }
        nonce
    })
}
