//! Parsing, validation and defaults of settings files.

use std::fs;
use std::path::PathBuf;

use rstest::rstest;
use wigeonhinged::Settings;
use wigeonhinged::settings;

/// Guards against absent settings that do not get their defaults.
#[test]
fn settings_defaults() {
    let path = write(
        "defaults",
        r#"{ // entry
        "entry": "e1", "zone": "z", "listen": "127.0.0.1:0", "limits": {"receive_ms": 200}}"#,
    );
    let settings = Settings::open(&path).unwrap();
    assert_eq!(settings.threads, settings::DEFAULT_THREADS);
    assert_eq!(settings.limits.body_bytes, settings::DEFAULT_BODY_BYTES);
    assert_eq!(settings.limits.receive_timeout.as_millis(), 200);
}

/// Guards against messages that lack the position, the path, the value or the expected form.
#[rstest]
#[case("{\n \"entry\": 7}", "2:11: entry: value 7; expected a string")]
#[case(
    "{\"limits\": {\"body_bytes\": -1}}",
    "1:27: limits.body_bytes: value -1; expected an integer from 0"
)]
#[case(
    "{\"limits\":\n{\"size\": 1}}",
    "2:2: limits: value \"size\"; expected one of header_bytes"
)]
#[case(
    "{\"entry\": \"e\", \"entry\": \"f\"}",
    "1:16: value \"entry\"; expected each name at most once"
)]
#[case(
    "{\"entry\": \"e\", \"zone\": \"z\",\n \"listen\": \"here\"}",
    "2:12: listen: value \"here\"; expected IP:port"
)]
#[case(
    "{\"entry\": \"e\"}",
    "1:1: zone: value \"\"; expected a name of letters"
)]
#[case("{\"entry\": \"e\"\n \"zone\" 1}", "2:9: value")]
fn settings_problem(#[case] text: &str, #[case] expected: &str) {
    let name = expected.replace(|letter: char| !letter.is_alphanumeric(), "-");
    let path = write(&format!("fault-{name}"), text);
    let error = Settings::open(&path).unwrap_err().to_string();
    let expected = format!("{}:{expected}", path.display());
    assert!(error.contains(&expected), "{error}\nlacks\n{expected}");
}

/// Guards against validation that stops at the first problem.
#[test]
fn settings_every_problem() {
    let path = write("every", r#"{"entry": "", "listen": "x", "threads": 65}"#);
    let error = Settings::open(&path).unwrap_err();
    let paths: Vec<&str> = error.problems().iter().map(|it| it.path.as_str()).collect();
    assert_eq!(paths, ["listen", "entry", "zone", "threads"]);
}

fn write(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}.jsonc"));
    fs::write(&path, text).unwrap();
    path
}
