use super::*;

fn report_of(text: &[u8]) -> LoadReport {
    let mut status = MemberStatus::default();
    status.on_load_report(text);
    status.report
}

#[test]
fn the_position_in_a_load_report_is_in_seconds() {
    let report = report_of(b"x0=1796159340.996,x1=0");
    assert_eq!(report.role, Some(Role::Replica));
    let millis = report.position.unwrap().div_ceil(1000);
    assert!((1_796_159_340_995..=1_796_159_340_997).contains(&millis), "{millis}");
    assert_eq!(report_of(b"x0=1796159340.996,x1=maybe").position, None);
}
