#include "Session.h"

namespace fulmarway::session {

void
Session::BreakBackend(NodeIndex aNode)
{
  RecordLine("backend connections of n" + std::to_string(aNode) + " break");
  for (const auto& [id, request] : std::exchange(nodes_[aNode].executing_, {})) {
    Schedule(Duration(0), aNode, BackendFailed{ id, true });
  }
}

void
Session::SetServiceTime(NodeIndex aNode, Duration aTime)
{
  nodes_[aNode].serviceTime_ = aTime;
}

int
Session::Executions(const std::string& aRootRequestId, const std::string& aKind) const
{
  const auto found = executions_.find({ aRootRequestId, aKind });
  return found == executions_.end() ? 0 : found->second;
}

void
Session::Perform(NodeIndex aNode, const CallBackend& aEffect)
{
  FakeNode& node = nodes_[aNode];
  const Request& request = aEffect.request_.request_;
  RecordLine("n" + std::to_string(aNode) + " backend server starts " + request.kind_ + " click " +
             request.rootRequestId_);
  ++executions_[{ request.rootRequestId_, request.kind_ }];
  node.lastStart_ = now_;
  node.executing_.emplace(aEffect.request_.id_, aEffect.request_);
  Schedule(node.serviceTime_,
           aNode,
           BackendAnswered{
             aEffect.request_.id_, Answer{ 200, "text/plain", request.rootRequestId_ }, false });
}

void
Session::Perform(NodeIndex aNode, const CancelBackend& aEffect)
{
  RecordLine("n" + std::to_string(aNode) + " cancels a request on its backend server");
  nodes_[aNode].executing_.erase(aEffect.request_);
}

} // namespace fulmarway::session
