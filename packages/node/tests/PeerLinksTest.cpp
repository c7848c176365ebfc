/** \file
 * Guards against tables of a link between two nodes that grow with each answer.
 */
#include "node/PeerLinks.h"
#include "Loopback.h"

#include <criterion/criterion.h>
#include <cstring>

using namespace fulmarway;

namespace {

const ClusterKey kKey{ "key of the link tests" };
constexpr std::uint64_t kBodyBytes = 40'000;
constexpr std::uint64_t kPartBytes = 16'000;

NodeIdentity
MakeIdentity(std::uint64_t aId)
{
  NodeIdentity identity;
  identity.id_ = NodeId{ aId };
  identity.incarnation_ = { 7, aId };
  return identity;
}

/** Two nodes on loopback: the first calls the second. */
struct Nodes
{
  Poller poller_;
  Poller peerPoller_;
  PeerLinks links_{ Poco::Net::SocketAddress("127.0.0.1:0"), MakeIdentity(1), kKey, poller_ };
  PeerLinks peer_{ Poco::Net::SocketAddress("127.0.0.1:0"), MakeIdentity(2), kKey, peerPoller_ };
  Instant now_;

  /** Polls both until the first has as many events of peers, or the peer has as many of links. */
  std::vector<EventBody> Run(PeerLinks& aLinks, std::size_t aEvents)
  {
    std::vector<EventBody> events;
    for (int i = 0; i < kMaxPollIterations && events.size() < aEvents; ++i) {
      for (const ReadySocket& ready : poller_.Poll(kPollTimeout)) {
        links_.HandleReady(ready, now_);
      }
      for (const ReadySocket& ready : peerPoller_.Poll(kPollTimeout)) {
        if (ready.key_.role_ == SocketRole::kPeerListener) {
          peer_.Accept();
        } else {
          peer_.HandleReady(ready, now_);
        }
      }
      for (EventBody& event : aLinks.ExtractEvents()) {
        events.push_back(std::move(event));
      }
    }
    return events;
  }
};

} // namespace

/** Guards against memory that grows with each answer above 16 KB, and a link that never counts as
 * idle: an attempt was only removed by an answer in one message. */
Test(peer_links, attempt_ends_with_the_last_part_of_its_answer)
{
  Nodes nodes;
  for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
    CallRequest call;
    call.attempt_ = AttemptId{ attempt };
    nodes.links_.SendToPeer(NodeId{ 2 }, nodes.peer_.Address().toString(), call, nodes.now_);
    const auto arrived = nodes.Run(nodes.peer_, 1);
    cr_assert_eq(arrived.size(), 1U);
    const LinkId link = std::get<LinkMessageArrived>(arrived[0]).link_;
    CallAnswer answer;
    answer.attempt_ = call.attempt_;
    answer.answer_.body_.assign(kPartBytes, 'x');
    answer.bodyBytes_ = kBodyBytes;
    nodes.peer_.SendToLink(link, answer);
    for (std::uint64_t offset = kPartBytes; offset < kBodyBytes; offset += kPartBytes) {
      cr_expect_eq(nodes.Run(nodes.links_, 1).size(), 1U);
      cr_expect_eq(nodes.links_.AttemptsInFlight(), 1U, "its answer is not complete");
      const std::uint64_t size = std::min(kPartBytes, kBodyBytes - offset);
      nodes.peer_.SendToLink(link, CallAnswerPart{ call.attempt_, offset, std::string(size, 'x') });
    }
    cr_expect_eq(nodes.Run(nodes.links_, 1).size(), 1U);
    cr_expect_eq(nodes.links_.AttemptsInFlight(), 0U);
  }
}

/** Guards against strangers that make a node hold a frame of 4 MB on each of thousands of links. */
Test(peer_links, link_without_a_hello_may_not_send_a_long_frame)
{
  constexpr std::uint32_t kAnnounced = 4U << 20;
  Nodes nodes;
  LoopbackPeer stranger(nodes.peer_.Address());
  std::string frame(sizeof kAnnounced, '\0');
  std::memcpy(frame.data(), &kAnnounced, sizeof kAnnounced);
  stranger.Send(frame + std::string(20'000, 'x'));
  for (int i = 0; i < kMaxPollIterations && nodes.peer_.InvalidMessages() == 0; ++i) {
    for (const ReadySocket& ready : nodes.peerPoller_.Poll(kPollTimeout)) {
      if (ready.key_.role_ == SocketRole::kPeerListener) {
        nodes.peer_.Accept();
      } else {
        nodes.peer_.HandleReady(ready, nodes.now_);
      }
    }
  }
  cr_expect_eq(nodes.peer_.InvalidMessages(), 1U);
  cr_expect_eq(nodes.peer_.HeldBytes(), 0U);
}
