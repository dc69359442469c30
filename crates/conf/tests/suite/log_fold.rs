use conf::{
    Digest, Document, Fold, History, MAX_VALUE_BYTES, Outcome, Page, Refusal, check, split,
};
use serde_json::{Value, json};

/// Returns a document without violations.
pub(crate) fn document() -> Value {
    json!({
        "schema": 1,
        "zones": { "a": { "region": "r" }, "b": { "region": "r", "state": "out" } },
        "services": {
            "drafts": { "kind": "group", "routes": [{ "path": "/v1/drafts", "repeatable": true }] },
            "orders": { "kind": "plain", "routes": [{ "path": "/v1/orders", "repeatable": false }] },
        },
        "groups": {
            "g": { "service": "drafts", "ranks": 4, "layers": 2, "experts": 8, "slots": 2 },
        },
        "endpoints": {
            "d-1": endpoint("drafts", 1, json!({ "group": "g", "ranks": [0, 1] })),
            "d-2": endpoint("drafts", 2, json!({ "group": "g", "ranks": [2, 3] })),
            "o-1": endpoint("orders", 3, json!({})),
        },
        "teams": { "t": { "keys": [Digest::of(&[b"k"])], "weight": 2 } },
    })
}

pub(crate) fn endpoint(service: &str, port: u16, extra: Value) -> Value {
    let mut value = json!({
        "zone": "a",
        "service": service,
        "agent": format!("127.0.0.1:{port}"),
        "limit": { "cold": 2, "full": 8 },
    });
    if let (Some(value), Value::Object(extra)) = (value.as_object_mut(), extra) {
        value.extend(extra);
    }
    value
}

fn whole_record(number: u64) -> String {
    json!({ "number": number, "document": document() }).to_string()
}

fn change_record(base: u64, patch: &Value) -> String {
    json!({ "base": base, "patch": patch }).to_string()
}

fn page(after: u64, records: &[String]) -> Page {
    Page {
        after,
        chain: None,
        records: records.iter().map(Into::into).collect(),
        snapshot: None,
    }
}

fn history(records: &[String]) -> History {
    let mut history = History::default();
    history.apply(&page(0, records)).unwrap();
    history
}

fn zone(name: &str) -> Value {
    json!({ "zones": { name: { "region": "r" } } })
}

