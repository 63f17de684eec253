//! One HTTP service for all connections of clients.
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request};
use actix_service::{Service, ServiceFactory, fn_service};

use crate::wire::acceptor::ServeConnection;
use crate::wire::client_stream::ClientStream;
use crate::wire::response::HttpResponse;

/// What still comes of a request that is answered already is read for so long.
const LINGER: Duration = Duration::from_secs(2);

/// Serves connections by answering each request.
///
/// # Errors
///
/// The service does not start.
pub async fn http_service<F>(answer: impl Fn(Request) -> F + 'static) -> io::Result<ServeConnection>
where
    F: Future<Output = Result<HttpResponse, Infallible>> + 'static,
{
    let answer = Rc::new(answer);
    let service = HttpService::<ClientStream, _, _, _, _>::build()
        // The connections keep the time: an answer sent to a client that has not asked could pass for the next one.
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        // A client that is answered before all of its body came goes on writing: closed at once, it would lose the answer.
        .client_disconnect_timeout(LINGER)
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &ClientStream, data| {
            data.insert(stream.state.clone());
        })
        .h1(fn_service(move |request| answer(request)));
    let handler = service.new_service(()).await;
    let handler = Rc::new(handler.map_err(|()| io::Error::other("the service does not start"))?);
    Ok(Rc::new(move |stream| Box::pin(handler.call((stream, None)))))
}
