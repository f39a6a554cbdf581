//! A plain reverse proxy without a journal or delivery decisions: the baseline for the dispatcher's throughput.

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

type Connection = SendRequest<Full<Bytes>>;
type IdleConnections = Rc<RefCell<Vec<Connection>>>;
type ProxyError = Box<dyn std::error::Error>;

async fn connect(target: SocketAddr) -> Result<Connection, ProxyError> {
    let stream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    let (sender, driver) = handshake(TokioIo::new(stream)).await?;
    spawn_local(async {
        // An error closes the connection, which the sender reports.
        let _ = driver.await;
    });
    Ok(sender)
}

/// Forwards a request over an idle connection or a new one.
async fn forward(
    idle: &IdleConnections, target: SocketAddr, request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ProxyError> {
    let (mut head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    head.uri = "/receive".parse()?;
    let connection =
        std::iter::from_fn(|| idle.borrow_mut().pop()).find(|connection| !connection.is_closed());
    let mut connection = match connection {
        Some(connection) => connection,
        None => connect(target).await?,
    };
    connection.ready().await?;
    let response = connection.send_request(Request::from_parts(head, Full::new(body))).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    idle.borrow_mut().push(connection);
    Ok(Response::from_parts(head, Full::new(body)))
}

/// Listens on `listen` and forwards each request to `target` until the process ends. Responds with 502 if that fails.
///
/// # Errors
/// Returns an error if listening or accepting a connection fails.
pub async fn serve(listen: SocketAddr, target: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("proxy is listening on {}", listener.local_addr()?);
    let idle = IdleConnections::default();
    LocalSet::new()
        .run_until(async move {
            loop {
                let (stream, _) = listener.accept().await?;
                stream.set_nodelay(true)?;
                let idle = idle.clone();
                let service = service_fn(move |request: Request<Incoming>| {
                    let idle = idle.clone();
                    async move {
                        let is_readiness_check = request.uri().path() == "/health/ready";
                        let response = match is_readiness_check {
                            true => Ok(Response::new(Full::default())),
                            false => forward(&idle, target, request).await,
                        };
                        let response = response.unwrap_or_else(|_| {
                            let mut response = Response::new(Full::default());
                            *response.status_mut() = StatusCode::BAD_GATEWAY;
                            response
                        });
                        Ok::<_, Infallible>(response)
                    }
                });
                spawn_local(async move {
                    // Fails if the client aborts its connection, which affects no other request.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        })
        .await
}