#[test]
fn concurrent_changes() {
    let records = [
        change_record(0, &zone("c")),
        whole_record(2),
        whole_record(1),
        change_record(1, &zone("c")),
        change_record(1, &json!({ "zones": { "b": null } })),
        change_record(2, &json!({ "zones": { "b": null } })),
        change_record(2, &json!({ "zones": { "b": null } })),
        change_record(3, &json!({ "endpoints": { "o-1": { "zone": "b" } } })),
        change_record(3, &json!({ "endpoints": { "o-1": { "leaving": true } } })),
        "{ \"base\": 4, ".to_owned(),
        json!({ "base": 4, "number": 5, "patch": {} }).to_string(),
        json!({ "base": 4, "patch": {}, "when": "now" }).to_string(),
        change_record(4, &json!({ "policy": { "stall": "2" } })),
        change_record(4, &json!({ "endpoint": {} })),
        change_record(4, &json!({ "teams": { "t": 3 } })),
        change_record(4, &json!({ "policy": { "stall": "2s" } })),
        whole_record(6),
    ];
    let history = history(&records);
    let lines: Vec<_> = history.verdicts().iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn violation_messages() {
    let cases = [
        ("/schema", json!(0)),
        ("/zones/a/region", json!("")),
        ("/services/orders/routes/0/path", json!("v1")),
        ("/services/orders/routes/0/path", json!("/v1/drafts")),
        ("/services/orders/routes/0/method", json!("post")),
        ("/groups/g/service", json!("orders")),
        ("/groups/g/layers", json!(0)),
        ("/groups/g/slots", json!(1)),
        ("/endpoints/d-1/zone", json!("x")),
        ("/endpoints/d-1/service", json!("x")),
        ("/endpoints/d-1/group", json!("x")),
        ("/endpoints/d-1/group", json!(null)),
        ("/endpoints/o-1/group", json!("g")),
        ("/endpoints/d-1/ranks/0", json!(4)),
        ("/endpoints/d-1/ranks/0", json!(3)),
        ("/endpoints/d-1/agent", json!("127.0.0.1:2")),
        ("/endpoints/d-1/agent", json!("127.0.0.1:0")),
        ("/endpoints/d-1/limit/cold", json!(0)),
        ("/endpoints/d-1/limit/cold", json!(9)),
        ("/teams/t/weight", json!(0)),
        ("/teams/t/rate", json!(0)),
        ("/teams/a b", json!({ "keys": [] })),
        ("/teams/u", json!({ "keys": [Digest::of(&[b"k"])] })),
        ("/policy", json!({ "deadline": "0s" })),
        ("/policy", json!({ "retry_horizon": "25h" })),
        ("/policy", json!({ "retry_percent": 101 })),
        ("/policy", json!({ "body_limit": "2GiB" })),
        ("/policy", json!({ "records": 0 })),
    ];
    let mut lines = Vec::new();
    for (path, value) in cases {
        let mut document = document();
        let (parent, field) = path.rsplit_once('/').unwrap();
        let target = document.pointer_mut(parent).unwrap();
        if target.is_array() {
            target[field.parse::<usize>().unwrap()] = value;
        } else {
            target[field] = value;
        }
        let document: Document = serde_json::from_value(document).unwrap();
        let violations = check(&document);
        assert!(!violations.is_empty(), "{path}");
        lines.extend(violations.iter().map(ToString::to_string));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn split_record_joined() {
    let mut large = document();
    for i in 0..1700 {
        large["teams"][format!("team-{i}")] =
            json!({ "keys": [Digest::of(&[format!("{i}").as_bytes()])], "rate": 100 });
    }
    for i in 0..8000_u32 {
        let [_, b, c, d] = i.to_be_bytes();
        let mut value = endpoint("orders", 9, json!({}));
        value["agent"] = json!(format!("10.{b}.{c}.{d}:9"));
        large["endpoints"][format!("endpoint-{i}-of-orders-in-the-first-zone")] = value;
    }
    let text = json!({ "number": 1, "document": large }).to_string();
    let values = split(&text);
    assert!(text.len() > MAX_VALUE_BYTES && values.len() > 1);
    assert!(values.iter().all(|value| value.len() <= MAX_VALUE_BYTES));
    let mut fold = Fold::default();
    for value in &values[..values.len() - 1] {
        assert!(matches!(fold.apply(value), Ok(Outcome::Part(_))));
        assert_eq!(fold.document(), None);
    }
    assert_eq!(
        fold.apply(&values[values.len() - 1]),
        Ok(Outcome::Accepted(1))
    );
    assert_eq!(fold.document().unwrap().endpoints.len(), 8003);

    let interrupted = [&values[..1], &[change_record(0, &zone("c"))], &values[1..]].concat();
    let interrupted = history(&interrupted);
    assert_eq!(interrupted.fold().document(), None);
    let rejected = |v: &&conf::Verdict| matches!(v.outcome, Outcome::Rejected(_));
    assert_eq!(
        interrupted.verdicts().iter().filter(rejected).count(),
        values.len()
    );
}

#[test]
fn newer_schema_refused() {
    let mut history = history(&[whole_record(1)]);
    let newer = change_record(1, &json!({ "schema": 2, "unheard_of": {} }));
    let refused = history.apply(&page(1, &[newer, change_record(1, &zone("c"))]));
    assert!(
        matches!(refused, Err(Refusal::NewerSchema(_))),
        "{refused:?}"
    );
    assert_eq!(history.fold().position(), 1);
}

#[test]
fn pages_are_verified() {
    let mut records = vec![whole_record(1)];
    for base in 1..=1500 {
        records.push(change_record(
            base,
            &json!({ "teams": { "t": { "weight": base } } }),
        ));
    }
    let full = history(&records);
    let mut fork = records.clone();
    fork[0] = fork[0].replace("\"weight\":2", "\"weight\":3");
    for applied in [0, 1, 3, 700, 1400, 1500] {
        let mut behind = history(&records[..applied]);
        while let Some(page) = full.page(behind.fold().position()) {
            assert!(behind.apply(&page).unwrap() > 0);
        }
        assert_eq!(behind.fold(), full.fold(), "from {applied}");
        if applied > 0 {
            let mut forked = history(&fork[..applied]);
            let before = forked.fold().clone();
            let refused = forked.apply(&full.page(applied as u64).unwrap());
            assert!(matches!(refused, Err(Refusal::Fork(_))), "{refused:?}");
            assert_eq!(*forked.fold(), before);
        }
    }
    let mut local = history(&records[..5]);
    assert_eq!(local.apply(&page(0, &records[..3])), Ok(0));
    assert_eq!(local.apply(&page(2, &fork[1..2])), Err(Refusal::Fork(3)));
    assert_eq!(local.apply(&page(6, &records[6..7])), Err(Refusal::Gap(5)));
}
