use expert::{Cost, ErrorKind, Planner, Popularity, Shape, VACANT};

const SHAPE: Shape = Shape {
    layers: 1,
    experts: 4,
    ranks: 2,
    slots: 3,
};

#[test]
fn invalid_counters_rejected() {
    let cases = [
        (
            vec![Some(9); 3],
            ErrorKind::Length {
                expected: 4,
                found: 3,
            },
        ),
        (
            vec![Some(9), None, Some(9), Some(9)],
            ErrorKind::MissingCounter { position: 1 },
        ),
        (
            vec![Some(9), Some(9), Some(-1), Some(9)],
            ErrorKind::NegativeCounter { position: 2 },
        ),
        (
            vec![Some(9), Some(9), Some(9), Some(1)],
            ErrorKind::DecreasedCounter { position: 3 },
        ),
    ];
    for (counters, kind) in cases {
        let mut popularity = Popularity::new(SHAPE);
        popularity.observe(&[Some(5); 4]).unwrap();
        let before = popularity.shares(0);
        let error = popularity.observe(&counters).unwrap_err();
        assert_eq!(error.kind(), kind, "{error}");
        assert_eq!(popularity.shares(0), before);
    }
}

#[test]
fn counter_reset_tolerated() {
    let mut popularity = Popularity::new(SHAPE);
    popularity.observe(&[Some(1000); 4]).unwrap();
    popularity.observe(&[Some(0); 4]).unwrap_err();
    popularity
        .observe(&[Some(1000), Some(0), Some(0), Some(0)])
        .unwrap();
    assert!(popularity.shares(0)[0] > 0.5);
}

#[test]
fn planner_input_validated() {
    let popularity = Popularity::new(SHAPE);
    let too_few_slots = ErrorKind::TooFewSlots {
        slots: 3,
        experts: 4,
    };
    let cases = [
        (
            vec![Some(1.0), Some(0.0)],
            ErrorKind::InvalidSpeed { rank: 1 },
        ),
        (
            vec![Some(f64::NAN), Some(1.0)],
            ErrorKind::InvalidSpeed { rank: 0 },
        ),
        (
            vec![Some(-1.0), Some(1.0)],
            ErrorKind::InvalidSpeed { rank: 0 },
        ),
        (
            vec![Some(1.0)],
            ErrorKind::Length {
                expected: 2,
                found: 1,
            },
        ),
        (vec![Some(1.0), None], too_few_slots),
    ];
    let planner = Planner::new(SHAPE, Cost::default());
    let map = planner
        .plan_from_scratch(&popularity, &[Some(1.0); 2])
        .unwrap();
    for (speeds, kind) in cases {
        let error = planner.plan(&map, &popularity, &speeds).unwrap_err();
        assert_eq!(error.kind(), kind, "{error}");
        assert_eq!(
            planner
                .plan_from_scratch(&popularity, &speeds)
                .unwrap_err()
                .kind(),
            kind
        );
    }
    let mut invalid = map.clone();
    invalid.slots[2] = 4;
    let error = planner
        .plan(&invalid, &popularity, &[Some(1.0); 2])
        .unwrap_err();
    assert_eq!(error.kind(), ErrorKind::UnknownExpert { position: 2 });
    assert!(!map.slots.contains(&VACANT));
}
