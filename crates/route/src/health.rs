use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;
use tokio::time::Instant;

/// First and longest time for which a unit is out of choice.
const OUT: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Time after which a trial without news no longer holds up the next one.
const TRIAL: Duration = Duration::from_secs(5);

/// Name of a unit of health: a lock-step group, or an endpoint without one.
pub(crate) type Unit = SmolStr;

/// Keeps units that failed or stalled out of choice, and takes them back by probation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    units: HashMap<Unit, Ban>,
}

#[derive(Clone, Copy, Debug)]
struct Ban {
    until: Instant,
    time: Duration,
    trial: Option<Instant>,
}

impl Health {
    /// Takes a unit out of choice; longer after each trial that failed.
    pub(crate) fn fail(&mut self, unit: &Unit, now: Instant) {
        let time = match self.units.get(unit) {
            Some(ban) if ban.until > now => return,
            Some(ban) if ban.trial.is_some() => (ban.time * 2).min(OUT.1),
            Some(ban) => ban.time,
            None => OUT.0,
        };
        let ban = Ban {
            until: now + time,
            time,
            trial: None,
        };
        self.units.insert(unit.clone(), ban);
    }

    /// Takes in that work has ended or moved on at a unit.
    pub(crate) fn work(&mut self, unit: &Unit, now: Instant) {
        if self.units.get(unit).is_some_and(|ban| ban.until <= now) {
            self.units.remove(unit);
        }
    }

    /// Returns whether a unit may be chosen.
    pub(crate) fn allows(&self, unit: &Unit, now: Instant) -> bool {
        let Some(ban) = self.units.get(unit) else {
            return true;
        };
        let tried = ban.trial.is_some_and(|at| now < at + TRIAL);
        ban.until <= now && !tried
    }

    /// Takes in that a unit was chosen.
    pub(crate) fn chosen(&mut self, unit: &Unit, now: Instant) {
        if let Some(ban) = self.units.get_mut(unit) {
            ban.trial = Some(now);
        }
    }
}
