//! Guards against faults in a fleet file that are missed, misplaced or reported one at a time.

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;
use wigeonhinge_cli::document::Document;
use wigeonhinge_cli::owner::Owner;

const EXAMPLES: [(Owner, &str); 2] = [
    (
        Owner::Coastline,
        include_str!("../../../examples/coastline.jsonc"),
    ),
    (
        Owner::Qureshi,
        include_str!("../../../examples/qureshi.jsonc"),
    ),
];

#[test]
fn parse_examples() {
    for (owner, text) in EXAMPLES {
        let document = Document::parse(text).expect("example is valid");
        assert_eq!(*document.fleet(), owner.fleet(), "{owner}");
    }
}

#[rstest]
#[case::unknown_field("{\n \"inventry\": []\n}", 2, 2, "inventry")]
#[case::wrong_type("{\"inventory\": [{\"name\": 7}]}", 1, 25, "7")]
#[case::negative("{\"inventory\": [{\"cores\": -1}]}", 1, 26, "-1")]
#[case::repeated("{\"inventory\": [],\n\"inventory\": []}", 2, 1, "inventory")]
#[case::syntax("{\"inventory\" []}", 1, 14, "[")]
#[case::empty("", 1, 1, "")]
#[case::unknown_pool("{\"inventory\": [{\"name\": \"a\", \"pool\": \"x\"}]}", 1, 38, "x")]
fn parse_fault(
    #[case] text: &str,
    #[case] line: usize,
    #[case] column: usize,
    #[case] value: &str,
) {
    let problems = Document::parse(text).expect_err("fault");
    let found = |problem: &&wigeonhinge_cli::document::Problem| {
        (problem.line, problem.column, problem.value.as_str()) == (line, column, value)
    };
    assert!(
        problems.iter().any(|problem| found(&problem)),
        "{problems:?}"
    );
}

#[test]
fn parse_every_fault() {
    let text = EXAMPLES[0]
        .1
        .replace("\"cores\": 16", "\"cores\": \"many\"");
    let problems = Document::parse(&text).expect_err("faults");
    assert_eq!(problems.len(), Owner::Coastline.fleet().inventory.len());
}

#[test]
fn parse_two_pools() {
    let text = EXAMPLES[0].1.replace(
        "\"name\": \"crews-02\",\n      \"pool\"",
        "\"name\": \"quoting-01\",\n      \"pool\"",
    );
    let problems = Document::parse(&text).expect_err("fault");
    assert!(
        problems
            .iter()
            .any(|problem| problem.expected.contains("one pool")),
        "{problems:?}"
    );
}

#[test]
fn parse_promise_above_inventory() {
    let text = EXAMPLES[0].1.replace("\"promised\": 8", "\"promised\": 13");
    let problems = Document::parse(&text).expect_err("fault");
    assert!(
        problems
            .iter()
            .any(|problem| problem.place.ends_with("promised")),
        "{problems:?}"
    );
}

#[test]
fn parse_deep_nesting() {
    let text = "[".repeat(100_000);
    assert!(Document::parse(&text).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parse_any_text(text in any::<String>()) {
        let _ = Document::parse(&text);
    }

    #[test]
    fn parse_damaged_example(at in 0_usize..4_000, byte in 0_u8..128) {
        let mut bytes = EXAMPLES[0].1.as_bytes().to_vec();
        bytes[at] = byte;
        if let Ok(text) = String::from_utf8(bytes) {
            let _ = Document::parse(&text);
        }
    }
}
