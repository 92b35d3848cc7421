//! Checks whether this controller can apply a new configuration, and derives what it applies. The same checks
//! serve revisions that controllers agree on among themselves and those that control machines distribute.

use std::collections::BTreeSet;

use badgerledge_catalogue::Catalogue;
use badgerledge_changes::preserve_numbers;
use badgerledge_deployment::{AppliedConfiguration, Deployment, RevisionText, Shared};

/// What a new configuration must be compatible with on this controller.
pub struct ConfigurationCheck {
    /// The settings that existing subscriptions refer to; `None` while there are none.
    current: Option<Shared>,
    /// The room types of the catalogue's own titles; `None` where the titles are part of the configuration.
    catalogue_room_types: Option<BTreeSet<String>>,
    /// The index of this controller's zone.
    zone: usize,
    /// The settings key that says whether the titles are part of the configuration; for error messages.
    titles_key: &'static str,
}

impl ConfigurationCheck {
    /// `titles` is the catalogue's own, where the titles are not part of the configuration.
    pub fn new(deployment: &Deployment, titles: Option<&Catalogue>, titles_key: &'static str) -> Self {
        let zones = &deployment.shared.fleet.zones;
        let zone = zones.iter().position(|zone| *zone == deployment.place.zone).unwrap_or(0);
        Self { current: None, catalogue_room_types: titles.map(Catalogue::room_types), zone, titles_key }
    }

    /// The index of this controller's zone, which is stable while its name may change.
    pub fn zone(&self) -> usize {
        self.zone
    }

    /// Records that existing subscriptions refer to these settings.
    pub fn set_current(&mut self, shared: Shared) {
        self.current = Some(shared);
    }

    /// Records that the catalogue's own file was reloaded.
    pub fn catalogue_reloaded(&mut self, titles: &Catalogue) {
        self.catalogue_room_types = Some(titles.room_types());
    }

    /// Checks whether this controller can apply a configuration after the present one.
    ///
    /// # Errors
    /// The reason why it cannot.
    pub fn check(&self, text: &RevisionText) -> Result<(), String> {
        let (shared, titles, key) = (text.shared(), text.titles(), self.titles_key);
        match (&self.catalogue_room_types, titles.is_empty()) {
            (None, true) => return Err(format!("it has no titles, but {key} = true makes them part of it")),
            (Some(_), false) => {
                return Err(format!("it has titles, but {key} = false leaves them to the catalogue file"))
            }
            _ => {}
        }
        if let Some(name) =
            self.catalogue_room_types.iter().flatten().find(|name| shared.room_type(name).is_none())
        {
            return Err(format!(
                "there is no room type {name} in it, but titles of this controller's catalogue use it"
            ));
        }
        if shared.fleet.zones.len() <= self.zone {
            let zone = self.zone;
            return Err(format!(
                "[fleet] zones: this controller's zone is number {zone}, but there is no such zone"
            ));
        }
        match &self.current {
            Some(current) => preserve_numbers(current, shared.clone()).map(drop),
            None => Ok(()),
        }
    }

    /// The configuration to apply from now on, arranged in the numbering that existing subscriptions refer
    /// to.
    ///
    /// # Errors
    /// The reason why it cannot be applied.
    pub fn apply(
        &mut self, active: &RevisionText, prepared: Option<&RevisionText>,
    ) -> Result<AppliedConfiguration, String> {
        let mut applied = active.applied_configuration(prepared);
        if let Some(current) = &self.current {
            applied.shared = preserve_numbers(current, applied.shared)?;
        }
        self.current = Some(applied.shared.clone());
        Ok(applied)
    }
}
