//! Answers of a gateway to requests of its peers.

use futures::future::BoxFuture;
use iristhread_core::InstanceId;

use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_thread::GatewayHandle;
use crate::peers::packed::Packed;
use crate::peers::peer_message::PeerReply;
use crate::peers::peer_message::PeerRequest;
use crate::peers::peer_server::PeerAnswers;

/// Answers requests of peers from the state of the gateway's control thread.
pub struct GatewayAnswers {
    control: GatewayHandle,
}

impl GatewayAnswers {
    /// Creates the answers for the gateway that `control` leads to.
    pub fn new(control: GatewayHandle) -> Self {
        GatewayAnswers { control }
    }

    async fn answer_gateway(&self, request: PeerRequest) -> Option<PeerReply> {
        let PeerRequest::Gateway {
            config_above,
            list_above,
        } = request
        else {
            // The other requests are for instances that serve the completion API.
            return None;
        };
        let ask = |reply| GatewayMessage::KnownState { list_above, reply };
        let known = self.control.ask(ask).await?;
        let config = known.config.filter(|config| config.version > config_above);
        Some(PeerReply::Gateway {
            config: config.map(|config| Box::new(Packed((*config).clone()))),
            list: (known.list.revision > list_above).then_some(Packed(known.list)),
        })
    }
}

impl PeerAnswers for GatewayAnswers {
    fn answer(&self, _: InstanceId, request: PeerRequest) -> BoxFuture<'_, Option<PeerReply>> {
        Box::pin(self.answer_gateway(request))
    }
}
