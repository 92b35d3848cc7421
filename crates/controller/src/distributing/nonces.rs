//! Nonces from the system's source of randomness.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use badgerledge_distribution::lease::Nonce;
use badgerledge_distribution::watcher::DrawNonce;

/// Whether a nonce could not be drawn: a lease over one that can be foretold may have been granted at any time before.
#[derive(Clone, Default)]
pub struct RandomnessFailed(Arc<AtomicBool>);

impl RandomnessFailed {
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// What draws nonces. Once the system gives no randomness, `failed` says so for good.
pub fn from_system(failed: RandomnessFailed) -> DrawNonce {
    Box::new(move || {
        let mut nonce = Nonce::default();
        if let Err(fault) = getrandom::fill(&mut nonce) {
            tracing::error!("no randomness for a lease, and new joins are held back from now on: {fault}");
            failed.0.store(true, Ordering::Relaxed);
        }
        nonce
    })
}
