/** \file
 * Heartbeats of the local backend server, and replies of the store.
 */
#include "node/Node.h"

#include <spdlog/spdlog.h>

namespace fulmarway {

void
Node::HandleHeartbeatEvents(HttpServerEvents aEvents)
{
  for (const ArrivedRequest& arrived : aEvents.requests_) {
    const auto notice = interface_.heartbeats_->parseNotice_(arrived.message_);
    if (!notice) {
      ++counters_.invalidHeartbeats_;
      spdlog::warn("event=backend_report_unreadable subject=\"{}\" error=\"{}\"",
                   notice.error().subject_,
                   notice.error().message_);
      ReplyToHeartbeat(arrived.exchange_, Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
      continue;
    }
    if (const auto* heartbeat = std::get_if<BackendHeartbeat>(&*notice)) {
      queue_.push_back(BackendHeartbeatReceived{ *heartbeat, arrived.exchange_ });
    } else {
      queue_.push_back(BackendLeft{ std::get<BackendLeave>(*notice), arrived.exchange_ });
    }
  }
}

void
Node::ReplyToHeartbeat(ExchangeId aExchange, std::uint16_t aStatus)
{
  HttpResponseHead head(aStatus);
  head.setContentType("application/json");
  HandleHeartbeatEvents(heartbeats_->Reply(aExchange, head, "{}", now_));
}

void
Node::CollectStoreResults()
{
  if (!store_) {
    return;
  }
  for (HttpResult& result : store_->ExtractResults()) {
    const auto task = static_cast<StoreTask>(result.token_);
    RecordInvalidAnswer(result, "store", std::string(ToString(task)));
    const StoreRequest request = storeCallsInFlight_.at(task);
    storeCallsInFlight_.erase(task);
    StoreReply reply =
      StoreFailed{ result.outcome_ == ExchangeOutcome::kNotSent ? "not sent" : "no answer" };
    std::optional<std::uint64_t> era;
    if (result.response_) {
      counters_.controlBytesReceived_ += result.response_->body_.size();
      reply =
        interface_.store_->parseReply_(settings_.node_.clusterKey_, request, *result.response_);
      const auto parsedEra = interface_.store_->parseEra_(*result.response_);
      if (parsedEra) {
        era = *parsedEra;
      } else {
        spdlog::warn("event=store_era_unreadable subject=\"{}\" error=\"{}\"",
                     parsedEra.error().subject_,
                     parsedEra.error().message_);
      }
    }
    queue_.push_back(StoreCallFinished{ task, std::move(reply), era });
  }
}

} // namespace fulmarway
