use fault::{ErrorKind, Retry, Run};

/// Renders the table the way docs/FAULTS.md holds it.
fn table() -> String {
    let mut table = String::from(
        "| kind | status | run | retry | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for kind in ErrorKind::ALL {
        let answer = kind.response();
        let run = match answer.run {
            Run::No => "no",
            Run::Unknown => "unknown",
        };
        let retry = match answer.retry {
            Retry::Never => "never",
            Retry::Later => "later",
            Retry::Idempotent => "idempotent only",
        };
        let status = answer.status.as_u16();
        table += &format!(
            "| `{}` | {status} | {run} | {retry} | {} |\n",
            kind.name(),
            answer.title
        );
    }
    table
}

#[test]
fn docs_match() {
    let docs = include_str!("../../../../docs/FAULTS.md");
    assert!(
        docs.contains(&table()),
        "docs/FAULTS.md must hold this table:\n{}",
        table()
    );
}

#[test]
fn names_unique() {
    let mut names: Vec<_> = ErrorKind::ALL.iter().map(|kind| kind.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), ErrorKind::ALL.len());
}

#[test]
fn refusals_refuse() {
    for kind in ErrorKind::ALL {
        let status = kind.response().status;
        assert!(
            status.is_client_error() || status.is_server_error(),
            "{kind:?}"
        );
    }
}
