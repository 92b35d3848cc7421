//! A simulated fleet: members in simulated time, on a network that partitions, drops, duplicates and delays
//! messages, with disks that can be lost.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::message::Message;
use crate::{
    digest, Acceptor, AcceptorState, ActivationMode, Author, Digest, Head, Member, MemberOutput, Number,
    Signer,
};
use crate::{MemberConfig, Revisions, Signature, Signed, StoredState};

/// How long decisions may take to take effect.
pub const ACTIVATION_DELAY: Duration = Duration::from_millis(20);

/// Signs with a digest that anyone could compute; these tests cover honest members only.
#[derive(Clone)]
pub struct TestSigner {
    pub local_id: Member,
    pub members: Rc<Vec<Member>>,
    pub acceptors: Rc<Vec<Member>>,
    /// Authors whose keys were revoked.
    pub revoked: Rc<BTreeSet<Author>>,
}

/// The signature of a signer, by its number.
pub fn test_signature(signer: u32, bytes: &[u8]) -> Signature {
    let hash = digest(&[&signer.to_be_bytes(), bytes].concat());
    let mut signature = [0; 64];
    signature[..32].copy_from_slice(&hash);
    signature
}

/// Offset that keeps authors' signer numbers apart from those of members.
pub const AUTHORS: u32 = 1 << 16;

impl Signer for TestSigner {
    fn sign(&self, bytes: &[u8]) -> Signature {
        test_signature(u32::from(self.local_id), bytes)
    }
    fn verify_member(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool {
        *signature == test_signature(u32::from(member), bytes)
    }
    fn verify_author(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        !self.revoked.contains(&author) && self.verify_author_any_key(author, bytes, signature)
    }
    fn verify_author_any_key(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        *signature == test_signature(AUTHORS + u32::from(author), bytes)
    }
    fn members(&self) -> &[Member] {
        &self.members
    }
    fn acceptors(&self) -> &[Member] {
        &self.acceptors
    }
}

/// A head of this text, signed by an author.
pub fn signed(number: Number, predecessor: Digest, author: Author, text: &[u8]) -> Signed {
    let head = Head::new(number, predecessor, author, text);
    Signed { head, signature: test_signature(AUTHORS + u32::from(author), &head.signed_bytes()) }
}

#[derive(Default, Clone)]
struct Disk {
    stored: Option<StoredState>,
    texts: BTreeMap<Digest, Arc<[u8]>>,
}

/// A member's place in the simulation: its process, while it runs, and its disk.
pub struct Node {
    pub member: Option<Revisions<TestSigner>>,
    disk: Disk,
    incarnation: u32,
    stalled_until: Duration,
    due: Duration,
    /// The latest incarnation seen of each sender; like the gossip, the simulation drops messages of earlier
    /// ones.
    seen_incarnations: BTreeMap<Member, u32>,
}

enum Event {
    Message(Member, u32, Member, Vec<u8>),
    Text(Member, Member, Signed),
    Poll(Member, u32),
}

/// Faults injected to show that the checks detect them.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Members activate and decide without a lease.
    pub ignore_leases: bool,
    /// Acceptors that lost their disks continue as if they had signed nothing.
    pub acceptors_forget: bool,
}

/// A simulated fleet and its network.
pub struct Simulation {
    pub now: Duration,
    pub loss: f64,
    pub delay: Duration,
    pub cut: BTreeSet<(Member, Member)>,
    pub nodes: Vec<Node>,
    pub rng: Rng,
    pub faults: Faults,
    /// A member that can't activate a text.
    pub refuses: Option<(Member, Vec<u8>)>,
    mode: ActivationMode,
    signer: TestSigner,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    /// Digests ever known certified, by number.
    pub certified: BTreeMap<Number, BTreeSet<Digest>>,
    /// When each revision was first activated.
    pub activated_at: BTreeMap<Number, Duration>,
    /// The longest time that any member kept an older revision active after that.
    pub longest_contradiction: Duration,
}

impl Simulation {
    /// A fleet in which members `0..acceptors` are acceptors; all members are started.
    pub fn new(members: Member, acceptors: Member, mode: ActivationMode, seed: u64) -> Self {
        let signer = TestSigner {
            local_id: 0,
            members: Rc::new((0..members).collect()),
            acceptors: Rc::new((0..acceptors).collect()),
            revoked: Rc::default(),
        };
        let initial = StoredState { acceptor: Some(AcceptorState::default()), ..StoredState::default() };
        let node = |n: Member| Node {
            member: None,
            disk: Disk { stored: (n < acceptors).then(|| initial.clone()), texts: BTreeMap::new() },
            incarnation: 0,
            stalled_until: Duration::ZERO,
            due: Duration::MAX,
            seen_incarnations: BTreeMap::new(),
        };
        let mut sim = Self {
            now: Duration::from_secs(1000),
            loss: 0.02,
            delay: Duration::from_millis(30),
            cut: BTreeSet::new(),
            nodes: (0..members).map(node).collect(),
            rng: Rng(seed),
            faults: Faults::default(),
            refuses: None,
            mode,
            signer,
            events: BTreeMap::new(),
            sequence: 0,
            certified: BTreeMap::new(),
            activated_at: BTreeMap::new(),
            longest_contradiction: Duration::ZERO,
        };
        (0..members).for_each(|member| sim.start(member));
        sim
    }

