//! Exhaustive search: three acceptors and two proposers, each with its own text for one number, in every
//! order of deliveries and losses, with one acceptor that may lose its disk at any step. Two different texts
//! are never certified.

use std::collections::{BTreeSet, HashSet};

use crate::acceptor::Reply;
use crate::{Acceptor, AcceptorState, Ballot, Digest, Number};

const ACCEPTORS: usize = 3;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
enum Message {
    Prepare(usize, Ballot),
    Promise(usize, Ballot, Option<(Ballot, u8)>),
    Accept(usize, Ballot, u8),
}

/// The acceptor that promised, and what it had accepted.
type Promise = (usize, Option<(Ballot, u8)>);

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    acceptors: Vec<Acceptor>,
    /// Of each proposer: its current round, the promises received in it, and the text it chose.
    proposers: Vec<(u32, Vec<Promise>, Option<u8>)>,
    messages: BTreeSet<Message>,
    /// Votes that were ever signed: acceptor, ballot and text.
    votes: BTreeSet<(usize, Ballot, u8)>,
    disk_lost: bool,
}

fn digest_of(text: u8) -> Digest {
    [text; 32]
}

fn ballot(round: u32, proposer: usize) -> Ballot {
    Ballot { round, proposer: proposer as u16, incarnation: 1 }
}

fn two_texts_certified(votes: &BTreeSet<(usize, Ballot, u8)>) -> bool {
    let certified = |text: u8| {
        let ballots: BTreeSet<Ballot> =
            votes.iter().filter(|vote| vote.2 == text).map(|vote| vote.1).collect();
        ballots
            .iter()
            .any(|ballot| votes.iter().filter(|vote| (vote.1, vote.2) == (*ballot, text)).count() >= 2)
    };
    certified(0) && certified(1)
}

const NUMBER: Number = 4;

/// All states that can follow. A message that is never delivered represents a lost one.
fn next(state: &State, ballots: u32, acceptors_forget: bool) -> Vec<State> {
    let mut all = Vec::new();
    for (index, proposer) in state.proposers.iter().enumerate().filter(|(_, proposer)| proposer.0 < ballots) {
        let mut state = state.clone();
        let round = proposer.0 + 1;
        state.proposers[index] = (round, Vec::new(), None);
        state
            .messages
            .extend((0..ACCEPTORS).map(|acceptor| Message::Prepare(acceptor, ballot(round, index))));
        all.push(state);
    }
    if !state.disk_lost {
        for acceptor in 0..ACCEPTORS {
            let mut state = state.clone();
            state.disk_lost = true;
            let others = state.acceptors.iter().enumerate().filter(|(other, _)| *other != acceptor);
            let answers: Vec<_> = others
                .filter_map(|(other, acceptor)| Some((other as u16, acceptor.highest_involved()?)))
                .collect();
            let fresh = Acceptor::with_state(AcceptorState { number: NUMBER, ..AcceptorState::default() });
            state.acceptors[acceptor] = if acceptors_forget { fresh } else { Acceptor::recovering() };
            for (from, highest) in answers {
                state.acceptors[acceptor].add_recovery_answer(from, highest, ACCEPTORS);
            }
            state.acceptors[acceptor].on_certified(NUMBER - 1);
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
        Message::Prepare(acceptor, ballot) => {
            if let Some(Reply::Promise { accepted, .. }) = state.acceptors[acceptor].prepare(NUMBER, ballot) {
                let accepted = accepted.map(|(ballot, digest)| (ballot, digest[0]));
                state.messages.insert(Message::Promise(acceptor, ballot, accepted));
            }
        }
        Message::Promise(acceptor, ballot, accepted) => {
            let index = usize::from(ballot.proposer);
            let (round, promises, chosen) = &mut state.proposers[index];
            if *round != ballot.round || chosen.is_some() {
                return;
            }
            promises.push((acceptor, accepted));
            if promises.len() >= 2 {
                let highest = promises.iter().filter_map(|promise| promise.1).max();
                let text = highest.map_or(index as u8, |(_, text)| text);
                *chosen = Some(text);
                state.messages.extend((0..ACCEPTORS).map(|acceptor| Message::Accept(acceptor, ballot, text)));
            }
        }
        Message::Accept(acceptor, ballot, text) => {
            if let Some(Reply::Vote { .. }) =
                state.acceptors[acceptor].accept(NUMBER, ballot, digest_of(text))
            {
                state.votes.insert((acceptor, ballot, text));
            }
        }
    }
}

/// Whether two texts can be certified, and how many states were visited.
fn search(acceptors_forget: bool, max_states: usize) -> (bool, usize) {
    let acceptor = Acceptor::with_state(AcceptorState { number: NUMBER, ..AcceptorState::default() });
    let first = State {
        acceptors: vec![acceptor; ACCEPTORS],
        proposers: vec![(0, Vec::new(), None); 2],
        messages: BTreeSet::new(),
        votes: BTreeSet::new(),
        disk_lost: false,
    };
    let (mut visited, mut open) = (HashSet::new(), vec![first]);
    while let Some(state) = open.pop() {
        if two_texts_certified(&state.votes) {
            return (true, visited.len());
        }
        if visited.len() < max_states && visited.insert(state.clone()) {
            open.extend(next(&state, 1, acceptors_forget));
        }
    }
    (false, visited.len())
}

#[test]
fn never_two_texts_certified_in_any_order() {
    let (two, seen) = search(false, 3_000_000);
    assert!(!two);
    assert!(seen < 3_000_000, "the search was not exhaustive");
}

/// The search detects an acceptor that forgets what it signed.
#[test]
fn an_acceptor_that_forgets_is_detected() {
    assert!(search(true, 3_000_000).0);
}
