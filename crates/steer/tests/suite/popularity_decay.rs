use std::time::Duration;

use steer::{Sample, Tally};
use tokio::time::{self, Instant};

const MEMORY: Duration = Duration::from_millis(500);

#[tokio::test(start_paused = true)]
async fn newest_counts_most() {
    let mut tally = Tally::new(MEMORY, 1);
    tally.add(&Sample::new(&[1000, 0]), Instant::now());
    time::advance(MEMORY * 4).await;
    tally.add(&Sample::new(&[0, 1000]), Instant::now());
    let popularity = tally.popularity();
    assert!(popularity[0][1] > 40.0 * popularity[0][0], "{popularity:?}");
}

#[tokio::test(start_paused = true)]
async fn newest_follow_soonest() {
    let mut tally = Tally::new(MEMORY, 1);
    tally.add(&Sample::new(&[1000, 0]), Instant::now());
    time::advance(MEMORY / 2).await;
    tally.add(&Sample::new(&[0, 1000]), Instant::now());
    let (late, newest) = (tally.popularity(), tally.newest());
    let share = |weights: &[f64]| weights[1] / (weights[0] + weights[1]);
    assert!(share(&newest[0]) > 0.8, "{newest:?}");
    assert!(share(&newest[0]) > share(&late[0]) + 0.1, "{late:?}");
}

#[tokio::test(start_paused = true)]
async fn ranks_add_up() {
    let mut tally = Tally::new(MEMORY, 2);
    let now = Instant::now();
    tally.add(&Sample::new(&[1, 2, 3, 4]), now);
    tally.add(&Sample::new(&[1, 0, 0, 1]), now);
    assert_eq!(tally.popularity(), [[2.0, 2.0], [3.0, 5.0]]);
    assert!((tally.mass() - 6.0).abs() < f64::EPSILON);
}

#[tokio::test(start_paused = true)]
async fn large_counts_rounded() {
    let mut tally = Tally::new(MEMORY, 1);
    let counts = [1_000_000, 500_000, 10_000, 0];
    tally.add(&Sample::new(&counts), Instant::now());
    for (weight, count) in tally.popularity()[0].iter().zip(counts) {
        let off = (weight - f64::from(count)).abs();
        assert!(off <= 1_000_000.0 / 127.0, "{weight} for {count}");
    }
}

#[tokio::test(start_paused = true)]
async fn lasting_counts_blend() {
    let mut tally = Tally::new(MEMORY, 1);
    tally.add(&Sample::new(&[100, 0]), Instant::now());
    time::advance(MEMORY * 4).await;
    tally.add(&Sample::new(&[0, 100]), Instant::now());
    let (late, blend) = (tally.popularity(), tally.blend(0.5));
    let sum = |weights: &[f64]| weights.iter().sum::<f64>();
    assert!((sum(&late[0]) - sum(&blend[0])).abs() < 1e-9);
    assert!(late[0][0] < 0.02 * late[0][1], "{late:?}");
    assert!(blend[0][0] > 0.2 * blend[0][1], "{blend:?}");
}