    /// The bound that the members state.
    pub fn bound(&self) -> Duration {
        crate::bound(crate::lease_duration_for(self.nodes.len()), ACTIVATION_DELAY)
    }

    /// Starts a member with what is on its disk.
    pub fn start(&mut self, member_id: Member) {
        let node = &mut self.nodes[usize::from(member_id)];
        node.incarnation += 1;
        let mut stored = node.disk.stored.clone();
        let lost_state = self.signer.acceptors.contains(&member_id)
            && stored.as_ref().is_none_or(|stored| stored.acceptor.is_none());
        if lost_state && self.faults.acceptors_forget {
            stored.get_or_insert_default().acceptor = Some(AcceptorState::default());
        }
        let unusable_text =
            self.refuses.clone().filter(|(member, _)| *member == member_id).map(|(_, text)| text);
        let check = move |text: &[u8]| match unusable_text.as_deref() == Some(text) {
            true => Err("a key that this build does not know".to_owned()),
            false => Ok(()),
        };
        let config = MemberConfig {
            local_id: member_id,
            incarnation: node.incarnation,
            mode: self.mode,
            activation_delay: ACTIVATION_DELAY,
            check: Box::new(check),
        };
        let signer = TestSigner { local_id: member_id, ..self.signer.clone() };
        let texts = node.disk.texts.values().cloned().collect();
        let seed = (self.rng.unit_interval() * 1e15) as u64;
        node.member =
            Some(Revisions::new(signer, config, Arc::from(&b"own"[..]), stored, texts, self.now, seed));
        node.stalled_until = Duration::ZERO;
        self.schedule(member_id);
    }

    /// Kills a member, with `with_disk` its disk too.
    pub fn kill(&mut self, member_id: Member, with_disk: bool) {
        let node = &mut self.nodes[usize::from(member_id)];
        (node.member, node.due) = (None, Duration::MAX);
        node.seen_incarnations.clear();
        if with_disk {
            node.disk = Disk::default();
        }
    }

    /// The signer of a member.
    pub fn signer_of(&self, member_id: Member) -> TestSigner {
        TestSigner { local_id: member_id, ..self.signer.clone() }
    }

    /// Stops a member's processing for a time.
    pub fn stall(&mut self, member_id: Member, duration: Duration) {
        self.nodes[usize::from(member_id)].stalled_until = self.now + duration;
    }

