#include "Session.h"

namespace fulmarway::session {

namespace {

constexpr Duration kLogDelay = std::chrono::milliseconds(2);
constexpr Duration kLogTimeout = std::chrono::seconds(2);

} // namespace

void
Session::Perform(NodeIndex aNode, const ReadLog& aEffect)
{
  if (logDown_ || cutDomains_.contains(nodes_[aNode].options_.domain_)) {
    Schedule(kLogTimeout, aNode, LogReadFailed{});
    return;
  }
  LogRecordsRead read{ 0, log_.size(), 0, {} };
  for (std::uint64_t offset = aEffect.from_; offset < log_.size(); ++offset) {
    read.records_.push_back({ offset, log_[offset] });
    read.next_ = offset + 1;
  }
  Schedule(kLogDelay, aNode, std::move(read));
}

void
Session::Perform(NodeIndex aNode, const AppendLog& aEffect)
{
  if (logDown_ || cutDomains_.contains(nodes_[aNode].options_.domain_)) {
    Schedule(kLogTimeout, aNode, AppendFinished{ aEffect.token_, AppendResult::kRefused });
    return;
  }
  log_.push_back(aEffect.record_);
  const bool isCommand = std::holds_alternative<CommandRecord>(aEffect.record_);
  const bool isLost = isCommand && lostAppendAnswers_ > 0;
  lostAppendAnswers_ -= isLost ? 1 : 0;
  Schedule(
    kLogDelay,
    aNode,
    AppendFinished{ aEffect.token_, isLost ? AppendResult::kUnknown : AppendResult::kAppended });
}

} // namespace fulmarway::session
