//! Reads before, right after, and long after a stall.

use super::*;
use tokio::time::advance;

const MS: Duration = Duration::from_millis(1);

#[tokio::test(start_paused = true)]
async fn only_reads_after_a_stall_are_asked_how_long_they_waited() {
    let detector = StallDetector::default();
    let waited_for = |waited: Duration| move || Some(waited);
    let never = || -> Option<Duration> { panic!("a busy one pays nothing for this") };
    advance(100 * MS).await;
    assert_eq!(detector.on_read(never), Duration::ZERO);
    advance(3000 * MS).await;
    assert_eq!(detector.on_read(waited_for(1200 * MS)), 1200 * MS);
    advance(10 * MS).await;
    assert_eq!(
        detector.on_read(waited_for(9000 * MS)),
        3010 * MS,
        "it would have been read before"
    );
    assert_eq!(detector.on_read(|| None), Duration::ZERO, "where nobody can tell");
    for _ in 0..10 {
        advance(100 * MS).await;
        detector.on_read(waited_for(MS));
    }
    assert_eq!(detector.on_read(never), Duration::ZERO);
}
