use ctl::select_lines;

const LOG: &str = r#"
  2.1 a {"time":"2026-01-01T00:00:02Z","process":"entry-a","level":"info","event":"send ended","request":"r1","endpoint":"e1","outcome":"broke before its answer","age_ms":40}
not a line of the log
  1.9 a {"time":"2026-01-01T00:00:01Z","process":"entry-a","level":"info","event":"sent","request":"r1","endpoint":"e1","attempt":1}
  2.0 b {"time":"2026-01-01T00:00:01Z","process":"entry-b","level":"info","event":"sent","request":"r2","endpoint":"e1"}
  2.1 a {"time":"2026-01-01T00:00:02Z","process":"entry-a","level":"warn","event":"endpoint is passed over for a while","endpoint":"e1","outcome":"Broke"}
  2.1 a {"time":"2026-01-01T00:00:03Z","process":"entry-a","level":"info","event":"refused","request":"r1","status":502,"reason":"interrupted"}
  9.0 a {"time":"2026-01-01T00:00:09Z","process":"entry-a","level":"warn","event":"endpoint is passed over for a while","endpoint":"e1"}
"#;

#[test]
fn request_lines_ordered() {
    insta::assert_snapshot!(select_lines(LOG, "r1"), @r#"
    2026-01-01T00:00:01Z entry-a sent attempt=1 endpoint=e1
    2026-01-01T00:00:02Z entry-a send ended age_ms=40 endpoint=e1 outcome=broke before its answer
        2026-01-01T00:00:02Z entry-a endpoint is passed over for a while endpoint=e1 outcome=Broke
    2026-01-01T00:00:03Z entry-a refused reason=interrupted status=502
    "#);
}

#[test]
fn unknown_request() {
    assert_eq!(select_lines(LOG, "r9"), "");
}
