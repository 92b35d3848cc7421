//! Operators' orders, and what they make of a state.

use thiserror::Error;

use crate::proposal::{next, Proposal, Read};
use crate::state::{Pace, Progress, Rollout, Spec, Status};

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Start(Box<Spec>),
    Pause,
    GoOn,
    Stop,
    Back,
}

/// Why an order is not followed. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    #[error("there is no roll")]
    NoRoll,
    #[error("plan {0} is {1}: one roll at a time")]
    UnderWay(u32, Status),
    #[error("plan {0} was carried out already; the next one has a higher number")]
    Number(u32),
    #[error("the roll is {0}: this order is taken while it is {1}")]
    Status(Status, &'static str),
}

/// The change that an order makes.
///
/// # Errors
/// Where the roll does not stand as the order wants it.
pub fn apply(read: &Read, order: &Order, unix_s: u64) -> Result<Proposal, Refusal> {
    let rollout = read.rollout.as_ref();
    let to = match order {
        Order::Start(spec) => start(rollout, spec, unix_s)?,
        Order::Pause => {
            let rollout = while_in(rollout, &[Status::Running], "running")?;
            with_status(rollout, unix_s, Status::Paused, "paused by an operator")
        }
        Order::GoOn => {
            let rollout = while_in(rollout, &[Status::Paused, Status::Stopped], "paused or stopped")?;
            with_status(rollout, unix_s, Status::Running, "an operator let it go on")
        }
        Order::Stop => {
            let rollout = while_in(rollout, &[Status::Running, Status::Paused], "running or paused")?;
            with_status(rollout, unix_s, Status::Stopped, "stopped by an operator")
        }
        Order::Back => {
            let taken = [Status::Running, Status::Paused, Status::Stopped];
            let rollout = while_in(rollout, &taken, "running or paused or stopped")?;
            back(rollout, unix_s, Pace::Paced, "taken back by an operator")
        }
    };
    Ok(Proposal::between(read, &to))
}

/// The roll, where it stands as an order wants it.
fn while_in<'a>(
    rollout: Option<&'a Rollout>, taken: &[Status], told: &'static str,
) -> Result<&'a Rollout, Refusal> {
    let rollout = rollout.ok_or(Refusal::NoRoll)?;
    match rollout.progress.status {
        status if taken.contains(&status) => Ok(rollout),
        status => Err(Refusal::Status(status, told)),
    }
}

fn with_status(rollout: &Rollout, unix_s: u64, status: Status, why: &str) -> Rollout {
    next(rollout, unix_s, why, |progress| progress.status = status)
}

fn start(before: Option<&Rollout>, spec: &Spec, unix_s: u64) -> Result<Rollout, Refusal> {
    if let Some(before) = before {
        if !before.progress.status.is_over() {
            return Err(Refusal::UnderWay(before.spec.number, before.progress.status));
        }
        if spec.number <= before.spec.number {
            return Err(Refusal::Number(before.spec.number));
        }
    }
    let progress = Progress {
        epoch: before.map_or(1, |before| before.progress.epoch + 1),
        status: Status::Running,
        stage: 0,
        wave: 1,
        back_wave: 0,
        pace: Pace::Paced,
        since: unix_s,
        why: "started by an operator".to_owned(),
    };
    Ok(Rollout { spec: spec.clone(), progress })
}

/// The first wave of going back.
pub(crate) fn back(rollout: &Rollout, unix_s: u64, pace: Pace, why: &str) -> Rollout {
    next(rollout, unix_s, why, |progress| {
        progress.status = Status::GoingBack;
        progress.pace = pace;
        progress.back_wave = 1;
    })
}
