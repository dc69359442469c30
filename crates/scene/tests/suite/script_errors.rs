use insta::assert_snapshot;
use scene::parse;

#[test]
fn parse_errors() {
    let declarations = "zone a\nentry e1 in a\nservice drafts\n";
    let lines = [
        "zoen b",
        "entry e2 at a",
        "entry e2 in b",
        "endpoint d1 in a runs drafts cold two",
        "at 2 send drafts via e1",
        "at 2s sent drafts via e1",
        "at 2s send orders via e1",
        "at 2s kill e9",
        "expect answered 95 of drafts",
        "expect happy",
        "policy patience 2s",
    ];
    let errors: Vec<_> = lines
        .iter()
        .map(|line| {
            parse("x.scene", &format!("{declarations}{line}\n"))
                .unwrap_err()
                .to_string()
        })
        .collect();
    assert_snapshot!(errors.join("\n"));
}
