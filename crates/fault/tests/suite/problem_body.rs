use std::time::Duration;

use fault::{ErrorKind, Fault, Run};

#[test]
fn overload_problem() {
    let fault = Fault::new(ErrorKind::Overloaded)
        .retry_after(Duration::from_secs(3))
        .detail("12 wait");
    insta::assert_snapshot!(serde_json::to_string_pretty(&fault.problem("r1")).unwrap(), @r#"
    {
      "type": "urn:apricotridge:problem:overloaded",
      "title": "The service is at its limit.",
      "status": 503,
      "detail": "12 wait",
      "instance": "urn:apricotridge:request:r1",
      "run": "no",
      "retry": "later"
    }
    "#);
}

#[test]
fn delay_requires_retry() {
    let fault = Fault::new(ErrorKind::NoRoute).retry_after(Duration::from_secs(3));
    assert_eq!(fault.retry_delay(), None);
}

#[test]
fn unknown_overrides_kind() {
    assert_eq!(
        Fault::new(ErrorKind::Overloaded).run_unknown().run(),
        Run::Unknown
    );
}
