//! Three keepers and two proposers, each with its own text for one number, in every order of deliveries and losses,
//! with one keeper that may lose its disk at any step: never two certified.

use std::collections::{BTreeSet, HashSet};

use crate::keeper::Reply;
use crate::{Ballot, Digest, Keeper, Kept, Number};

const KEEPERS: usize = 3;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
enum Message {
    Prepare(usize, Ballot),
    Promise(usize, Ballot, Option<(Ballot, u8)>),
    Accept(usize, Ballot, u8),
}

/// By whom, and what that one had accepted.
type Promise = (usize, Option<(Ballot, u8)>);

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    keepers: Vec<Keeper>,
    /// Each proposer's round so far, promises in it, and what it chose.
    proposers: Vec<(u32, Vec<Promise>, Option<u8>)>,
    messages: BTreeSet<Message>,
    /// Votes that were ever signed: who, ballot, what.
    votes: BTreeSet<(usize, Ballot, u8)>,
    lost: bool,
}

fn name(of: u8) -> Digest {
    [of; 32]
}

fn ballot(round: u32, by: usize) -> Ballot {
    Ballot { round, by: by as u16, life: 1 }
}

fn two_certified(votes: &BTreeSet<(usize, Ballot, u8)>) -> bool {
    let certified = |what: u8| {
        let ballots: BTreeSet<Ballot> = votes.iter().filter(|v| v.2 == what).map(|v| v.1).collect();
        ballots.iter().any(|b| votes.iter().filter(|v| (v.1, v.2) == (*b, what)).count() >= 2)
    };
    certified(0) && certified(1)
}

const NUMBER: Number = 4;

/// All that can happen next. A message that is never delivered is one that was lost.
fn next(state: &State, ballots: u32, forgets: bool) -> Vec<State> {
    let mut all = Vec::new();
    for (by, proposer) in state.proposers.iter().enumerate().filter(|(_, p)| p.0 < ballots) {
        let mut state = state.clone();
        let round = proposer.0 + 1;
        state.proposers[by] = (round, Vec::new(), None);
        state.messages.extend((0..KEEPERS).map(|keeper| Message::Prepare(keeper, ballot(round, by))));
        all.push(state);
    }
    if !state.lost {
        for keeper in 0..KEEPERS {
            let mut state = state.clone();
            state.lost = true;
            let others = state.keepers.iter().enumerate().filter(|(other, _)| *other != keeper);
            let answers: Vec<_> = others.filter_map(|(n, k)| Some((n as u16, k.highest()?))).collect();
            let fresh = Keeper::awake(Kept { number: NUMBER, ..Kept::default() });
            state.keepers[keeper] = if forgets { fresh } else { Keeper::reborn() };
            for (by, highest) in answers {
                state.keepers[keeper].answered(by, highest, KEEPERS);
            }
            state.keepers[keeper].certified(NUMBER - 1);
            all.push(state);
        }
    }
    for message in &state.messages {
        let mut state = state.clone();
        state.messages.remove(message);
        deliver(&mut state, *message);
        all.push(state);
    }
    all
}

fn deliver(state: &mut State, message: Message) {
    match message {
        Message::Prepare(keeper, ballot) => {
            if let Some(Reply::Promise { accepted, .. }) = state.keepers[keeper].prepare(NUMBER, ballot) {
                let accepted = accepted.map(|(ballot, digest)| (ballot, digest[0]));
                state.messages.insert(Message::Promise(keeper, ballot, accepted));
            }
        }
        Message::Promise(keeper, ballot, accepted) => {
            let by = usize::from(ballot.by);
            let (round, promises, chosen) = &mut state.proposers[by];
            if *round != ballot.round || chosen.is_some() {
                return;
            }
            promises.push((keeper, accepted));
            if promises.len() >= 2 {
                let before = promises.iter().filter_map(|promise| promise.1).max();
                let what = before.map_or(by as u8, |(_, what)| what);
                *chosen = Some(what);
                state.messages.extend((0..KEEPERS).map(|keeper| Message::Accept(keeper, ballot, what)));
            }
        }
        Message::Accept(keeper, ballot, what) => {
            if let Some(Reply::Vote { .. }) = state.keepers[keeper].accept(NUMBER, ballot, name(what)) {
                state.votes.insert((keeper, ballot, what));
            }
        }
    }
}

/// Whether two can be certified, and how many states were seen.
fn search(forgets: bool, most: usize) -> (bool, usize) {
    let keeper = Keeper::awake(Kept { number: NUMBER, ..Kept::default() });
    let first = State {
        keepers: vec![keeper; KEEPERS],
        proposers: vec![(0, Vec::new(), None); 2],
        messages: BTreeSet::new(),
        votes: BTreeSet::new(),
        lost: false,
    };
    let (mut seen, mut open) = (HashSet::new(), vec![first]);
    while let Some(state) = open.pop() {
        if two_certified(&state.votes) {
            return (true, seen.len());
        }
        if seen.len() < most && seen.insert(state.clone()) {
            open.extend(next(&state, 1, forgets));
        }
    }
    (false, seen.len())
}

#[test]
fn never_two_certified_in_any_order() {
    let (two, seen) = search(false, 3_000_000);
    assert!(!two);
    assert!(seen < 3_000_000, "the search was not whole");
}

/// With a keeper that forgets what it signed, the search finds two.
#[test]
fn a_keeper_that_forgets_is_found() {
    assert!(search(true, 3_000_000).0);
}
