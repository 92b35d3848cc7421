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
    let to = match order {
        Order::Start(spec) => start(read.rollout.as_ref(), spec, unix_s)?,
        _ => moved(read.rollout.as_ref().ok_or(Refusal::NoRoll)?, order, unix_s)?,
    };
    Ok(Proposal::between(read, &to))
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

fn moved(rollout: &Rollout, order: &Order, unix_s: u64) -> Result<Rollout, Refusal> {
    let status = rollout.progress.status;
    let check = |taken: &[Status], told: &'static str| match taken.contains(&status) {
        true => Ok(()),
        false => Err(Refusal::Status(status, told)),
    };
    let to = |status: Status, why: &str| next(rollout, unix_s, why, |progress| progress.status = status);
    match order {
        Order::Pause => {
            check(&[Status::Running], "running")?;
            Ok(to(Status::Paused, "paused by an operator"))
        }
        Order::GoOn => {
            check(&[Status::Paused, Status::Stopped], "paused or stopped")?;
            Ok(to(Status::Running, "an operator let it go on"))
        }
        Order::Stop => {
            check(&[Status::Running, Status::Paused], "running or paused")?;
            Ok(to(Status::Stopped, "stopped by an operator"))
        }
        Order::Back | Order::Start(_) => {
            check(&[Status::Running, Status::Paused, Status::Stopped], "running or paused or stopped")?;
            Ok(back(rollout, unix_s, Pace::Paced, "taken back by an operator"))
        }
    }
}

/// The first wave of going back.
pub(crate) fn back(rollout: &Rollout, unix_s: u64, pace: Pace, why: &str) -> Rollout {
    next(rollout, unix_s, why, |progress| {
        progress.status = Status::GoingBack;
        progress.pace = pace;
        progress.back_wave = 1;
    })
}
