/** \file
 * TCP connections between nodes: those that this node opens to its peers, and those that it
 * accepted.
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

/** Frames that wait for the socket. Parts of large answers take turns with each other and yield to
 * everything else. */
class FrameQueue
{
public:
  void Push(AttemptId aAttempt, bool aIsPart, std::string aFrame);

  /** Moves frames into the channel until its buffer holds enough. */
  void Fill(TcpChannel& aChannel);

  bool IsEmpty() const { return urgent_.empty() && parts_.empty(); }

private:
  std::deque<std::string> urgent_;
  std::map<AttemptId, std::deque<std::string>> parts_;
  /** The attempt whose part was sent last. */
  AttemptId lastAttempt_;
};

class PeerLinks
{
public:
  /** Listens for peers. Throws Poco::Exception when the address cannot be used. */
  PeerLinks(const Poco::Net::SocketAddress& aListen,
            const NodeIdentity& aSelf,
            const ClusterKey& aKey,
            Poller& aPoller);

  /** Sends on the connection to the peer; opens it when there is none. */
  void SendToPeer(NodeId aPeer,
                  const std::string& aAddress,
                  const PeerMessage& aMessage,
                  Instant aNow);

  /** Sends on an accepted connection; one that is gone is ignored. */
  void SendToLink(LinkId aLink, const PeerMessage& aMessage);

  void Accept();

  void HandleReady(const ReadySocket& aReady, Instant aNow);

  /** Pings, and gives up connections that went silent. */
  void Advance(Instant aNow);

  /** What happened since the last call. */
  std::vector<EventBody> TakeEvents();

  /** Messages that were dropped because they were malformed or not authentic. */
  std::uint64_t InvalidMessages() const { return invalidMessages_; }

  bool HasPendingOutput() const;

private:
  struct PeerLink
  {
    NodeId peer_;
    TcpChannel channel_;
    FrameBuffer input_;
    LinkHealth health_;
    /** Position in the output stream at which the frame of each open attempt starts. */
    std::map<AttemptId, std::uint64_t> attempts_;
    std::uint64_t queuedBytes_ = 0;
    /** Requests of other kinds that wait for an answer. */
    std::uint32_t otherRequests_ = 0;
  };

  struct AcceptedLink
  {
    TcpChannel channel_;
    FrameBuffer input_;
    FrameQueue output_;
    /** Zero until the first message. */
    NodeId from_;
  };

  PeerLink* OpenLink(NodeId aPeer, const std::string& aAddress, Instant aNow);
  void Queue(std::uint64_t aId, PeerLink& aLink, const PeerMessage& aMessage);
  void Flush(std::uint64_t aId);
  void LosePeer(std::uint64_t aId);
  void ReadPeer(std::uint64_t aId, Instant aNow);
  void NoteAnswer(PeerLink& aLink, const PeerMessage& aMessage);
  void FlushAccepted(LinkId aLink);
  void LoseAccepted(LinkId aLink);
  void ReadAccepted(LinkId aLink);

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
