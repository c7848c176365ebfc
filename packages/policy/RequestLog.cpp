#include "policy/RequestLog.h"

#include "policy/RouteCandidates.h"

#include <utility>
#include <vector>

namespace fulmarway {

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

constexpr std::uint16_t kFirstServerErrorStatus = 500;

std::string
FormatMilliseconds(Duration aDuration)
{
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

void
AddRefusal(Fields& aFields, const Refusal& aRefusal)
{
  aFields.emplace_back("verdict", ToString(aRefusal.verdict_));
  aFields.emplace_back("reason", ToString(aRefusal.reason_));
  if (aRefusal.retryAfter_) {
    aFields.emplace_back("retry_after_ms", FormatMilliseconds(*aRefusal.retryAfter_));
  }
}

Fields
FieldsOf(const OutboundCall& aCall, Instant aNow)
{
  Fields fields{ { "request", aCall.origin_.rootRequestId_.value_or("") },
                 { "click", aCall.request_.rootRequestId_ },
                 { "service", aCall.request_.service_ },
                 { "kind", aCall.request_.kind_ },
                 { "importance", std::string(ToString(aCall.request_.importance_)) },
                 { "attempts", std::to_string(aCall.triedNodes_.size()) },
                 { "elapsed_ms", FormatMilliseconds(aNow - aCall.startedAt_) },
                 { "left_ms", FormatMilliseconds(aCall.deadline_ - aNow) } };
  const auto& routed = aCall.request_.routed_;
  if (routed && !routed->account_.empty()) {
    fields.emplace_back("account", routed->account_);
  }
  return fields;
}

Fields
FieldsOf(const NodeState& aState, const Request& aRequest)
{
  return { { "request", aRequest.routed_->requestId_ },
           { "click", aRequest.rootRequestId_ },
           { "kind", aRequest.kind_ },
           { "importance", std::string(ToString(aRequest.importance_)) },
           { "running", std::to_string(RunningCount(aState.admission_)) },
           { "limit", std::to_string(LimitOf(aState.admission_)) },
           { "queued", std::to_string(QueuedCount(aState.admission_)) },
           { "level", std::to_string(LevelOf(aState.admission_).admitBelow_) } };
}

void
Log(ReduceContext& aContext, std::string aEvent, Fields aFields)
{
  aContext.effects_.push_back(LogLine{ std::move(aEvent), std::move(aFields) });
}

} // namespace

bool
IsInLogSample(std::string_view aRequestId)
{
  return StableHash(aRequestId) % kRequestsPerLogSample == 0;
}

void
LogRequestRefused(ReduceContext& aContext, const CallerRequest& aRequest, const Refusal& aRefusal)
{
  if (!aRequest.routed_) {
    return;
  }
  Fields fields{ { "request", aRequest.rootRequestId_.value_or("") },
                 { "host", aRequest.routed_->host_ } };
  AddRefusal(fields, aRefusal);
  Log(aContext, "request_refused", std::move(fields));
}

void
LogAttemptSent(ReduceContext& aContext,
               const NodeState& aState,
               const OutboundCall& aCall,
               AttemptId aAttempt)
{
  const bool isFurtherAttempt = aCall.triedNodes_.size() > 1;
  if (!aCall.request_.routed_ ||
      !(isFurtherAttempt || IsInLogSample(aCall.origin_.rootRequestId_.value_or("")))) {
    return;
  }
  Fields fields = FieldsOf(aCall, aContext.now_);
  fields.emplace_back("attempt", std::to_string(aAttempt.value_));
  const Attempt& attempt = aCall.attempts_.at(aAttempt);
  fields.emplace_back("target", PeerAddressOf(aState, attempt.target_));
  fields.emplace_back("hedge", attempt.hedge_ ? "1" : "0");
  Log(aContext, "attempt_sent", std::move(fields));
}

void
LogAttemptEnded(ReduceContext& aContext,
                const NodeState& aState,
                const OutboundCall& aCall,
                const Attempt& aAttempt,
                const Refusal& aRefusal,
                const LoadReport* aLoad)
{
  if (!aCall.request_.routed_) {
    return;
  }
  Fields fields = FieldsOf(aCall, aContext.now_);
  fields.emplace_back("target", PeerAddressOf(aState, aAttempt.target_));
  fields.emplace_back("attempt_ms", FormatMilliseconds(aContext.now_ - aAttempt.startedAt_));
  AddRefusal(fields, aRefusal);
  if (aLoad != nullptr) {
    fields.emplace_back("target_running", std::to_string(aLoad->running_));
    fields.emplace_back("target_queued", std::to_string(aLoad->queued_));
    fields.emplace_back("target_level", std::to_string(aLoad->level_.admitBelow_));
  }
  Log(aContext, "attempt_ended", std::move(fields));
}

void
LogCallFailed(ReduceContext& aContext, const OutboundCall& aCall, const Refusal& aRefusal)
{
  if (!aCall.request_.routed_) {
    return;
  }
  Fields fields = FieldsOf(aCall, aContext.now_);
  AddRefusal(fields, aRefusal);
  Log(aContext, "call_failed", std::move(fields));
}

void
LogCallAnswered(ReduceContext& aContext, const OutboundCall& aCall, const Answer& aAnswer)
{
  const bool isFailure = aAnswer.status_ >= kFirstServerErrorStatus;
  if (!aCall.request_.routed_ ||
      !(isFailure || IsInLogSample(aCall.origin_.rootRequestId_.value_or("")))) {
    return;
  }
  Fields fields = FieldsOf(aCall, aContext.now_);
  fields.emplace_back("status", std::to_string(aAnswer.status_));
  Log(aContext, "call_answered", std::move(fields));
}

void
LogInboundFailed(ReduceContext& aContext,
                 const NodeState& aState,
                 const Request& aRequest,
                 const Refusal& aRefusal)
{
  if (!aRequest.routed_) {
    return;
  }
  Fields fields = FieldsOf(aState, aRequest);
  AddRefusal(fields, aRefusal);
  Log(aContext, "inbound_failed", std::move(fields));
}

void
LogInboundStarted(ReduceContext& aContext, const NodeState& aState, const InboundRequest& aRequest)
{
  if (!aRequest.request_.routed_ || !IsInLogSample(aRequest.request_.routed_->requestId_)) {
    return;
  }
  Fields fields = FieldsOf(aState, aRequest.request_);
  fields.emplace_back("left_ms", FormatMilliseconds(aRequest.deadline_ - aContext.now_));
  Log(aContext, "inbound_started", std::move(fields));
}

} // namespace fulmarway
