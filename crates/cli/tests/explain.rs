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
