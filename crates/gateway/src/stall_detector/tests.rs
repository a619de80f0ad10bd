//! Tests reads before, right after, and long after a stall.

use super::*;
use tokio::time::advance;

const MS: Duration = Duration::from_millis(1);

#[tokio::test(start_paused = true)]
async fn read_delay_is_queried_only_after_a_stall() {
    let detector = StallDetector::default();
    let waited_for = |waited: Duration| move || Some(waited);
    let never = || -> Option<Duration> { panic!("the delay is queried without a stall") };
    advance(100 * MS).await;
    assert_eq!(detector.on_read(never), Duration::ZERO);
    advance(3000 * MS).await;
    assert_eq!(detector.on_read(waited_for(1200 * MS)), 1200 * MS);
    advance(10 * MS).await;
    assert_eq!(
        detector.on_read(waited_for(9000 * MS)),
        3010 * MS,
        "limited to the time since the last read before the stall"
    );
    assert_eq!(detector.on_read(|| None), Duration::ZERO, "unknown delay");
    for _ in 0..10 {
        advance(100 * MS).await;
        detector.on_read(waited_for(MS));
    }
    assert_eq!(detector.on_read(never), Duration::ZERO);
}
