//! A plain reverse proxy without a journal or a decision: what the dispatcher's throughput is compared with.

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

type Link = SendRequest<Full<Bytes>>;
type Kept = Rc<RefCell<Vec<Link>>>;
type Failure = Box<dyn std::error::Error>;

async fn connect(to: SocketAddr) -> Result<Link, Failure> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (link, connection) = handshake(TokioIo::new(stream)).await?;
    spawn_local(async {
        // Its end shows at the sender.
        let _ = connection.await;
    });
    Ok(link)
}

async fn forward(
    kept: &Kept, to: SocketAddr, request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Failure> {
    let (mut head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    head.uri = "/receive".parse()?;
    let link = std::iter::from_fn(|| kept.borrow_mut().pop()).find(|link| !link.is_closed());
    let mut link = match link {
        Some(link) => link,
        None => connect(to).await?,
    };
    link.ready().await?;
    let answer = link.send_request(Request::from_parts(head, Full::new(body))).await?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    kept.borrow_mut().push(link);
    Ok(Response::from_parts(head, Full::new(body)))
}

/// Listens and forwards each request to the other address, until the process ends.
///
/// # Errors
/// Those of listening.
pub async fn serve(listen: SocketAddr, to: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("proxy listens at {}", listener.local_addr()?);
    let kept = Kept::default();
    LocalSet::new()
        .run_until(async move {
            loop {
                let (stream, _) = listener.accept().await?;
                stream.set_nodelay(true)?;
                let kept = kept.clone();
                let service = service_fn(move |request: Request<Incoming>| {
                    let kept = kept.clone();
                    async move {
                        let ready = request.uri().path() == "/health/ready";
                        let answer = match ready {
                            true => Ok(Response::new(Full::default())),
                            false => forward(&kept, to, request).await,
                        };
                        let answer = answer.unwrap_or_else(|_| {
                            let mut answer = Response::new(Full::default());
                            *answer.status_mut() = StatusCode::BAD_GATEWAY;
                            answer
                        });
                        Ok::<_, Infallible>(answer)
                    }
                });
                spawn_local(async move {
                    // A client that breaks off is its own affair.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        })
        .await
}
