/** \file
 * TCP connections between nodes: links that this node opens to send requests to peers, and links
 * that it accepted from peers.
 */
#pragma once

#include "model/Mac.h"
#include "model/PeerMessage.h"
#include "node/Poller.h"
#include "node/TcpChannel.h"
#include "policy/Event.h"
#include "policy/LinkHealth.h"
#include "wire/Frame.h"

#include <Poco/Net/ServerSocket.h>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace fulmarway {

/** Output queue of an accepted link. Parts of large answers are sent round-robin across attempts,
 * and only when no other frame waits. */
class FrameQueue
{
public:
  void Push(AttemptId aAttempt, bool aIsPart, std::string aFrame);

  /** Moves frames into the channel until it buffers enough to keep the socket busy. */
  void Fill(TcpChannel& aChannel);

  /** Bytes of the frames. */
  std::size_t HeldBytes() const { return bytes_; }

  bool IsEmpty() const { return urgent_.empty() && parts_.empty(); }

private:
  std::deque<std::string> urgent_;
  std::map<AttemptId, std::deque<std::string>> parts_;
  /** The attempt whose part was moved to the channel last. */
  AttemptId lastAttempt_;
  std::size_t bytes_ = 0;
};

class PeerLinks
{
public:
  /** Listens for peers. Throws Poco::Exception when the address cannot be used. */
  PeerLinks(const Poco::Net::SocketAddress& aListen,
            const NodeIdentity& aSelf,
            const ClusterKey& aKey,
            Poller& aPoller);

  /** Sends on the link to the peer; opens one if there is none. */
  void SendToPeer(NodeId aPeer,
                  const std::string& aAddress,
                  const PeerMessage& aMessage,
                  Instant aNow);

  /** Sends on an accepted link; ignored if it was closed. */
  void SendToLink(LinkId aLink, const PeerMessage& aMessage);

  void Accept();

  void HandleReady(const ReadySocket& aReady, Instant aNow);

  /** Sends keep-alive pings, and closes links that are unresponsive or idle. */
  void Advance(Instant aNow);

  /** Returns the events since the last call. */
  std::vector<EventBody> ExtractEvents();

  /** Messages that were dropped because they were malformed or not authentic. */
  std::uint64_t InvalidMessages() const { return invalidMessages_; }

  bool HasPendingOutput() const;

  /** The bound address, with the port that the system chose if port 0 was requested. */
  Poco::Net::SocketAddress Address() const { return listener_.address(); }

  /** Attempts that were sent on open links and have not ended. */
  std::size_t AttemptsInFlight() const;

  /** Memory of the links: incomplete frames, and frames that are not completely sent. */
  std::size_t HeldBytes() const;

private:
  struct AttemptInFlight
  {
    /** Offset in the output stream at which its frame starts. */
    std::uint64_t start_ = 0;
    /** Size of the body of its answer, once the first part of it has arrived. */
    std::uint64_t bodyBytes_ = 0;
  };

  struct PeerLink
  {
    NodeId peer_;
    TcpChannel channel_;
    FrameBuffer input_;
    LinkHealth health_;
    std::map<AttemptId, AttemptInFlight> attempts_;
    std::uint64_t queuedBytes_ = 0;
    /** Requests other than calls that wait for a reply. */
    std::uint32_t pendingOtherRequests_ = 0;
  };

  struct AcceptedLink
  {
    TcpChannel channel_;
    FrameBuffer input_;
    FrameQueue output_;
    /** The peer; zero until its Hello. */
    NodeId from_;
  };

  PeerLink* OpenLink(NodeId aPeer, const std::string& aAddress, Instant aNow);
  void Queue(std::uint64_t aId, PeerLink& aLink, const PeerMessage& aMessage);
  void Flush(std::uint64_t aId);
  void ClosePeerLink(std::uint64_t aId);
  void ReadPeerLink(std::uint64_t aId, Instant aNow);
  void RemoveAnsweredRequest(PeerLink& aLink, const PeerMessage& aMessage);
  void FlushAcceptedLink(LinkId aLink);
  void CloseAcceptedLink(LinkId aLink);
  void ReadAcceptedLink(LinkId aLink);

  NodeIdentity self_;
  ClusterKey key_;
  Poller& poller_;
  Poco::Net::ServerSocket listener_;
  std::uint64_t nextId_ = 1;
  std::unordered_map<std::uint64_t, PeerLink> peers_;
  std::unordered_map<NodeId, std::uint64_t> byPeer_;
  std::unordered_map<LinkId, AcceptedLink> accepted_;
  std::vector<EventBody> events_;
  std::uint64_t invalidMessages_ = 0;
};

} // namespace fulmarway
