use super::DescriptorBudget;

#[test]
fn members_and_clients_share_what_the_reserve_leaves() {
    let budget = DescriptorBudget::new(1024, false, false);
    let expected = DescriptorBudget { member_connections: 492, clients: 492, client_connections: 500 };
    assert_eq!(budget, expected);
    let budget = DescriptorBudget::new(1024, true, false);
    let expected = DescriptorBudget { member_connections: 484, clients: 484, client_connections: 492 };
    assert_eq!(budget, expected);
}

#[test]
fn an_inherited_listener_leaves_a_third_for_the_other_process() {
    let budget = DescriptorBudget::new(1024, false, true);
    let expected = DescriptorBudget { member_connections: 321, clients: 492, client_connections: 500 };
    assert_eq!(budget, expected);
}

#[test]
fn low_limits_leave_a_connection_of_each_kind() {
    for max_descriptors in [0, 14, 16] {
        let budget = DescriptorBudget::new(max_descriptors, false, false);
        assert_eq!((budget.member_connections, budget.clients), (1, 1));
        let overlapping = DescriptorBudget::new(max_descriptors, false, true);
        assert_eq!((overlapping.member_connections, overlapping.clients), (2, 1));
    }
    let budget = DescriptorBudget::new(34, false, false);
    assert_eq!(budget, DescriptorBudget { member_connections: 5, clients: 5, client_connections: 13 });
}
