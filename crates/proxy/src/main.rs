//! `notchspool-proxy`: the data plane on a `sidecar` machine. See docs/mesh.md.
use std::path::Path;
use std::process::ExitCode;

use notchspool_data_plane::run::{self, Listeners};
use notchspool_runtime::node_settings::{NodeSettings, SettingsError};
use notchspool_runtime::program::Program;

/// The listeners that the role must have; its backend and service must be named too.
fn listeners(node: &NodeSettings, file: &Path) -> Result<Listeners, SettingsError> {
    let listeners = Listeners {
        outbound: node.listener(file, "outbound")?,
        readiness: node.listener(file, "readiness")?,
        control_plane: node.listener(file, "controlPlane")?,
    };
    if node.app_address.is_none() {
        return Err(SettingsError::missing_for_role(file, "appAddress"));
    }
    if node.service.is_empty() {
        return Err(SettingsError::missing_for_role(file, "service"));
    }
    Ok(listeners)
}

fn main() -> ExitCode {
    let program = Program {
        name: "notchspool-proxy",
        description: "The data plane of the notchspool mesh, beside a backend",
    };
    program.run(listeners, run::run)
}
