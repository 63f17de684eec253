//! The configuration in force at this proxy.
use std::cell::RefCell;
use std::rc::Rc;

use notchspool_mesh_config::route_config::RouteConfig;

/// The newest configuration that was told.
#[derive(Default)]
pub struct ConfigStore {
    current: RefCell<Option<Rc<RouteConfig>>>,
}

impl ConfigStore {
    /// The configuration in force; `None` while none was told.
    pub fn current(&self) -> Option<Rc<RouteConfig>> {
        self.current.borrow().clone()
    }

    /// Its version; `None` while there is none.
    pub fn version(&self) -> Option<u64> {
        self.current.borrow().as_ref().map(|config| config.version)
    }

    /// A chosen configuration was told: that which is in force now, where it is another one. An older one changes nothing.
    pub fn apply(&self, version: u64, body: &[u8]) -> Option<Rc<RouteConfig>> {
        if self.version().is_some_and(|current| current >= version) {
            return None;
        }
        match RouteConfig::parse(body) {
            Ok(config) => {
                log::info!(target: "config", "version {version} is in force, {} routes", config.routes.len());
                let config = Rc::new(config);
                *self.current.borrow_mut() = Some(config.clone());
                Some(config)
            }
            Err(error) => {
                // It was checked before it was acknowledged: the two programs differ.
                log::warn!(target: "config", "version {version} is not taken: {error}");
                None
            }
        }
    }
}