    fn schedule_event(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn schedule(&mut self, member_id: Member) {
        let node = &mut self.nodes[usize::from(member_id)];
        let Some(due) = node.member.as_ref().map(Revisions::next_due) else { return };
        if due < node.due {
            node.due = due;
            let incarnation = node.incarnation;
            self.schedule_event(
                due.max(self.now + Duration::from_millis(1)),
                Event::Poll(member_id, incarnation),
            );
        }
    }

    /// Calls a member and carries out what it returns.
    pub fn with(
        &mut self, member_id: Member,
        f: impl FnOnce(&mut Revisions<TestSigner>, Duration, &mut Vec<MemberOutput>),
    ) {
        let (now, mut out) = (self.now, Vec::new());
        let Some(member) = &mut self.nodes[usize::from(member_id)].member else { return };
        f(member, now, &mut out);
        self.carry_out(member_id, out);
        self.check_member(member_id);
        self.schedule(member_id);
    }

    fn carry_out(&mut self, member_id: Member, out: Vec<MemberOutput>) {
        for output in out {
            match output {
                MemberOutput::Send(to, bytes) => self.send(member_id, to, &bytes),
                MemberOutput::Store(bytes) => {
                    self.nodes[usize::from(member_id)].disk.stored =
                        Some(StoredState::read(&bytes).expect("valid stored state"));
                }
                MemberOutput::StoreText(digest, text) => {
                    self.nodes[usize::from(member_id)].disk.texts.insert(digest, text);
                }
                MemberOutput::Fetch(signed, from) => {
                    if !self.cut.contains(&(member_id, from)) && !self.cut.contains(&(from, member_id)) {
                        let at = self.now + self.rng.random_duration(self.delay) * 4;
                        self.schedule_event(at, Event::Text(member_id, from, signed));
                    }
                }
                MemberOutput::Changed | MemberOutput::Unusable(..) => {}
            }
        }
    }

    fn send(&mut self, from: Member, to: Member, bytes: &[u8]) {
        for _ in 0..if self.rng.unit_interval() < 0.02 { 2 } else { 1 } {
            if self.cut.contains(&(from, to)) || self.rng.unit_interval() < self.loss {
                continue;
            }
            let at = self.now + self.rng.random_duration(self.delay);
            let incarnation = self.nodes[usize::from(from)].incarnation;
            self.schedule_event(at, Event::Message(from, incarnation, to, bytes.to_vec()));
        }
    }

    /// Compares a member's active revision with those of all others.
    fn check_member(&mut self, member_id: Member) {
        let Some(member) = &self.nodes[usize::from(member_id)].member else { return };
        let (number, digest) = member.next();
        if number > 1 {
            self.certified.entry(number - 1).or_default().insert(digest);
        }
        let active_revision = member.active_revision(self.now);
        if active_revision.held.is_some() && !self.faults.ignore_leases {
            return;
        }
        self.activated_at.entry(active_revision.active).or_insert(self.now);
        let newer_since = self.activated_at.range(active_revision.active + 1..).map(|(_, at)| *at).min();
        self.longest_contradiction = self
            .longest_contradiction
            .max(newer_since.map_or(Duration::ZERO, |at| self.now.saturating_sub(at)));
    }

    /// Runs the simulation until that time.
    pub fn run(&mut self, until: Duration) {
        let mut next_check = self.now;
        while let Some((at, _)) =
            self.events.first_key_value().map(|(key, _)| *key).filter(|key| key.0 <= until)
        {
            while next_check <= at {
                self.now = self.now.max(next_check);
                (0..self.nodes.len() as Member).for_each(|member_id| self.check_member(member_id));
                next_check += Duration::from_millis(100);
            }
            let Some((_, event)) = self.events.pop_first() else { return };
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = until;
    }

    fn handle_event(&mut self, event: Event) {
        let to = match &event {
            Event::Message(_, _, to, _) | Event::Text(to, ..) | Event::Poll(to, _) => *to,
        };
        let node = &mut self.nodes[usize::from(to)];
        if node.stalled_until > self.now {
            let at = node.stalled_until;
            return self.schedule_event(at, event);
        }
        match event {
            Event::Message(from, incarnation, to, bytes) => {
                let known = node.seen_incarnations.entry(from).or_default();
                if incarnation >= *known {
                    *known = incarnation;
                    self.with(to, |member, now, out| {
                        member.receive(now, from, Message::read(&bytes).expect("a valid message"), out);
                    });
                }
            }
            Event::Text(to, from, signed) => {
                let source = self.nodes[usize::from(from)].member.as_ref();
                let text = source.and_then(|source| source.text_by_digest(&signed.head.text).cloned());
                if let Some(text) = text {
                    self.with(to, |member, now, out| {
                        member.take_text(now, &signed, text, out).expect("the text that the head names")
                    });
                }
            }
            Event::Poll(member_id, incarnation) if incarnation == node.incarnation => {
                node.due = Duration::MAX;
                self.with(member_id, Revisions::poll);
            }
            Event::Poll(..) => {}
        }
    }

    /// Pushes a revision at a member, as the next one by that member's knowledge.
    pub fn push(&mut self, at: Member, author: Author, text: &[u8]) {
        self.with(at, |member, now, out| {
            let (number, before) = member.next();
            let _ = member.push(now, signed(number, before, author, text), Arc::from(text), out);
        });
    }

    /// Revokes an author's key: all members take the new ring.
    pub fn revoke(&mut self, author: Author) {
        let revoked = self.signer.revoked.iter().copied().chain([author]).collect();
        self.signer.revoked = Rc::new(revoked);
        for member_id in 0..self.nodes.len() as Member {
            let signer = TestSigner { local_id: member_id, ..self.signer.clone() };
            self.with(member_id, |member, _, _| member.replace_signer(signer));
        }
    }

    /// The active revisions of all running members.
    pub fn active(&self) -> Vec<Number> {
        let active_revision =
            |node: &Node| node.member.as_ref().map(|member| member.active_revision(self.now).active);
        self.nodes.iter().filter_map(active_revision).collect()
    }

    /// The acceptor state of a member.
    pub fn acceptor(&self, member_id: Member) -> Option<Acceptor> {
        self.nodes[usize::from(member_id)].member.as_ref().and_then(|member| member.status(self.now).acceptor)
    }
}
