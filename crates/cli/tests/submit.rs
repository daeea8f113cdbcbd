//! Guards against edits that are accepted twice, refused while in force, or reported wrong.

use std::time::Duration;

use compact_str::CompactString;
use compio::runtime::Runtime;
use rstest::rstest;
use wigeonhinge::config::Edit;
use wigeonhinge_cli::Exit;
use wigeonhinge_cli::owner::Owner;
use wigeonhinge_cli::run;
use wigeonhinge_cli::submit::Outcome;
use wigeonhinge_cli::submit::current;
use wigeonhinge_cli::submit::resolve;
use wigeonhinge_cli::submit::submit;
use wigeonhinge_standin::platform::Mode;
use wigeonhinge_standin::platform::Platform;
use wigeonhinged::platform::HttpPlatform;

const LIMIT: Duration = Duration::from_secs(3);

const EXAMPLE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/coastline.jsonc"
);

fn edit(id: &str, base: u64) -> Edit {
    Edit {
        id: CompactString::from(id),
        base,
        author: CompactString::from(id),
        reason: CompactString::default(),
        fleet: Owner::Coastline.fleet(),
    }
}

fn client(platform: &Platform) -> HttpPlatform {
    HttpPlatform::new(&platform.base(), "operator")
        .expect("client")
        .with_timeout(Duration::from_millis(300))
}

#[test]
fn submit_accepts_once() {
    let platform = Platform::spawn().expect("platform");
    Runtime::new().expect("runtime").block_on(async {
        let client = client(&platform);
        let edit = edit("a", 0);
        assert_eq!(submit(&client, &edit, LIMIT).await, Outcome::Accepted(1));
        assert_eq!(submit(&client, &edit, LIMIT).await, Outcome::Accepted(1));
        let (config, _) = current(&client).await.expect("configuration");
        assert_eq!((config.revision, config.edits.len()), (1, 1));
    });
}

#[rstest]
#[case::once(1)]
#[case::three_times(3)]
fn submit_lost_answer(#[case] lost: u32) {
    let platform = Platform::spawn().expect("platform");
    platform.state().lose_answers = lost;
    Runtime::new().expect("runtime").block_on(async {
        let client = client(&platform);
        assert_eq!(
            submit(&client, &edit("a", 0), LIMIT).await,
            Outcome::Accepted(1)
        );
        let (config, _) = current(&client).await.expect("configuration");
        assert_eq!((config.revision, config.edits.len()), (1, 1));
    });
}

#[test]
fn submit_race_names_the_winner() {
    let platform = Platform::spawn().expect("platform");
    Runtime::new().expect("runtime").block_on(async {
        let client = client(&platform);
        assert_eq!(
            submit(&client, &edit("a", 0), LIMIT).await,
            Outcome::Accepted(1)
        );
        let author = CompactString::from("a");
        let lost = Outcome::Overtaken {
            revision: 1,
            author,
        };
        assert_eq!(submit(&client, &edit("b", 0), LIMIT).await, lost);
    });
}

#[test]
fn submit_store_down_is_not_sent() {
    let platform = Platform::spawn().expect("platform");
    platform.state().mode = Mode::Down;
    Runtime::new().expect("runtime").block_on(async {
        let outcome = submit(&client(&platform), &edit("a", 0), LIMIT).await;
        assert!(matches!(outcome, Outcome::NotSent(_)), "{outcome:?}");
    });
}

#[test]
fn submit_store_goes_down_is_unknown_until_asked() {
    let platform = Platform::spawn().expect("platform");
    Runtime::new().expect("runtime").block_on(async {
        let client = client(&platform);
        let edit = edit("a", 0);
        platform.state().lose_answers = 1;
        platform.state().slow = Duration::from_millis(200);
        let down = async {
            compio::time::sleep(Duration::from_millis(450)).await;
            platform.state().mode = Mode::Down;
        };
        let (outcome, ()) = futures_util::join!(submit(&client, &edit, LIMIT), down);
        assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
        platform.state().mode = Mode::Up;
        let (config, _) = current(&client).await.expect("configuration");
        let asked = resolve(&client, &edit).await;
        match config.revision {
            1 => assert_eq!(asked, Outcome::Accepted(1)),
            _ => assert!(matches!(asked, Outcome::Unknown(_)), "{asked:?}"),
        }
    });
}

#[test]
fn apply_bad_file_changes_nothing() {
    let platform = Platform::spawn().expect("platform");
    let args = |file: &str| {
        ["apply", file, "--platform", &platform.base()]
            .map(str::to_owned)
            .to_vec()
    };
    assert_eq!(run(&args("no-such-file")), Exit::BadInput);
    assert_eq!(platform.state().store.version("config"), 0);
    assert_eq!(run(&args(EXAMPLE)), Exit::Done);
    assert_eq!(platform.state().store.version("config"), 1);
    assert_eq!(run(&["apply".to_owned()]), Exit::BadInput);
    let ask = |more: &[&str]| {
        let more = more.iter().map(|word| (*word).to_owned());
        run(&args(EXAMPLE).into_iter().chain(more).collect::<Vec<_>>())
    };
    assert_eq!(ask(&["--ask"]), Exit::BadInput);
    assert_eq!(ask(&["--ask", "--edit", "x"]), Exit::BadInput);
    assert_eq!(ask(&["--ask", "--edit", "x", "--base", "1"]), Exit::Unknown);
    assert_eq!(platform.state().store.version("config"), 1);
}
