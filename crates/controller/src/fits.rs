//! Whether a controller can act on a next configuration, and what it acts on: the same for revisions that controllers agree
//! on among themselves and for those that control machines hand down.

use std::collections::BTreeSet;

use badgerledge_catalogue::Catalogue;
use badgerledge_changes::arrange;
use badgerledge_deployment::{ActedOn, Deployment, Shared, Text};

/// What a next configuration must fit here.
pub struct Fits {
    /// The settings that subscriptions are held under: nothing while none are.
    held: Option<Shared>,
    /// The room types of the catalogue's own titles, where they do not go with the configuration.
    titles: Option<BTreeSet<String>>,
    /// The number of this controller's zone.
    zone: usize,
    /// The key that says whether the titles go with it.
    titles_key: &'static str,
}

impl Fits {
    /// `titles` are the catalogue's own, where they do not go with the configuration.
    pub fn new(deployment: &Deployment, titles: Option<&Catalogue>, titles_key: &'static str) -> Self {
        let zones = &deployment.shared.fleet.zones;
        let zone = zones.iter().position(|zone| *zone == deployment.place.zone).unwrap_or(0);
        Self { held: None, titles: titles.map(Catalogue::room_types), zone, titles_key }
    }

    /// The number of this controller's zone: the name may change.
    pub fn zone(&self) -> usize {
        self.zone
    }

    /// Subscriptions are held under these settings.
    pub fn hold(&mut self, shared: Shared) {
        self.held = Some(shared);
    }

    /// The catalogue's own file was read anew.
    pub fn titles_read(&mut self, titles: &Catalogue) {
        self.titles = Some(titles.room_types());
    }

    /// Whether a controller can act on a configuration after what it acts on now.
    ///
    /// # Errors
    /// Says why it can't.
    pub fn check(&self, text: &Text) -> Result<(), String> {
        let (shared, titles, key) = (text.shared(), text.titles(), self.titles_key);
        match (&self.titles, titles.is_empty()) {
            (None, true) => return Err(format!("it has no titles, and {key} = true has them go with it")),
            (Some(_), false) => return Err(format!("it has titles, and {key} = false has none go with it")),
            _ => {}
        }
        if let Some(name) = self.titles.iter().flatten().find(|name| shared.room_type(name).is_none()) {
            return Err(format!(
                "there is no room type {name} in it, and titles of this controller's catalogue have it"
            ));
        }
        if shared.fleet.zones.len() <= self.zone {
            let zone = self.zone;
            return Err(format!("[fleet] zones: this controller's own is number {zone}, and there is none"));
        }
        match &self.held {
            Some(held) => arrange(held, shared.clone()).map(drop),
            None => Ok(()),
        }
    }

    /// What is acted on from now on, in the numbers that subscriptions are held under.
    ///
    /// # Errors
    /// Says why it can't be.
    pub fn act_on(&mut self, active: &Text, prepared: Option<&Text>) -> Result<ActedOn, String> {
        let mut acted_on = active.acted_on(prepared);
        if let Some(held) = &self.held {
            acted_on.shared = arrange(held, acted_on.shared)?;
        }
        self.held = Some(acted_on.shared.clone());
        Ok(acted_on)
    }
}
