//! Decides the effect of a settings or titles change on one subscription.

use badgerledge_catalogue::Catalogue;
use badgerledge_core::interface::SubscriptionRequest;
use badgerledge_deployment::Shared;

/// The new configuration: the titles, and settings that were arranged to keep the existing numbers
/// ([`crate::preserve_numbers`]).
#[derive(Clone, Copy)]
pub struct Configuration<'a> {
    pub shared: &'a Shared,
    pub titles: &'a Catalogue,
}

/// The stage of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits, without a pending join.
    Waiting,
    /// Has a pending join at a streamer of `cell`, if known. `setup_sent` is whether SETUP was sent.
    Joining { cell: Option<u32>, setup_sent: bool },
    /// Plays from a streamer of `cell`, if known.
    Playing { cell: Option<u32> },
}

/// The properties of a subscription on which the effect of a change depends.
#[derive(Clone, Copy, Debug)]
pub struct Subscription {
    pub request: SubscriptionRequest,
    pub stage: Stage,
}

/// How the controller proceeds with a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It continues unchanged.
    Continue,
    /// Its join is for a cell that no longer has its title, and SETUP was not sent: the join is withdrawn, and the
    /// subscription is placed again.
    WithdrawJoin,
    /// Its title or room type was removed: it gets a final answer at once, without a retry time since a retry would fail.
    Reject,
    /// It plays, or may start to play, from a cell that no longer has its title: it is moved within the move interval.
    Move,
}

/// The effect of a change on one subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The highest rung that it may use.
    pub max_rung: u8,
    /// The first cell that has its title, and the number of cells. The number is 0 where the subscription can't be placed
    /// again, so that it is not moved away from its streamer.
    pub placement: (u32, u32),
    pub action: Action,
}

/// Decides the effect of a configuration on a subscription. A raised lowest rung is left to the decision module, which
/// raises rungs step by step: raising all at once would take capacity from others. A reduced number of seats ends no
/// subscription: new ones wait until seats are free.
pub fn outcome(subscription: &Subscription, configuration: Configuration<'_>) -> Outcome {
    let Subscription { request, stage } = subscription;
    let Configuration { shared, titles } = configuration;
    let max_rung = shared.ladder.rates_kb.len().saturating_sub(1).min(usize::from(u8::MAX)) as u8;
    let room_type = shared.room_types.get(request.room_type);
    let top = room_type
        .and_then(|(_, room_type)| room_type.top)
        .unwrap_or(max_rung)
        .min(max_rung)
        .min(request.max_rung);
    let room_type_open = room_type.is_some_and(|(name, _)| !shared.retired.contains(name));
    let title = titles.title(request.title).filter(|_| room_type_open);
    let Some(title) = title else {
        let action = match stage {
            Stage::Waiting | Stage::Joining { setup_sent: false, .. } => Action::Reject,
            // It may be set up already: it plays to its end on its streamer.
            Stage::Joining { setup_sent: true, .. } | Stage::Playing { .. } => Action::Continue,
        };
        return Outcome { max_rung: top, placement: (request.first_cell, 0), action };
    };
    let placement = (title.first_cell, title.copies);
    let relocated = SubscriptionRequest { first_cell: placement.0, copies: placement.1, ..*request };
    let has_title =
        |cell: Option<u32>| cell.is_none_or(|cell| relocated.is_held_by(cell, shared.fleet.cells));
    let action = match *stage {
        Stage::Joining { cell, setup_sent: false } if !has_title(cell) => Action::WithdrawJoin,
        Stage::Joining { cell, setup_sent: true } | Stage::Playing { cell } if !has_title(cell) => {
            Action::Move
        }
        _ => Action::Continue,
    };
    Outcome { max_rung: top, placement, action }
}
