//! The names that an instance's ids stand for.

use lotusmoor_balancer::{ClassId, Interner, TenantId};

/// The names of one instance. Each kind of name has its own ids.
pub(crate) struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
    pub(crate) zones: Interner,
    pub(crate) machine_types: Interner,
    pub(crate) endpoints: Interner,
}

impl Names {
    pub(crate) fn new(classes: Vec<String>, tenants: Vec<String>, zones: Interner) -> Self {
        let [machine_types, endpoints] = Default::default();
        Self { classes, tenants, zones, machine_types, endpoints }
    }

    pub(crate) fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|class| class == name)
    }

    pub(crate) fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|tenant| tenant == name)
    }
}
