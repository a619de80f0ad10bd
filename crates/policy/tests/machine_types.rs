//! Classes bound to machine types with high numbers.

use hollowpaddle_policy::interface::*;
use hollowpaddle_policy::policy::Balancer;

/// Returns the upstream that a request of this class is sent to, among one upstream of each listed machine type.
fn sent_to(class: usize, bound_to: &[u32], listed: &[u32]) -> Option<ServerId> {
    let bound = |machine_type: &u32| Class {
        machine_types: Some(vec![*machine_type]),
        ..Class::safe(SignedDuration(200_000), SignedDuration(1_000_000))
    };
    let settings = Settings::basic(bound_to.iter().map(bound).collect());
    let mut module = Balancer::new(settings, 1, Time(0)).expect("sound settings");
    let member = |(i, machine_type): (usize, &u32)| Member {
        machine_type: *machine_type,
        ..Member::live(ServerId(i as u32))
    };
    let list: Vec<Member> = listed.iter().enumerate().map(member).collect();
    let mut out = Vec::new();
    module.handle(Time(0), Event::Members { kind: ListKind::Restored, list: &list }, &mut out);
    let request = Request::new(RequestId(1), class, Time(1_000_000));
    module.handle(Time(1000), Event::Request(request), &mut out);
    out.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

#[test]
fn a_class_is_sent_to_its_machine_type_also_beyond_255() {
    // Guards against machine types that are cut off at 255, so that a class bound to a higher one finds no upstream.
    let machine_types: Vec<u32> = (0..1300).collect();
    for class in [0, 254, 255, 256, 433, 1299] {
        assert_eq!(
            sent_to(class, &machine_types, &machine_types),
            Some(ServerId(class as u32)),
            "class {class}"
        );
    }
}

#[test]
fn machine_types_that_share_figures_still_differ_as_bounds() {
    // Both machine types are beyond the number of types with separate statistics.
    let machine_types = [u32::MAX, u32::MAX - 1];
    assert_eq!(sent_to(0, &machine_types, &machine_types), Some(ServerId(0)));
    assert_eq!(sent_to(1, &machine_types, &machine_types), Some(ServerId(1)));
    assert_eq!(sent_to(0, &machine_types, &machine_types[1..]), None);
}
