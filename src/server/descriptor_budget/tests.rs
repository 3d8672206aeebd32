use super::DescriptorBudget;

#[test]
fn members_and_clients_each_get_half_of_the_unreserved_descriptors() {
    let budget = DescriptorBudget::new(1024, false, false);
    let expected = DescriptorBudget { member_connections: 492, clients: 492, client_connections: 500 };
    assert_eq!(budget, expected);
    let budget = DescriptorBudget::new(1024, true, false);
    let expected = DescriptorBudget { member_connections: 484, clients: 484, client_connections: 492 };
    assert_eq!(budget, expected);
}

#[test]
fn inherited_listener_limits_member_connections_to_a_third_of_the_descriptors() {
    let budget = DescriptorBudget::new(1024, false, true);
    let expected = DescriptorBudget { member_connections: 321, clients: 492, client_connections: 500 };
    assert_eq!(budget, expected);
}

#[test]
fn low_limits_allow_at_least_one_connection_of_each_kind() {
    for max_descriptors in [0, 14, 16] {
        let budget = DescriptorBudget::new(max_descriptors, false, false);
        assert_eq!((budget.member_connections, budget.clients), (1, 1));
        let overlapping = DescriptorBudget::new(max_descriptors, false, true);
        assert_eq!((overlapping.member_connections, overlapping.clients), (2, 1));
    }
    let budget = DescriptorBudget::new(34, false, false);
    assert_eq!(budget, DescriptorBudget { member_connections: 5, clients: 5, client_connections: 13 });
}
