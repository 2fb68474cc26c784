//! The JSON-RPC methods that a process offers to one kind of client.

use std::rc::Rc;

use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use send_wrapper::SendWrapper;

use wire::Call;
use wire::Fault;

/// Notifications that may be buffered for one call. None is ever sent.
const NOTIFICATION_BUFFER: usize = 1;

/// JSON-RPC methods by name, and the context that their handlers work on.
#[derive(Debug)]
pub struct RpcMethods<Context: 'static> {
    module: RpcModule<SendWrapper<Rc<Context>>>,
}

impl<Context: 'static> RpcMethods<Context> {
    /// Creates an empty set of methods.
    pub fn new(cx: Rc<Context>) -> Self {
        Self {
            module: RpcModule::new(SendWrapper::new(cx)),
        }
    }

    /// Adds the handler of the method that the call type `C` names.
    pub fn register<C, Handler, Answer>(mut self, handler: Handler) -> Self
    where
        C: Call,
        Handler: Fn(Rc<Context>, C) -> Answer + Clone + 'static,
        Answer: Future<Output = Result<C::Reply, Fault>> + 'static,
    {
        let handler = SendWrapper::new(handler);
        let added = self
            .module
            .register_async_method(C::METHOD, move |params, cx, _| {
                let call = params.one::<C>();
                let cx = Rc::clone(&**cx);
                let handler = (*handler).clone();
                SendWrapper::new(async move {
                    let reply = handler(cx, call?).await.map_err(ErrorObjectOwned::from)?;
                    let reply = serde_json::value::to_raw_value(&reply).map_err(Fault::unknown);
                    reply.map_err(ErrorObjectOwned::from)
                })
            });
        debug_assert!(added.is_ok(), "{} is registered twice", C::METHOD);
        self
    }

    /// Handles an encoded call and returns the encoded reply, which is empty if the call is not
    /// valid JSON-RPC.
    pub async fn handle_request(&self, bytes: &[u8]) -> Vec<u8> {
        let Ok(text) = std::str::from_utf8(bytes) else {
            return Vec::new();
        };
        match self
            .module
            .raw_json_request(text, NOTIFICATION_BUFFER)
            .await
        {
            Ok((reply, _)) => reply.get().as_bytes().to_vec(),
            Err(_) => Vec::new(),
        }
    }
}
