use super::*;

/// Guards against a holder that takes the memory of all others: each of them still gets its part.
#[test]
fn a_holder_gets_its_part_whatever_the_others_use_and_the_total_is_bounded() {
    let budget = MemoryBudget::new(100, 40, 4);
    let mut holders: Vec<_> = (0..4).map(|_| HeldBytes::new(budget.clone())).collect();
    assert_eq!(holders[0].try_set(100), Ok(()));
    assert_eq!(holders[0].try_set(101), Err(OverBudget));
    assert_eq!(budget.used(), 100, "a failure changes nothing");
    for holder in &mut holders[1..] {
        assert_eq!(holder.try_set(11), Err(OverBudget));
        assert_eq!(holder.try_set(10), Ok(()));
    }
    assert_eq!(budget.used(), 130);
    assert_eq!(holders[0].try_set(50), Ok(()), "a decrease never fails");
    assert_eq!(holders[1].try_set(30), Ok(()));
    drop(holders);
    assert_eq!(budget.used(), 0);
}

/// Guards against budgets that hold each by itself, and together use more than there is.
#[test]
fn a_holder_exceeds_its_part_only_while_the_total_of_all_budgets_is_below_its_limit() {
    let total = MemoryTotal::new(100);
    let budgets = [(); 2].map(|()| MemoryBudget::within(total.clone(), 90, 20, 2));
    let mut holders = budgets.each_ref().map(|budget| HeldBytes::new(budget.clone()));
    assert_eq!(holders[0].try_set(80), Ok(()));
    assert_eq!(holders[1].try_set(30), Err(OverBudget), "110 bytes in all");
    assert_eq!(holders[1].try_set(20), Ok(()));
    let mut third = HeldBytes::new(budgets[1].clone());
    assert_eq!(third.try_set(10), Ok(()), "the guaranteed part, whatever the total");
    assert_eq!(total.used(), 110);
    drop(holders);
    assert_eq!((total.used(), third.try_set(90)), (10, Ok(())));
}
