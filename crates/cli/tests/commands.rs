//! Guards against operators' commands that fail, or that report the wrong exit status, on a running site.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use wigeonhinge_cli::Exit;
use wigeonhinge_cli::owner::Owner;
use wigeonhinge_cli::run;
use wigeonhinge_cli::site::Site;
use wigeonhinge_cli::site::within;
use wigeonhinge_schema::ledger::WaveState;

const START: Duration = Duration::from_secs(30);

fn command(site: &Site, words: &[&str]) -> Exit {
    let base = site.platform.base();
    let mut args: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    args.extend(["--platform".to_owned(), base]);
    run(&args)
}

fn wave(site: &Site) -> Option<WaveState> {
    let (_, ledger) = site.ledger()?;
    ledger.wave().map(|wave| wave.state())
}

/// Returns whether the audit trail in the store holds a text.
fn audited(site: &Site, text: &str) -> bool {
    let state = site.platform.state();
    let items = state.store.list("audit/");
    let mut values = items.iter().filter_map(|(key, _)| state.store.get(key));
    values.any(|(_, value)| value.to_string().contains(text))
}

#[test]
fn commands_on_a_site() {
    let site = Site::open(Owner::Coastline).expect("site");
    let text = serde_json::to_string(&site.fleet).expect("fleet");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("commands.jsonc");
    fs::write(&path, text).expect("fleet file");
    let file = path.to_str().expect("path");
    let region = site.owner.region();
    let region_wave = |action| command(&site, &["wave", action, "--region", region]);
    assert_eq!(command(&site, &["apply", file, "--wait"]), Exit::Done);
    assert_eq!(command(&site, &["diff", file]), Exit::Done);
    assert_eq!(command(&site, &["status"]), Exit::Done);
    within(START, "not in service", || site.in_service()).expect("in service");
    assert_eq!(region_wave("resume"), Exit::Refused);
    assert_eq!(region_wave("start"), Exit::Done);
    assert_eq!(wave(&site), Some(WaveState::Running));
    within(START, "no record of the wave", || {
        audited(&site, "by an operator")
    })
    .expect("audit");
    assert_eq!(region_wave("pause"), Exit::Done);
    assert_eq!(wave(&site), Some(WaveState::Paused));
    assert_eq!(region_wave("resume"), Exit::Done);
    assert_eq!(region_wave("abort"), Exit::Done);
    assert_eq!(wave(&site), Some(WaveState::Aborted));
    assert_eq!(region_wave("show"), Exit::Done);
    assert_eq!(command(&site, &["audit", "--since", "5"]), Exit::Done);
    assert_eq!(
        command(&site, &["wave", "stop", "--region", region]),
        Exit::BadInput
    );
}
