//! A pair of values, one for each role.

use crate::Role;
use std::ops::{Index, IndexMut};

/// One value for the primary and one for replicas.
#[derive(Clone, Copy, Default)]
pub(crate) struct PerRole<T> {
    /// The value for replicas.
    pub(crate) replica: T,
    /// The value for the primary.
    pub(crate) primary: T,
}

impl<T: Copy> PerRole<T> {
    /// The same value for both roles.
    pub(crate) fn uniform(value: T) -> Self {
        PerRole { replica: value, primary: value }
    }
}

impl<T> Index<Role> for PerRole<T> {
    type Output = T;

    fn index(&self, role: Role) -> &T {
        match role {
            Role::Replica => &self.replica,
            Role::Primary => &self.primary,
        }
    }
}

impl<T> IndexMut<Role> for PerRole<T> {
    fn index_mut(&mut self, role: Role) -> &mut T {
        match role {
            Role::Replica => &mut self.replica,
            Role::Primary => &mut self.primary,
        }
    }
}
