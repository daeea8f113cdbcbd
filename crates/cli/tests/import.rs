//! Guards against registers that are read wrong and faults that are misplaced.

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;
use wigeonhinge_cli::import::inventory;

const HEADER: &str = "name,pool,zone,rack,cores,memory_mb,accelerators\n";

#[test]
fn inventory_reads_quotes() {
    let vms = inventory(&format!("{HEADER}\"a,1\",crews,west-1,r1,16,1024,2\n")).expect("valid");
    assert_eq!(
        (vms[0].name.as_str(), vms[0].cores, vms[0].accelerators),
        ("a,1", 16, 2)
    );
}

#[rstest]
#[case::cores("a,crews,z,r,many,1,0\n", 2, 13, "many")]
#[case::quoted("\"a,b\",crews,z,r,many,1,0\n", 2, 17, "many")]
#[case::no_pool("a,,z,r,1,1,0\n", 2, 3, "")]
#[case::two_pools("a,crews,z,r,1,1,0\na,pass,z,r,1,1,0\n", 3, 3, "pass")]
#[case::twice("a,crews,z,r,1,1,0\na,crews,z,r,1,1,0\n", 3, 1, "a")]
#[case::short("a,crews\n", 2, 1, "a,crews")]
fn inventory_fault(
    #[case] rows: &str,
    #[case] line: usize,
    #[case] column: usize,
    #[case] value: &str,
) {
    let problems = inventory(&format!("{HEADER}{rows}")).expect_err("fault");
    let first = &problems[0];
    assert_eq!(
        (first.line, first.column, first.value.as_str()),
        (line, column, value)
    );
}

#[test]
fn inventory_every_fault() {
    let rows = "a,,z,r,1,1,0\n,crews,z,r,x,1,0\n";
    assert_eq!(
        inventory(&format!("{HEADER}{rows}"))
            .expect_err("faults")
            .len(),
        3
    );
}

#[test]
fn inventory_missing_column() {
    assert_eq!(inventory("name,zone\n").expect_err("faults").len(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn inventory_any_text(text in any::<String>()) {
        let _ = inventory(&text);
        let _ = inventory(&format!("{HEADER}{text}"));
    }
}
