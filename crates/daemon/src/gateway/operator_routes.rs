//! Routes for operators: readiness and metrics.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;
use viz::IntoResponse;
use viz::Response;
use viz::Router;
use viz::StatusCode;

use crate::gateway::GatewayApp;
use crate::process::http_server;
use crate::process::http_server::ConnectionLimits;

/// Serves operators and metrics collectors until the process ends.
pub fn serve(listener: TcpListener, app: &Arc<GatewayApp>, limits: ConnectionLimits) {
    let routes = operator_routes(app);
    let (stop, never_stopped) = watch::channel(false);
    tokio::spawn(async move {
        http_server::serve(listener, routes, limits, never_stopped).await;
        drop(stop);
    });
}

fn operator_routes(app: &Arc<GatewayApp>) -> Router {
    let (ready_app, metrics_app) = (app.clone(), app.clone());
    let ready = move |_| {
        let is_ready = ready_app.is_ready();
        async move { viz::Result::<Response>::Ok(readiness(is_ready)) }
    };
    let metrics = move |_| {
        let text = metrics_app.metrics.text();
        async move { viz::Result::<Response>::Ok(text.into_response()) }
    };
    Router::new().get("/ready", ready).get("/metrics", metrics)
}

fn readiness(is_ready: bool) -> Response {
    let status = match is_ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    status.into_response()
}
