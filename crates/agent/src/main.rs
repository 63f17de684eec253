//! notchspool-agent: the decisions of `notchspool` on real sockets, beside one calling process.
mod life;
mod memory;
mod wire;

fn main() {
    life::logger::start();
    let told = match life::start::told() {
        Ok(told) => told,
        Err(why) => {
            log::error!("cannot start: {why}");
            std::process::exit(2);
        }
    };
    if let Err(why) = life::run::run(told) {
        log::error!("cannot run: {why}");
        std::process::exit(1);
    }
}
