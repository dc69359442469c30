use fault::{ErrorKind, Retry, Run};

/// Renders the responses of all kinds as the table in docs/FAULTS.md.
fn render_table() -> String {
    let mut table = String::from(
        "| kind | status | run | retry | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for kind in ErrorKind::ALL {
        let response = kind.response();
        let run = match response.run {
            Run::No => "no",
            Run::Unknown => "unknown",
        };
        let retry = match response.retry {
            Retry::Never => "never",
            Retry::Later => "later",
            Retry::Idempotent => "idempotent only",
        };
        let status = response.status.as_u16();
        table += &format!(
            "| `{}` | {status} | {run} | {retry} | {} |\n",
            kind.name(),
            response.title
        );
    }
    table
}

#[test]
fn documented_table_matches() {
    let docs = include_str!("../../../../docs/FAULTS.md");
    assert!(
        docs.contains(&render_table()),
        "docs/FAULTS.md must contain this table:\n{}",
        render_table()
    );
}

#[test]
fn names_are_unique() {
    let mut names: Vec<_> = ErrorKind::ALL.iter().map(|kind| kind.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), ErrorKind::ALL.len());
}

#[test]
fn statuses_are_errors() {
    for kind in ErrorKind::ALL {
        let status = kind.response().status;
        assert!(
            status.is_client_error() || status.is_server_error(),
            "{kind:?}"
        );
    }
}
