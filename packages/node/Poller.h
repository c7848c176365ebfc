/** \file
 * The poll set of the event loop. Sockets are registered under keys, and Poll() returns the keys of
 * ready sockets instead of references to objects.
 */
#pragma once

#include "model/Time.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace fulmarway {

/** The component of the event loop that a socket belongs to. */
enum class SocketRole : std::uint8_t
{
  kCallerListener,
  kCallerConnection,
  kAdminListener,
  kAdminConnection,
  kPeerListener,
  kAcceptedLink,
  kPeerLink,
  kBackendConnection,
  kHealthConnection,
  kLogConnection,
  kHeartbeatListener,
  kHeartbeatConnection,
  kStoreConnection,
  kGossip,
};

struct SocketKey
{
  SocketRole role_ = SocketRole::kGossip;
  std::uint64_t id_ = 0;

  auto operator<=>(const SocketKey&) const = default;
};

struct ReadySocket
{
  SocketKey key_;
  bool readable_ = false;
  bool writable_ = false;
};

class Poller
{
public:
  /** The socket is polled for reading until Remove() or SetWantsRead(). */
  void Add(const SocketKey& aKey, const Poco::Net::Socket& aSocket);

  /** Unknown keys are ignored. */
  void Remove(const SocketKey& aKey);

  /** Starts or stops polling the socket for reading. Errors are still reported, as readable. */
  void SetWantsRead(const SocketKey& aKey, bool aWantsRead);

  /** Starts or stops polling the socket for writing. */
  void SetWantsWrite(const SocketKey& aKey, bool aWantsWrite);

  /** Waits at most aTimeout. A socket with an error counts as readable. */
  std::vector<ReadySocket> Poll(Duration aTimeout);

private:
  struct Entry
  {
    Poco::Net::Socket socket_;
    bool wantsRead_ = true;
    bool wantsWrite_ = false;
  };

  void Update(const Entry& aEntry);

  Poco::Net::PollSet pollSet_;
  std::map<SocketKey, Entry> entries_;
  std::map<Poco::Net::Socket, SocketKey> keys_;
};

} // namespace fulmarway
