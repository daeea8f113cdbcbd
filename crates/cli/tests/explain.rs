//! The story of a job from log lines.

use rstest::rstest;
use wigeonhinge_cli::explain::story;

const LOG: &str = r#"
  1.0 e1 {"msg":"role: taken","ts":"01","entry":"e1"}
  2.0 e2 {"msg":"front: job accepted","ts":"02","entry":"e2","job":"ab"}
  3.0 e1 {"msg":"jobs: start","ts":"03","entry":"e1","task":"ab.0.0.0","worker":"w1"}
  3.5 e1 {"msg":"jobs: start","ts":"035","entry":"e1","task":"cd.0.0.0","worker":"w2"}
  4.0 e1 {"msg":"worker: does not answer","ts":"04","entry":"e1","worker":"w1"}
  4.1 e1 {"msg":"worker: does not answer","ts":"041","entry":"e1","worker":"w2"}
  5.0 e3 {"msg":"role: taken","ts":"05","entry":"e3"}
not a log line
  6.0 e3 {"msg":"jobs: lease of worker w1 ended, ab.0.0.0 run 1 is lost","ts":"06","entry":"e3","task":"ab.0.0.0"}
  7.0 e3 {"msg":"role: given up","ts":"07","entry":"e3"}
"#;

/// Lines of other jobs and workers, and lines outside the job's time, are left out.
#[rstest]
#[case::known("ab", &["02", "03", "04", "05", "06"])]
#[case::unknown("ef", &[])]
fn story_lines(#[case] id: &str, #[case] times: &[&str]) {
    let story = story(id, LOG);
    let found: Vec<&str> = story.iter().map(|line| line.time.as_str()).collect();
    assert_eq!(found, times);
}

/// Lines that a holder writes each second, between two lines of a job 40 s apart.
fn periodic_log() -> String {
    let line = |second: u32, entry: &str, message: &str, job: &str| {
        format!(
            "{{\"msg\":\"{message}\",\"ts\":\"{second:03}\",\"entry\":\"{entry}\",\"job\":\"{job}\"}}\n"
        )
    };
    let mut log = line(0, "e2", "front: job accepted", "ab");
    for second in 1..40 {
        log += &line(second, "e1", "role: standing", "");
        log += &line(second, "e3", "role: standing", "");
        if second == 20 {
            log += &line(second, "e1", "role: given up", "");
        }
    }
    log += &line(40, "e1", "jobs: job ab ended", "ab");
    log
}

/// Guards against a story that is drowned by the periodic lines of the holders.
#[test]
fn story_periodic_lines() {
    let story = story("ab", &periodic_log());
    let found: Vec<(&str, &str)> = story
        .iter()
        .map(|line| (line.time.as_str(), line.entry.as_str()))
        .collect();
    let expected = [
        ("000", "e2"),
        ("001", "e1"),
        ("001", "e3"),
        ("020", "e1"),
        ("039", "e1"),
        ("039", "e3"),
        ("040", "e1"),
    ];
    assert_eq!(found, expected);
}
