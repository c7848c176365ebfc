#include "Session.h"

#include "policy/LinkHealth.h"

#include <algorithm>

namespace fulmarway::session {

namespace {

/** A connection is lost when a ping, sent after 250 ms of silence, gets no response for 500 ms. */
constexpr Duration kSilenceTimeout = kLinkSilenceBeforePing + kLinkPingTimeout;

} // namespace

std::string
Session::AddressOf(NodeIndex aNode)
{
  return "10.0.0." + std::to_string(aNode + 1) + ":7000";
}

std::optional<NodeIndex>
Session::FindByAddress(const std::string& aAddress) const
{
  for (NodeIndex node = 0; node < nodes_.size(); ++node) {
    if (AddressOf(node) == aAddress) {
      return node;
    }
  }
  return std::nullopt;
}

void
Session::Cut(const std::string& aDomain, bool aIsCut)
{
  RecordLine("domain " + aDomain + (aIsCut ? " is cut off" : " is connected again"));
  if (aIsCut) {
    cutDomains_.insert(aDomain);
  } else {
    cutDomains_.erase(aDomain);
  }
}

void
Session::SilenceConnectionsTo(NodeIndex aNode)
{
  RecordLine("connections to n" + std::to_string(aNode) + " go silent");
  for (auto& [id, link] : links_) {
    link.silent_ = link.silent_ || link.to_ == aNode;
  }
}

bool
Session::CanReach(NodeIndex aFrom, NodeIndex aTo) const
{
  const std::string& from = nodes_[aFrom].options_.domain_;
  const std::string& to = nodes_[aTo].options_.domain_;
  return from == to || (!cutDomains_.contains(from) && !cutDomains_.contains(to));
}

void
Session::LoseLink(LinkId aId, bool aWritten)
{
  const Link link = links_.at(aId);
  links_.erase(aId);
  PeerLost lost{ NodeIdOf(AddressOf(link.to_)), {}, {} };
  (aWritten ? lost.written_ : lost.unwritten_)
    .assign(link.openAttempts_.begin(), link.openAttempts_.end());
  if (!link.openAttempts_.empty()) {
    Schedule(Duration(0), link.from_, lost);
  }
  Schedule(kNetworkDelay, link.to_, LinkClosed{ aId });
}

/** Closes connections that have been blocked for longer than the silence timeout. */
void
Session::CheckLinks()
{
  std::vector<LinkId> stalled;
  for (auto& [id, link] : links_) {
    const bool isBlocked = link.silent_ || !CanReach(link.from_, link.to_) ||
                           nodes_[link.to_].paused_ || !nodes_[link.to_].alive_;
    if (!isBlocked || link.openAttempts_.empty()) {
      link.blockedSince_.reset();
      continue;
    }
    link.blockedSince_ = link.blockedSince_.value_or(now_);
    if (now_ >= *link.blockedSince_ + kSilenceTimeout) {
      stalled.push_back(id);
    }
  }
  for (const LinkId id : stalled) {
    LoseLink(id, true);
  }
}

void
Session::Perform(NodeIndex aNode, const SendToPeer& aEffect)
{
  const auto to = FindByAddress(aEffect.address_);
  const auto* call = std::get_if<CallRequest>(&aEffect.message_);
  const auto found = std::find_if(links_.begin(), links_.end(), [&](const auto& aEntry) {
    return to && aEntry.second.from_ == aNode && aEntry.second.to_ == *to;
  });
  LinkId id = found == links_.end() ? LinkId{ nextLink_ } : found->first;
  if (found == links_.end()) {
    if (!to || !nodes_[*to].alive_ || !CanReach(aNode, *to)) {
      if (call != nullptr) {
        Schedule(kNetworkDelay, aNode, PeerLost{ aEffect.peer_, { call->attempt_ }, {} });
      }
      return;
    }
    ++nextLink_;
    links_.emplace(id, Link{ aNode, *to, false, {}, {} });
  }
  Link& link = links_.at(id);
  if (call != nullptr) {
    link.openAttempts_.insert(call->attempt_);
  } else if (const auto* cancelled = std::get_if<CallCancelled>(&aEffect.message_)) {
    link.openAttempts_.erase(cancelled->attempt_);
  }
  if (!link.silent_ && CanReach(aNode, *to)) {
    Schedule(
      kNetworkDelay,
      *to,
      LinkMessageArrived{ id, nodes_[aNode].state_.settings_.identity_.id_, aEffect.message_ });
  }
}

void
Session::Perform(NodeIndex aNode, const SendToLink& aEffect)
{
  const auto found = links_.find(aEffect.link_);
  if (found == links_.end() || found->second.silent_ || !CanReach(aNode, found->second.from_)) {
    return;
  }
  if (const auto* answer = std::get_if<CallAnswer>(&aEffect.message_)) {
    found->second.openAttempts_.erase(answer->attempt_);
  } else if (const auto* refused = std::get_if<CallRefused>(&aEffect.message_)) {
    found->second.openAttempts_.erase(refused->attempt_);
  }
  Schedule(kNetworkDelay,
           found->second.from_,
           PeerMessageArrived{ nodes_[aNode].state_.settings_.identity_.id_, aEffect.message_ });
}

void
Session::Perform(NodeIndex aNode, const SendGossip& aEffect)
{
  const auto to = FindByAddress(aEffect.address_);
  if (to && nodes_[*to].alive_ && !nodes_[*to].paused_ && CanReach(aNode, *to)) {
    Schedule(kNetworkDelay, *to, GossipArrived{ aEffect.message_ });
  }
}

} // namespace fulmarway::session
