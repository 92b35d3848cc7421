//! How fast members may be restarted, derived from the settings that the fleet acts on.

use std::time::Duration;

use badgerledge_deployment::Shared;

use crate::state::{Pace, Spec};
use crate::text::PaceDefaults;

/// A wave of going back whose members are silent is passed over after so many times what it should have
/// taken: those who hear the state later go back by themselves.
const PATIENCE: u32 = 3;

/// The pace that settings allow.
///
/// The viewers of `k` of a zone's `n` controllers are `k/n` of its load, and all come again at once. The
/// streamers that they come to may be cold: they take `cold_from` of their pace until `warm_up_ms` have
/// gone. So `k/n` is `cold_from` at most, and a wave settles for the time in which viewers come again (a
/// client's wait, then the longest time to stay away that it is told) and the warm-up after it.
pub fn derive(shared: &Shared) -> PaceDefaults {
    let waits = shared.room_types.iter().map(|(_, room_type)| room_type.client_timeout_ms);
    let comes_again = waits.max().unwrap_or(0) + shared.permissions.max_retry_after_ms;
    let settle = Duration::from_millis(comes_again + shared.rules.warm_up_ms);
    // A state has whole seconds.
    let settle = Duration::from_secs(settle.as_millis().div_ceil(1000) as u64);
    PaceDefaults { at_once_share: shared.rules.cold_from, settle }
}

/// When a wave of going back is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackWave {
    /// Its members have been ready on the old side for so long,
    pub settle: Duration,
    /// or so much time has gone since it was released.
    pub at_most: Duration,
}

impl Spec {
    /// Quick where the new side serves nobody: what does not serve has no viewers that would come again,
    /// and who crashes may never say that it is back.
    pub fn back_wave(&self, pace: Pace) -> BackWave {
        match pace {
            Pace::Paced => {
                BackWave { settle: self.settle, at_most: (self.ready_within + self.settle) * PATIENCE }
            }
            Pace::Quick => BackWave { settle: Duration::ZERO, at_most: self.ready_within },
        }
    }
}
