//! `notchspool-control-plane`: a replica of the control plane on a `core` machine. See docs/mesh.md.
use std::process::ExitCode;

use notchspool_runtime::program::Program;

fn main() -> ExitCode {
    let program = Program {
        name: "notchspool-control-plane",
        description: "A replica of the control plane of the notchspool mesh",
    };
    program.run(|node, file| node.listener(file, "controlPlane"), notchspool_control_plane::server::run)
}
