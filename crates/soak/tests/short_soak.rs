//! A short soak with fixed seeds: shutdowns in series, hanging streamers, second copies of answers, crowds and
//! leaving clients, on real processes.

use std::path::Path;
use std::time::Duration;

use badgerledge_soak::{play, Outcome, Plan};

/// Together they have one to three processes, client timeouts from 0.6 to 5 s, and each kind of fault.
const SEEDS: [u64; 6] = [2, 3, 6, 8, 9, 14];
const DURATION: Duration = Duration::from_secs(20);
/// Runs that are played side by side.
const PARALLEL: usize = 3;
/// A run in which the rig itself was late proves nothing and is played again, at most so often.
const MAX_PLAYS: usize = 3;

fn play_seed(seed: u64) -> Outcome {
    let program = Path::new(env!("CARGO_BIN_EXE_badgerledge-soak"));
    let plan = Plan::draw(seed, DURATION);
    for _ in 0..MAX_PLAYS {
        let folder = tempfile::TempDir::new().unwrap();
        let outcome = play(&plan, program, folder.path(), "info").unwrap();
        if !outcome.stalled {
            return outcome;
        }
        println!("seed {seed}: the rig was {} ms late; played again", outcome.longest_lag_ms);
    }
    panic!("seed {seed}: the rig was late in {MAX_PLAYS} plays");
}

#[test]
fn fixed_seeds_keep_all_rules() {
    for seeds in SEEDS.chunks(PARALLEL) {
        let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
            let plays: Vec<_> = seeds.iter().map(|seed| scope.spawn(|| play_seed(*seed))).collect();
            plays.into_iter().map(|play| play.join().unwrap()).collect()
        });
        for outcome in outcomes {
            let seed = outcome.plan.seed;
            assert!(outcome.violations.is_empty(), "seed {seed}: {:#?}", outcome.violations);
            let coverage = outcome.coverage;
            assert!(coverage.accepted > 100 && coverage.shutdowns > 0, "seed {seed}: {coverage:?}");
            assert_eq!(coverage.exits_before_kill, coverage.shutdowns, "seed {seed}");
        }
    }
}
