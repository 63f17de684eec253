//! Puts the actors together and lets them run to the end.
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix::Actor;
use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use notchspool::units::Terms;
use tokio::net::TcpListener;

use super::start::{self, Told};
use super::stop;
use crate::base::clock::{Clock, span};
use crate::base::pulse::Pulse;
use crate::memory::counters::Counters;
use crate::memory::desk::{Ask, Desk};
use crate::memory::list::{Bearings, List, Restore};
use crate::memory::txn::Budgets;
use crate::wire::application::{Front, Porch, SOON};
use crate::wire::backend::{self, Ground};
use crate::wire::caller::{Caller, Calls};
use crate::wire::gate::{Accept, Gate, Serve};
use crate::wire::link::Past;
use crate::wire::listing;
use crate::wire::registry::{Registry, Turn};

pub fn run(told: Told) -> io::Result<()> {
    let counters = Rc::new(Counters::default());
    let system = actix::System::new();
    system.block_on(begin(told, counters.clone()))?;
    let ran = system.run();
    for line in counters.print().lines() {
        log::info!("counter {line}");
    }
    ran
}

async fn begin(told: Told, counters: Rc<Counters>) -> io::Result<()> {
    let Told { name, listen, discovery, seed, bounds, known, agreed } = told;
    log::info!("{name}: {bounds:?}");
    let clock = Clock::start();
    let ground = Rc::new(Ground {
        clock,
        counters: counters.clone(),
        bounds,
        connect_within: span(agreed.connect_within),
        // Not near the time at which the backend closes: a posting written then may have run.
        idle: span(agreed.idle_close.times(0.8)),
    });
    let schemes = agreed.schemes.into_iter().zip(agreed.terms.schemes.iter().map(|row| row.kind)).collect();
    let longest = Rc::new(Cell::new(agreed.longest));
    let away = agreed.terms.retry_after.map(|most| most.min(SOON));
    // On sockets the list always has to be asked for, whatever the simulator does at this site.
    let terms = Terms { list_on_request: true, ..agreed.terms };
    let pulse = Rc::new(Pulse::new(clock.now()));
    let desk = Desk::open(terms, seed, clock, pulse.clone(), counters.clone(), Budgets::default()).start();
    let list = List::open(
        desk.clone(),
        clock,
        counters.clone(),
        agreed.zones,
        Bearings { own: vec![listen], longest: longest.clone(), most: bounds.backends },
        backend::maker(desk.clone(), ground.clone()),
    );
    let list = list.start();
    // The mailboxes keep the order: the known list is with the module before the first txn is.
    match listing::read(&known) {
        Ok(known) => list.send(Restore(known)).await.map_err(io::Error::other)?,
        Err(why) => log::warn!("list: the known list can't be used: {why}"),
    }
    let registry =
        Registry::new(discovery, ground.client(usize::MAX, Past::register()), list, counters.clone()).start();
    desk.send(Ask(registry.clone().recipient())).await.map_err(io::Error::other)?;

    let porch = Rc::new(Porch {
        clock,
        pulse,
        counters,
        bounds,
        longest,
        halves: Cell::new(0),
        leaving: Cell::new(false),
    });
    let front = Rc::new(Front {
        porch: porch.clone(),
        desk,
        schemes,
        away,
        next: Cell::new(0),
        traces: RefCell::default(),
    });
    let serve = serve(move |request| front.clone().answer(request)).await?;
    porch.pulse.begin(clock.now());
    let named = |e: io::Error| io::Error::new(e.kind(), format!("{listen}: {e}"));
    let listener = Accept::Tcp(TcpListener::bind(listen).await.map_err(named)?);
    let gate = Gate { porch, calls: Rc::new(Calls::new(bounds.unsent)), serve, asked: None };
    log::info!("{name}: ready at {listen}");
    stop::listen(vec![gate.listen(listener)], start::discovery, move |told| {
        registry.do_send(Turn(told?));
        Ok(())
    })
}

/// One HTTP service for all connections of the application.
pub async fn serve<F>(answer: impl Fn(Request) -> F + 'static) -> io::Result<Serve>
where
    F: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let answer = Rc::new(answer);
    let service = HttpService::<Caller, _, _, _, _>::build()
        // The calls keep the time: an answer sent to who has not asked could pass for the next one.
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .h1_allow_half_closed(false)
        .on_connect_ext(|caller: &Caller, data| {
            data.insert(caller.call.clone());
        })
        .h1(fn_service(move |request| answer(request)));
    let handler =
        service.new_service(()).await.map_err(|()| io::Error::other("the service does not start"))?;
    let handler = Rc::new(handler);
    Ok(Rc::new(move |caller| Box::pin(handler.call((caller, None)))))
}
