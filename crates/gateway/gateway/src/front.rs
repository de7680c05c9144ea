//! A request from its arrival to its answer.

use crate::board::Shared;
use crate::keyed;
use crate::requests::{Carried, carry, refuse, take};
use crate::response_body::ResponseBody;
use hyper::body::Incoming;
use hyper::{Request, Response};
use rushcourse_config::RouteKind;

pub async fn handle(board: &Shared, request: Request<Incoming>) -> Response<ResponseBody> {
    match take(board, request).await {
        Ok(call) if call.kind == RouteKind::Idempotent => keyed::take(board, call).await,
        Ok(call) => match carry(board, &call).await {
            Carried::Answered(response) => response,
            Carried::Local(what) => refuse(board, what),
        },
        Err(what) => refuse(board, what),
    }
}
