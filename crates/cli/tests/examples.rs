//! Writes the example fleet files when asked to, with `UPDATE_EXAMPLES=1`.

use std::env;
use std::fs;
use std::path::Path;

use wigeonhinge_cli::owner::Owner;

#[test]
fn examples_current() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for owner in Owner::ALL {
        let body = serde_json::to_string_pretty(&owner.fleet()).expect("fleet as JSON");
        let head = format!("// Fleet of {owner}: rules, inventory and upstreams.\n");
        let made = format!("{head}{body}\n");
        let path = folder.join(format!("{owner}.jsonc"));
        if env::var_os("UPDATE_EXAMPLES").is_some() {
            fs::write(&path, &made).expect("example is writable");
        }
        let kept = fs::read_to_string(&path).expect("example");
        assert!(
            kept == made,
            "{} is not current; run with UPDATE_EXAMPLES=1",
            path.display()
        );
    }
}
