//! Puts the actors together and lets them run to the end.
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, Addr};
use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use notchspool::units::{Micros, Policy};
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use super::kept::{Kept, News};
use super::start::{self, Told};
use super::{inherited, stop};
use crate::base::clock::{Clock, span};
use crate::base::pulse::Pulse;
use crate::memory::counters::Counters;
use crate::memory::desk::{Ask, Desk, Inherit, Tell};
use crate::memory::learnt;
use crate::memory::list::{Banned, Bearings, Fresh, List, Names, Restore};
use crate::memory::mail::Watch;
use crate::memory::pot::Pot;
use crate::memory::txn::Budgets;
use crate::wire::application::{Front, Porch, SOON};
use crate::wire::backend::{self, Ground};
use crate::wire::caller::{Caller, Calls};
use crate::wire::gate::{Accept, Gate, Serve};
use crate::wire::link::Past;
use crate::wire::listing;
use crate::wire::management::Management;
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

/// An elder that lives has left what it learnt by then.
const LEFT_WITHIN: Micros = Micros::ms(350);
/// Whoever takes over waits so long for a fresh list, then it serves by what is known: discovery may be down for long.
const FRESH_WITHIN: Micros = Micros::ms(3_000);
const LOOK: Duration = Duration::from_millis(10);

async fn begin(told: Told, counters: Rc<Counters>) -> io::Result<()> {
    let Told { name, listen, discovery, management, seed, room, known, agreed } = told;
    let bounds = room.now();
    log::info!("{name}: {bounds:?}");
    let inherited = match std::env::var("ROUTER_INHERITED_FD") {
        Ok(number) => Some(inherited::listener(&number).map_err(io::Error::other)?),
        Err(_) => None,
    };
    let kept = (management.is_some() || inherited.is_some())
        .then(|| Kept::open(std::env::var_os("TMPDIR").map(Into::into), &name));
    let clock = Clock::start();
    let begun = clock.now();
    let ground = Rc::new(Ground {
        clock,
        counters: counters.clone(),
        bounds: room.clone(),
        connect_within: span(agreed.connect_within),
        // Not near the time at which the backend closes: a posting written then may have run.
        idle: span(agreed.idle_close.times(0.8)),
    });
    let slas = agreed.terms.classes.iter().map(|row| row.latency_target);
    let shape = Rc::new(learnt::Shape {
        agents: agreed.terms.agent_count,
        live: agreed.terms.weights_follow_load,
        schemes: agreed.schemes.iter().cloned().zip(slas).collect(),
    });
    let schemes = agreed.schemes.into_iter().zip(agreed.terms.classes.iter().map(|row| row.kind)).collect();
    let longest = Rc::new(Cell::new(agreed.longest));
    let away = agreed.terms.retry_after.map(|most| most.min(SOON));
    // On sockets the list always has to be asked for, whatever the simulator does at this site.
    let terms = Policy { list_on_request: true, ..agreed.terms };
    agreed.unused.iter().for_each(|what| log::info!("settings: {what}"));
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
    let kept = match kept {
        Some((kept, bans, news)) => {
            // Who is out is so before the list is known.
            list.send(Banned(bans)).await.map_err(io::Error::other)?;
            let kept = Rc::new(kept);
            let all = (list.clone(), desk.clone(), ground.clone(), shape.clone());
            actix_rt::spawn(hear(news, kept.clone(), all));
            Some(kept)
        }
        None => None,
    };
    // The mailboxes keep the order: the known list is with the module before the first txn is.
    match listing::read(&known) {
        Ok(known) => list.send(Restore(known)).await.map_err(io::Error::other)?,
        Err(why) => log::warn!("list: the known list can't be used: {why}"),
    }
    let desk_of = desk.clone();
    let registry =
        Registry::new(discovery, ground.client(None, Past::register()), list.clone(), counters.clone())
            .start();
    desk.send(Ask(registry.clone().recipient())).await.map_err(io::Error::other)?;

    let porch = Rc::new(Porch {
        clock,
        pulse,
        counters,
        bounds: room,
        longest,
        halves: Cell::new(0),
        ending: Cell::new(None),
        away: Cell::new(None),
        serves: Cell::new(inherited.is_none()),
        handed: inherited.is_some(),
    });
    let front = Rc::new(Front {
        porch: porch.clone(),
        desk,
        schemes,
        tenants: agreed.tenants,
        away,
        next: Cell::new(0),
        pot: Pot::default(),
        traces: RefCell::default(),
    });
    let serve = serve(move |request| front.clone().answer(request)).await?;
    porch.pulse.begin(clock.now());
    let named = |e: io::Error| io::Error::new(e.kind(), format!("{listen}: {e}"));
    let listener = Accept::Tcp(match inherited {
        Some(inherited) => TcpListener::from_std(inherited)?,
        None => TcpListener::bind(listen).await.map_err(named)?,
    });
    if let (Some(at), Some(kept)) = (management, kept.clone()) {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("management {at}: {e}"));
        let door = TcpListener::bind(at).await.map_err(named)?;
        let ban = Box::new(move |id, on| kept.change(id, on));
        let lists = vec![list.clone()];
        let lists = Box::new(move || lists.clone());
        Management { porch: porch.clone(), lists, ban }.listen(door);
        log::info!("{name}: management at {at}");
    }
    if porch.handed {
        // Whoever takes over is bound by what discovery says from its yes on, and what it knows may be old: it asks at once.
        registry.do_send(Watch);
        let until = clock.now() + FRESH_WITHIN;
        while clock.now() < until && !list.send(Fresh).await.unwrap_or(true) {
            actix_rt::time::sleep(LOOK).await;
        }
        while let Some(kept) = &kept {
            let names = answer_of(|tell| list.do_send(Names(tell))).await;
            if let Some(elder) = kept.left().and_then(|text| learnt::read(&text, &names, &shape, begun)) {
                match elder.same_shape {
                    true => log::info!("taken over from the elder: a window of {:.1}", elder.window),
                    false => log::info!("taken over from an elder of another shape: windows begin afresh"),
                }
                desk_of.do_send(Inherit(elder));
                break;
            }
            if clock.now() - begun > LEFT_WITHIN {
                break;
            }
            actix_rt::time::sleep(LOOK).await;
        }
        porch.serves.set(true);
    }
    let calls = Rc::new(Calls::new(bounds.unsent));
    let gate = Gate { porch, calls, serve, asked: None, accepting: None };
    log::info!("{name}: ready at {listen}");
    stop::listen(vec![gate.listen(listener)], start::discovery, move |told| {
        registry.do_send(Turn(told?));
        Ok(())
    })
}

