//! Checks that the committed generated code matches the schema.
//!
//! With `UPDATE_SCHEMA` set, the test writes the generated code anew first.

use std::env;
use std::fs;
use std::path::Path;

const PACKAGES: [&str; 6] = ["audit", "fleet", "jobs", "ledger", "peer", "settings"];

#[test]
fn generated_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = create_temp_dir();
    generate(&root.join("proto"), &out);
    for package in PACKAGES {
        let name = format!("wigeonhinge.{package}.rs");
        let generated = fs::read_to_string(out.join(&name)).expect("generated file is readable");
        let path = root.join("src/generated").join(&name);
        if env::var_os("UPDATE_SCHEMA").is_some() {
            fs::write(&path, &generated).expect("committed file is writable");
        }
        let committed = fs::read_to_string(&path).expect("committed file is readable");
        assert!(
            committed == generated,
            "{name} does not match the schema; run the test with UPDATE_SCHEMA=1"
        );
    }
}

fn generate(proto: &Path, out: &Path) {
    let files = PACKAGES.map(|package| proto.join(format!("{package}.proto")));
    let descriptors = protox::compile(files, [proto]).expect("schema compiles");
    let mut config = prost_build::Config::new();
    config.out_dir(out).btree_map(["."]);
    config.format(true);
    for package in [
        ".wigeonhinge.audit",
        ".wigeonhinge.jobs",
        ".wigeonhinge.ledger",
    ] {
        derive_serde(&mut config, package, "#[serde(default)]");
    }
    for package in [".wigeonhinge.fleet", ".wigeonhinge.settings"] {
        derive_serde(
            &mut config,
            package,
            "#[serde(default, deny_unknown_fields)]",
        );
    }
    let enum_fields = [
        (".wigeonhinge.audit.Record.kind", "audit_kind"),
        (".wigeonhinge.jobs.Job.state", "job_state"),
        (".wigeonhinge.ledger.VmState.phase", "phase"),
        (".wigeonhinge.ledger.Wave.state", "wave_state"),
    ];
    for (field, module) in enum_fields {
        config.field_attribute(
            field,
            format!("#[serde(with = \"crate::names::{module}\")]"),
        );
    }
    config.compile_fds(descriptors).expect("code is generated");
}

fn derive_serde(config: &mut prost_build::Config, package: &str, attribute: &str) {
    let derive = "#[derive(serde::Deserialize, serde::Serialize)]";
    config.message_attribute(package, format!("{derive}\n{attribute}"));
}

fn create_temp_dir() -> std::path::PathBuf {
    let path = env::temp_dir().join(format!("wigeonhinge-schema-{}", std::process::id()));
    fs::create_dir_all(&path).expect("temporary directory is created");
    path
}
