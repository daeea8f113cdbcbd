//! Guards against generated code that no longer matches the schema.

use std::env;
use std::fs;
use std::path::Path;

const PACKAGES: [&str; 6] = ["audit", "fleet", "jobs", "ledger", "peer", "settings"];

#[test]
fn generated_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let fresh = tempdir();
    generate(&root.join("proto"), &fresh);
    for package in PACKAGES {
        let name = format!("wigeonhinge.{package}.rs");
        let made = fs::read_to_string(fresh.join(&name)).expect("generated file");
        let path = root.join("src/generated").join(&name);
        if env::var_os("UPDATE_SCHEMA").is_some() {
            fs::write(&path, &made).expect("committed file is writable");
        }
        let kept = fs::read_to_string(&path).expect("committed file");
        assert!(
            kept == made,
            "{name} is not current; run with UPDATE_SCHEMA=1"
        );
    }
}

fn generate(proto: &Path, out: &Path) {
    let files = PACKAGES.map(|package| proto.join(format!("{package}.proto")));
    let set = protox::compile(files, [proto]).expect("schema compiles");
    let mut config = prost_build::Config::new();
    config.out_dir(out).btree_map(["."]);
    config.format(true);
    for package in [
        ".wigeonhinge.audit",
        ".wigeonhinge.jobs",
        ".wigeonhinge.ledger",
    ] {
        document(&mut config, package, "#[serde(default)]");
    }
    for package in [".wigeonhinge.fleet", ".wigeonhinge.settings"] {
        document(
            &mut config,
            package,
            "#[serde(default, deny_unknown_fields)]",
        );
    }
    let named = [
        (".wigeonhinge.audit.Record.kind", "audit_kind"),
        (".wigeonhinge.jobs.Job.state", "job_state"),
        (".wigeonhinge.ledger.VmState.phase", "phase"),
        (".wigeonhinge.ledger.Wave.state", "wave_state"),
    ];
    for (field, module) in named {
        config.field_attribute(field, format!("#[serde(with = \"crate::text::{module}\")]"));
    }
    config.compile_fds(set).expect("code is generated");
}

fn document(config: &mut prost_build::Config, package: &str, form: &str) {
    let derive = "#[derive(serde::Deserialize, serde::Serialize)]";
    config.message_attribute(package, format!("{derive}\n{form}"));
}

fn tempdir() -> std::path::PathBuf {
    let path = env::temp_dir().join(format!("wigeonhinge-schema-{}", std::process::id()));
    fs::create_dir_all(&path).expect("temporary folder");
    path
}
