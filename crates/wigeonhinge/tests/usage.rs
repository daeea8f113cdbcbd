//! Learned sizes.

use wigeonhinge::usage::MAX_CLASSES;
use wigeonhinge::usage::MIN_SAMPLES;
use wigeonhinge::usage::Usage;
use wigeonhinge_schema::jobs::Size;

#[test]
fn estimate_far_off_declared() {
    // Guards against declarations that are kept although they are far off.
    let mut usage = Usage::default();
    for _ in 1..MIN_SAMPLES {
        usage.observe("index", size(1_000));
    }
    assert_eq!(usage.estimate("index", size(100)), size(100));
    for _ in 0..20 {
        usage.observe("index", size(1_000));
    }
    for declared in [100, 16_000] {
        let learned = usage.estimate("index", size(declared)).millicores;
        assert!((1_000..=1_200).contains(&learned), "{learned}");
    }
}

#[test]
fn estimate_follows_change() {
    // Guards against old reports that hide a class that has grown.
    let mut usage = Usage::default();
    (0..400).for_each(|_| usage.observe("index", size(1_000)));
    (0..120).for_each(|_| usage.observe("index", size(4_000)));
    assert!(usage.estimate("index", size(1)).millicores >= 4_000);
}

#[test]
fn observe_bounded() {
    // Guards against memory that grows with the names that submitters choose.
    let mut usage = Usage::default();
    for class in 0..MAX_CLASSES + 10 {
        (0..MIN_SAMPLES).for_each(|_| usage.observe(&format!("class-{class}"), size(1_000)));
    }
    assert!(!usage.learned("class-0"));
    assert!(usage.learned(&format!("class-{}", MAX_CLASSES + 9)));
}

fn size(millicores: u32) -> Size {
    Size {
        millicores,
        memory_mb: 512,
        accelerators: 0,
    }
}
