//! Batches, handed to a machine that takes every signature for good: no bytes make it panic, and the edits of a batch that
//! it applies lead to the same state as the batch.

#![no_main]

use badgerledge_distribution::change::{Batch, History};
use badgerledge_distribution::state::State;
use badgerledge_distribution::{Author, Signer, MachineId, Signature};
use libfuzzer_sys::fuzz_target;

struct Credulous;

impl Signer for Credulous {
    fn sign(&self, _bytes: &[u8]) -> Signature {
        [0; 64]
    }

    fn verify_member(&self, _machine: MachineId, _bytes: &[u8], _signature: &Signature) -> bool {
        true
    }

    fn verify_author(&self, _author: Author, _bytes: &[u8], _signature: &Signature) -> bool {
        true
    }

    fn verify_author_any_key(&self, _author: Author, _bytes: &[u8], _signature: &Signature) -> bool {
        true
    }

    fn members(&self) -> &[MachineId] {
        &[0]
    }

    fn acceptors(&self) -> &[MachineId] {
        &[0]
    }
}

fuzz_target!(|bytes: &[u8]| {
    let Ok(mut batch) = Batch::decode(bytes) else { return };
    assert_eq!(Batch::decode(&batch.encode()), Ok(batch.clone()));
    let state = State::new();
    let history = History::new(0, 10);
    let _ = batch.apply(&state, &history, &Credulous);
    // On the state that it names, so that most get past that.
    batch.number = 1;
    batch.previous_root = state.root();
    let applied = batch.apply(&state, &history, &Credulous);
    assert_eq!(applied, batch.apply_certified(&state, &Credulous));
    if let Ok((after, edits)) = applied {
        let mut by_edits = state;
        by_edits.apply(&edits).expect("they were applied before");
        assert!(by_edits == after);
    }
});
