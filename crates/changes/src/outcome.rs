//! What a change means for one subscription.

use badgerledge_catalogue::Catalogue;
use badgerledge_core::interface::SubscriptionRequest;
use badgerledge_deployment::Shared;

/// What is in force from now on: settings in the held numbers ([`crate::arrange`]), and the titles.
#[derive(Clone, Copy)]
pub struct Configuration<'a> {
    pub shared: &'a Shared,
    pub titles: &'a Catalogue,
}

/// How far a subscription is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits, with no join out.
    Waits,
    /// Its join is out to a streamer of this cell, as far as that is known. `sent`: SETUP has gone.
    Joins { cell: Option<u32>, sent: bool },
    /// It plays from a streamer of this cell, as far as that is known.
    Plays { cell: Option<u32> },
}

/// A subscription under way, as far as a change looks at it.
#[derive(Clone, Copy, Debug)]
pub struct Subscription {
    pub asked: SubscriptionRequest,
    pub stage: Stage,
}

/// What happens to it next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    GoesOn,
    /// Its join goes to where its title lies no more, and has not left: it is taken back, and placed anew.
    Withdrawn,
    /// What it waits for is gone: its final answer, at once. A further try would find nothing, so no time is named.
    TurnedAway,
    /// It plays, or may come to play, where its title lies no more: it is moved within the stated time.
    MovesOn,
}

/// What a change means for one subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The highest rung that is left to it.
    pub top: u8,
    /// From which cell on its title lies, and on how many: on none where it can't be placed again, so that nothing moves
    /// it away from where it plays.
    pub placement: (u32, u32),
    pub action: Action,
}

/// Decides it. A floor that rises is left to the module's own steps: raising all at once would take room from others.
/// Seats that become fewer take nobody's: new ones wait until there are some.
pub fn outcome(subscription: &Subscription, configuration: Configuration<'_>) -> Outcome {
    let Subscription { asked, stage } = subscription;
    let Configuration { shared, titles } = configuration;
    let highest = shared.ladder.rates_kb.len().saturating_sub(1).min(usize::from(u8::MAX)) as u8;
    let room_type = shared.room_types.get(asked.room_type);
    let top = room_type
        .and_then(|(_, room_type)| room_type.top)
        .unwrap_or(highest)
        .min(highest)
        .min(asked.max_rung);
    let open = room_type.is_some_and(|(name, _)| !shared.retired.contains(name));
    let title = titles.title(asked.title).filter(|_| open);
    let Some(title) = title else {
        let action = match stage {
            Stage::Waits | Stage::Joins { sent: false, .. } => Action::TurnedAway,
            // It may have been set up already: it plays out where it is.
            Stage::Joins { sent: true, .. } | Stage::Plays { .. } => Action::GoesOn,
        };
        return Outcome { top, placement: (asked.first_cell, 0), action };
    };
    let placement = (title.first_cell, title.copies);
    let now = SubscriptionRequest { first_cell: placement.0, copies: placement.1, ..*asked };
    let held = |cell: Option<u32>| cell.is_none_or(|cell| now.is_held_by(cell, shared.fleet.cells));
    let action = match *stage {
        Stage::Joins { cell, sent: false } if !held(cell) => Action::Withdrawn,
        Stage::Joins { cell, sent: true } | Stage::Plays { cell } if !held(cell) => Action::MovesOn,
        _ => Action::GoesOn,
    };
    Outcome { top, placement, action }
}
