//! Tests of size estimates.

use wigeonhinge::usage::MAX_CLASSES;
use wigeonhinge::usage::MIN_SAMPLES;
use wigeonhinge::usage::UsageHistory;
use wigeonhinge_schema::jobs::Size;

#[test]
fn estimate_far_off_declared() {
    // Guards against reserving declared sizes that are far from the observed ones.
    let mut history = UsageHistory::default();
    for _ in 1..MIN_SAMPLES {
        history.observe("index", size(1_000));
    }
    assert_eq!(history.estimate("index", size(100)), size(100));
    for _ in 0..20 {
        history.observe("index", size(1_000));
    }
    for declared in [100, 16_000] {
        let estimate = history.estimate("index", size(declared)).millicores;
        assert!((1_000..=1_200).contains(&estimate), "{estimate}");
    }
}

#[test]
fn estimate_follows_change() {
    // Guards against old samples that hide the growth of a class.
    let mut history = UsageHistory::default();
    (0..400).for_each(|_| history.observe("index", size(1_000)));
    (0..120).for_each(|_| history.observe("index", size(4_000)));
    assert!(history.estimate("index", size(1)).millicores >= 4_000);
}

#[test]
fn observe_bounded() {
    // Guards against memory that grows with the class names that submitters choose.
    let mut history = UsageHistory::default();
    for class in 0..MAX_CLASSES + 10 {
        (0..MIN_SAMPLES).for_each(|_| history.observe(&format!("class-{class}"), size(1_000)));
    }
    assert!(!history.has_estimate("class-0"));
    assert!(history.has_estimate(&format!("class-{}", MAX_CLASSES + 9)));
}

fn size(millicores: u32) -> Size {
    Size {
        millicores,
        memory_mb: 512,
        accelerators: 0,
    }
}
