//! Request routing by host and longest path prefix.

use rstest::rstest;
use wigeonhinge::batch::Catalog;
use wigeonhinge::batch::Queue;

fn queue(host: &str, prefix: &str) -> Queue {
    Queue {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        ..Queue::default()
    }
}

/// Guards against a missed match: in the sorted map, other prefixes can stand between a path and
/// its longest prefix.
#[rstest]
#[case::exact("/a/", Some("h/a/"))]
#[case::deeper("/a/7", Some("h/a/"))]
#[case::longest("/a/b/7", Some("h/a/b/"))]
#[case::neighbour_before("/a/bc", Some("h/a/"))]
#[case::sorts_between("/az/7", Some("h/az"))]
#[case::not_ascii("/é/7", Some("h/é"))]
#[case::none("/b", None)]
#[case::shorter("/", None)]
fn route_path(#[case] path: &str, #[case] name: Option<&str>) {
    let prefixes = ["/a/", "/a/b/", "/a/b0", "/a/b/zz", "/az", "/é"];
    let queues = prefixes.iter().map(|prefix| queue("h", prefix));
    let others = [queue("other", "/")];
    let catalog = Catalog::new(1, queues.chain(others), Vec::new(), 0);
    let found = catalog.route("h", path).map(|queue| queue.name.as_str());
    assert_eq!(found, name);
}