/// What other processes of this agent changed.
async fn hear(
    mut news: UnboundedReceiver<News>,
    kept: Rc<Kept>,
    (list, desk, ground, shape): (Addr<List>, Addr<Desk>, Rc<Ground>, Rc<learnt::Shape>),
) {
    while let Some(news) = news.recv().await {
        match news {
            News::Bans(bans) => list.do_send(Banned(bans)),
            News::Beside { beside, elder } => {
                log::info!("another process of this agent lives: {beside}");
                ground.bounds.share(beside);
                if beside && elder {
                    let names = answer_of(|tell| list.do_send(Names(tell))).await;
                    let names = names.into_iter().map(|(name, id)| (id, name)).collect();
                    let learnt = answer_of(|tell| desk.do_send(Tell(tell))).await;
                    kept.leave(learnt::written(&learnt, &names, &shape, ground.clock.now()));
                }
            }
        }
    }
}

/// What an actor tells when it is asked.
async fn answer_of<T: Default>(ask: impl FnOnce(oneshot::Sender<T>)) -> T {
    let (tell, told) = oneshot::channel();
    ask(tell);
    told.await.unwrap_or_default()
}

/// What still comes of a request that is answered already is read for so long.
const GOES_ON: Duration = Duration::from_secs(2);

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
        // Who is answered before all of its body came goes on writing: closed at once, it would lose the answer.
        .client_disconnect_timeout(GOES_ON)
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
