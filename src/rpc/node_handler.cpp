#include "siskindeal/error.h"
#include "siskindeal/rpc.h"

namespace siskindeal {

void
NodeHandler::OnExchange(const wire::ExchangeRequest&,
                        Done<wire::ExchangeReply> aDone)
{
  aDone({});
}

void
NodeHandler::OnRun(const wire::RunRequest&, std::shared_ptr<RunSink> aSink)
{
  wire::RunEvent event;
  event.mutable_failed()->set_reason(std::string(ToString(Reason::NotFound)));
  event.mutable_failed()->set_what("this process does not run requests");
  aSink->Send(event);
  aSink->Finish();
}

void
NodeHandler::OnCancel(const wire::CancelRequest&, Done<wire::CancelReply> aDone)
{
  aDone({});
}

void
NodeHandler::OnOrder(const wire::OrderRequest&, Done<wire::OrderReply> aDone)
{
  wire::OrderReply reply;
  reply.set_reason(std::string(ToString(Reason::BadRequest)));
  reply.set_what("this process does not accept orders");
  aDone(reply);
}

void
NodeHandler::OnChunk(const wire::ChunkRequest&, Done<wire::ChunkReply> aDone)
{
  wire::ChunkReply reply;
  reply.set_missing(true);
  aDone(reply);
}

void
NodeHandler::OnHave(const wire::HaveRequest&, Done<wire::HaveReply> aDone)
{
  aDone({});
}

} // namespace siskindeal
