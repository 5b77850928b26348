//! All tables of a configuration in their order, also those with invalid values.

use std::collections;

use super::{ClientAccount, DataCentre, EngineKind, Model, Service, Text};
use crate::reader::{item, section};

/// Tables of a configuration before they are checked against each other.
#[derive(Debug)]
pub(super) struct Tables {
    pub(super) data_centres: Vec<item::Item<DataCentre>>,
    pub(super) engine_kinds: Vec<item::Item<EngineKind>>,
    pub(super) models: Vec<item::Item<Model>>,
    pub(super) services: Vec<item::Item<Service>>,
    pub(super) client_accounts: Vec<item::Item<ClientAccount>>,
}

impl Tables {
    /// Reads all tables and reports unknown keys of the root table.
    pub(super) fn read(root: &section::Section<'_, '_>) -> Self {
        let tables = Self {
            data_centres: root.items("data_centre", DataCentre::read),
            engine_kinds: root.items("engine_kind", EngineKind::read),
            models: root.items("model", Model::read),
            services: root.items("service", Service::read),
            client_accounts: root.items("client_account", ClientAccount::read),
        };
        root.report_unknown();
        tables
    }

    /// Returns the configuration; tables without a name are left out.
    pub(super) fn into_text(self) -> Text {
        Text {
            data_centres: by_name(self.data_centres),
            engine_kinds: by_name(self.engine_kinds),
            models: by_name(self.models),
            services: by_name(self.services),
            client_accounts: by_name(self.client_accounts),
        }
    }
}

fn by_name<T>(items: Vec<item::Item<T>>) -> collections::BTreeMap<String, T> {
    let named = items.into_iter();
    named
        .filter_map(|item| Some((item.name?, item.value)))
        .collect()
}
