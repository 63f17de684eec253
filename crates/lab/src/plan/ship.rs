//! The experiments that ship.
macro_rules! ship {
    ($($name:literal),* $(,)?) => {
        /// Name and text of each.
        pub const SHIPPED: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../../experiments/", $name, ".toml")))),*];
    };
}

ship!(
    "quickstart",
    "mass-crash",
    "all-slow",
    "register-out",
    "mass-removal",
    "half-hang",
    "zone-cut",
    "agents-killed",
    "idle-forgotten",
    "broken-answers",
    "opening",
    "pool-ill",
    "mixed-protocols",
);

pub fn shipped(name: &str) -> Option<&'static str> {
    SHIPPED.iter().find(|s| s.0 == name).map(|s| s.1)
}
