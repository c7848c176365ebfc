#include "Session.h"

namespace fulmarway::session {

namespace {

const ClusterKey kKey{ "key of the session tests" };

} // namespace

NodeSettings
Session::MakeSettings(NodeIndex aNode)
{
  const FakeNode& node = nodes_[aNode];
  NodeSettings settings;
  settings.identity_.peerAddress_ = AddressOf(aNode);
  settings.identity_.id_ = NodeIdOf(settings.identity_.peerAddress_);
  settings.identity_.generation_ = 1000 + node.incarnationNumber_;
  settings.identity_.incarnation_ = random_.Next128();
  settings.identity_.service_ = node.options_.service_;
  settings.identity_.domain_ = node.options_.domain_;
  settings.identity_.region_ = node.options_.region_;
  settings.clusterKey_ = kKey;
  if (aNode != 0) {
    settings.seeds_ = { AddressOf(0) };
  }
  return settings;
}

void
Session::Start(NodeIndex aNode)
{
  FakeNode& node = nodes_[aNode];
  ++node.incarnationNumber_;
  node.alive_ = true;
  node.exited_ = false;
  node.paused_ = false;
  node.state_ = MakeNodeState(MakeSettings(aNode), now_);
  Schedule(std::chrono::milliseconds(1), aNode, BackendHealthChanged{ true });
}

NodeIndex
Session::AddNode(const NodeOptions& aOptions)
{
  nodes_.push_back({});
  nodes_.back().options_ = aOptions;
  Start(nodes_.size() - 1);
  return nodes_.size() - 1;
}

void
Session::Pause(NodeIndex aNode, bool aIsPaused)
{
  RecordLine("n" + std::to_string(aNode) + (aIsPaused ? " is paused" : " resumes"));
  nodes_[aNode].paused_ = aIsPaused;
  if (!aIsPaused) {
    for (EventBody& held : std::exchange(nodes_[aNode].heldEvents_, {})) {
      Deliver(aNode, std::move(held));
    }
  }
}

void
Session::Kill(NodeIndex aNode)
{
  RecordLine("n" + std::to_string(aNode) + " is lost");
  FakeNode& node = nodes_[aNode];
  node.alive_ = false;
  ++node.incarnationNumber_;
  node.executing_.clear();
  node.heldEvents_.clear();
  std::vector<LinkId> lost;
  for (const auto& [id, link] : links_) {
    if (link.to_ == aNode || link.from_ == aNode) {
      lost.push_back(id);
    }
  }
  for (const LinkId id : lost) {
    LoseLink(id, true);
  }
}

void
Session::Restart(NodeIndex aNode)
{
  RecordLine("n" + std::to_string(aNode) + " starts again");
  Start(aNode);
}

void
Session::Stop(NodeIndex aNode)
{
  RecordLine("n" + std::to_string(aNode) + " is told to stop");
  Schedule(Duration(0), aNode, StopRequested{});
}

void
Session::Perform(NodeIndex, const StopAccepting&)
{
}

void
Session::Perform(NodeIndex aNode, const ExitProcess&)
{
  if (!nodes_[aNode].exited_) {
    RecordLine("n" + std::to_string(aNode) + " exits");
    nodes_[aNode].exited_ = true;
    nodes_[aNode].alive_ = false;
    ++nodes_[aNode].incarnationNumber_;
  }
}

} // namespace fulmarway::session
