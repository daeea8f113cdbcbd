//! Disruptions of a play, drawn from its seed.
#![allow(unreachable_pub)]

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;

pub const WORKERS: usize = 8;

pub const ENTRIES: usize = 3;

/// Times at which the workers of a round crash, after the clocks of the first incarnations are ahead of
/// those of the next ones by more than a lease.
const ROUNDS_MS: [u64; 3] = [6_000, 19_000, 32_000];

/// Workers that crash in a round; most workers stay.
const MAX_CRASHED: usize = 3;

/// Longest time for which a call is late; a holder waits 2 s for calls to reach a restarted worker.
const MAX_LATE_MS: u64 = 1_500;

/// Longest time from the end of a silence until the worker is cut off; polls bring the ends of short
/// runs before that, or not.
const MAX_DELAY_MS: u64 = 2_500;

/// Longest time for which the store has a fault; the role passes to nobody while it is down.
const MAX_OUTAGE_MS: u64 = 3_500;

/// Disruption of a worker, the store or of the role holder.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    Crash(usize),
    Revive(usize),
    /// The present incarnation writes its registry entry.
    Register(usize),
    /// The worker gets another address; calls to the former one reach it until it is cut off, or no more.
    Move {
        index: usize,
        forwards: bool,
    },
    Cut(usize),
    Heal(usize),
    /// Calls to all workers are late with this probability.
    Late(f64),
    Strike(Strike),
    /// The store has a fault, or none.
    Store(Option<Outage>),
    /// Starts the entries that have ended again.
    StartEntries,
}

/// What happens to the role holder.
#[derive(Clone, Copy, Debug)]
pub enum Strike {
    Kill,
    Terminate,
    Suspend,
}

/// Fault of the store, for all entries.
#[derive(Clone, Copy, Debug)]
pub enum Outage {
    Down,
    /// Responses to writes are late by so many milliseconds.
    Slow(usize),
    /// So many writes are executed without a response.
    Lost(usize),
}

/// Draws a delay of a late call.
pub fn late_by(random: &mut Pcg64) -> Duration {
    Duration::from_millis(random.random_range(50..MAX_LATE_MS))
}

/// Draws the disruptions of a play, in the order of their times.
pub fn draw(random: &mut Pcg64) -> Vec<(Duration, Action)> {
    let mut actions = Vec::new();
    for start in ROUNDS_MS {
        draw_round(random, start, &mut actions);
    }
    actions.sort_by_key(|(at, _)| *at);
    let at = |(millis, action)| (Duration::from_millis(millis), action);
    actions.into_iter().map(at).collect()
}

fn draw_round(random: &mut Pcg64, start: u64, actions: &mut Vec<(u64, Action)>) {
    let crashed = random.random_range(1..=MAX_CRASHED);
    let first = random.random_range(0..WORKERS);
    let silence = random.random_range(50..1_200);
    let back = start + silence;
    let cut = back + random.random_range(0..MAX_DELAY_MS);
    let healed = cut + random.random_range(1_000..7_500);
    let again = random.random_bool(0.35).then(|| {
        let after = random.random_range(50..900);
        (back + after, random.random_range(50..1_200))
    });
    // A worker that is cut off at once does not reach the store either.
    let unregistered = random.random_bool(0.3);
    let register_after = random.random_range(0..600);
    for index in (first..first + crashed).map(|it| it % WORKERS) {
        let moved = random.random_bool(0.3);
        let forwards = random.random_bool(0.5);
        let mut restart = |crashed, silence| {
            let back = crashed + silence;
            actions.push((crashed, Action::Crash(index)));
            if moved {
                actions.push((back, Action::Move { index, forwards }));
            }
            actions.push((back, Action::Revive(index)));
            let registered = match unregistered {
                true => healed.max(back),
                false => back + register_after,
            };
            actions.push((registered, Action::Register(index)));
        };
        restart(start, silence);
        if let Some((crashed, silence)) = again {
            restart(crashed, silence);
        }
        actions.push((cut, Action::Cut(index)));
        actions.push((healed, Action::Heal(index)));
    }
    if random.random_bool(0.7) {
        let at = start + random.random_range(0..silence + 1_500);
        draw_strike(random, at, actions);
        if random.random_bool(0.4) {
            let next = at + random.random_range(1_500..6_000);
            draw_strike(random, next, actions);
        }
    }
    if random.random_bool(0.4) {
        let outage = match random.random_range(0..3) {
            0 => Outage::Down,
            1 => Outage::Slow(random.random_range(100..1_500)),
            _ => Outage::Lost(random.random_range(1..10)),
        };
        let at = start + random.random_range(0..silence + 2_000) - 500;
        let over = at + random.random_range(200..MAX_OUTAGE_MS);
        actions.push((at, Action::Store(Some(outage))));
        actions.push((over, Action::Store(None)));
    }
    if random.random_bool(0.6) {
        let share = random.random_range(0.05..0.4);
        actions.push((start.saturating_sub(1_000), Action::Late(share)));
        actions.push((cut, Action::Late(0.0)));
    }
}

/// Draws what happens to a role holder, and when the entries that have ended start again.
fn draw_strike(random: &mut Pcg64, at: u64, actions: &mut Vec<(u64, Action)>) {
    let strike = match random.random_range(0..3) {
        0 => Strike::Kill,
        1 => Strike::Terminate,
        _ => Strike::Suspend,
    };
    actions.push((at, Action::Strike(strike)));
    let later = at + random.random_range(100..3_000);
    actions.push((later, Action::StartEntries));
}
