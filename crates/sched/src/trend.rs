use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Least time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a sample after which earlier ones are discarded.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Longest time that a request is taken to last, so that the number of samples is bounded.
const MAX_DURATION: Duration = Duration::from_secs(4);
/// Age up to which samples are kept.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Smallest and largest factor that is returned.
const GROWTH_RANGE: (f64, f64) = (0.5, 2.0);

/// Part of the requests that was admitted lately, from which follows how the requests in flight change.
///
/// The part is computed from probabilities: the few requests of one entry would give a noisy one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trend {
    /// Times, and the integral of the probability of admission until then in seconds.
    samples: VecDeque<(Instant, f64)>,
    /// Probability of admission at the last update.
    probability: f64,
    last: Option<(Instant, f64)>,
}

impl Trend {
    /// Records the present probability of admission, as the mean of all requests.
    pub(crate) fn record(&mut self, probability: f64, now: Instant) {
        let is_known = |(at, _): &(Instant, f64)| now.duration_since(*at) <= MAX_PAUSE;
        let integral = match self.last.filter(is_known) {
            // The probability is taken to have changed evenly since the last update.
            Some((at, integral)) => {
                let mean = f64::midpoint(self.probability, probability);
                integral + mean * now.duration_since(at).as_secs_f64()
            }
            None => {
                self.samples.clear();
                0.0
            }
        };
        self.probability = probability;
        self.last = Some((now, integral));
        let is_recent = |(at, _): &(Instant, f64)| now.duration_since(*at) < SAMPLE_INTERVAL;
        if !self.samples.back().is_some_and(is_recent) {
            self.samples.push_back((now, integral));
        }
        let is_old = |(at, _): &(Instant, f64)| now.duration_since(*at) > MAX_AGE;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
    }

    /// Returns the factor by which the requests in flight, which last for `duration`, have changed
    /// within `span` because of admissions; 1 if not known.
    pub(crate) fn growth(&self, span: Duration, duration: Duration, now: Instant) -> f64 {
        let is_known = |(at, _): &(Instant, f64)| now.duration_since(*at) <= MAX_PAUSE;
        if !self.last.is_some_and(|last| is_known(&last)) {
            return 1.0;
        }
        let duration = duration.clamp(SAMPLE_INTERVAL, MAX_DURATION);
        // What was admitted for the time of a request is in flight.
        let in_flight =
            |age: Duration| self.integral(age, now) - self.integral(age + duration, now);
        let before = in_flight(span).max(f64::EPSILON);
        (in_flight(Duration::ZERO) / before).clamp(GROWTH_RANGE.0, GROWTH_RANGE.1)
    }

    /// Returns the integral of the probability until `age` before `now`.
    ///
    /// Before the first sample the probability counts as 1, after the last as that of the last update.
    fn integral(&self, age: Duration, now: Instant) -> f64 {
        let age_of = |at: Instant| now.duration_since(at).as_secs_f64();
        let after = self
            .samples
            .partition_point(|(at, _)| now.duration_since(*at) >= age);
        let next = self.samples.get(after).copied();
        let before = after.checked_sub(1).map(|index| self.samples[index]);
        let age = age.as_secs_f64();
        match (before, next) {
            (Some((begin, low)), Some((end, high))) => {
                let elapsed = (age_of(begin) - age) / (age_of(begin) - age_of(end));
                low + (high - low) * elapsed
            }
            (None, Some((end, high))) => high - (age - age_of(end)),
            (Some(_), None) | (None, None) => self.last.map_or(0.0, |(at, integral)| {
                integral + self.probability * (age_of(at) - age)
            }),
        }
    }
}
