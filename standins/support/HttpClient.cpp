#include "support/HttpClient.h"

#include <Poco/Exception.h>
#include <algorithm>

namespace fulmarway::standins {

HttpClient::HttpClient(EventLoop& aLoop, Limits aLimits)
  : loop_(aLoop)
  , limits_(aLimits)
{
}

HttpClient::CallId
HttpClient::Send(const Poco::Net::SocketAddress& aAddress,
                 HttpMessage aRequest,
                 EventLoop::Clock::duration aTimeout,
                 Callback aCallback)
{
  const CallId id = nextId_++;
  const auto timer = loop_.CallAfter(aTimeout, [this, id] {
    Finish(id, { CallFailure::kTimeout, {} });
  });
  calls_[id] = { aAddress, std::move(aRequest), std::move(aCallback), timer, 0 };
  targets_[aAddress].waiting_.push_back(id);
  Dispatch(aAddress);
  return id;
}

void
HttpClient::Dispatch(const Poco::Net::SocketAddress& aAddress)
{
  Target& target = targets_[aAddress];
  while (!target.waiting_.empty()) {
    const CallId id = target.waiting_.front();
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
      target.waiting_.pop_front();
      continue;
    }
    std::uint64_t connection = 0;
    if (!target.idle_.empty()) {
      connection = target.idle_.back();
      target.idle_.pop_back();
    } else if (target.connections_ < limits_.connectionsPerAddress_) {
      connection = Open(aAddress);
    } else {
      return;
    }
    target.waiting_.pop_front();
    if (connection == 0) {
      loop_.CallAfter({}, [this, id] { Finish(id, { CallFailure::kNotConnected, {} }); });
      continue;
    }
    PooledConnection& pooled = connections_.at(connection);
    pooled.call_ = id;
    found->second.connection_ = connection;
    pooled.connection_->Write(FormatRequest(found->second.request_, aAddress.toString()));
  }
}

std::uint64_t
HttpClient::Open(const Poco::Net::SocketAddress& aAddress)
{
  try {
    Poco::Net::StreamSocket socket;
    socket.connectNB(aAddress);
    socket.setBlocking(false);
    const std::uint64_t id = nextId_++;
    connections_[id] = { aAddress,
                         std::make_unique<Connection>(
                           loop_, socket, [this, id](bool aClosed) { HandleInput(id, aClosed); }),
                         0 };
    ++targets_[aAddress].connections_;
    return id;
  } catch (const Poco::Exception&) {
    return 0;
  }
}

void
HttpClient::HandleInput(std::uint64_t aConnection, bool aClosed)
{
  PooledConnection& pooled = connections_.at(aConnection);
  const CallId call = pooled.call_;
  if (call == 0) {
    // The peer closed an idle connection, or sent bytes that belong to no request.
    CloseConnection(aConnection);
    return;
  }
  auto extracted = ExtractResponse(pooled.connection_->Input());
  if (extracted && *extracted) {
    if (aClosed) {
      CloseConnection(aConnection);
    } else {
      pooled.call_ = 0;
      targets_[pooled.address_].idle_.push_back(aConnection);
    }
    calls_.at(call).connection_ = 0;
    Finish(call, { CallFailure::kNone, std::move(*extracted) });
    return;
  }
  if (aClosed || !extracted) {
    CallFailure failure = CallFailure::kNotConnected;
    if (!pooled.connection_->Input().empty()) {
      failure = CallFailure::kTruncated;
    } else if (pooled.connection_->WasEstablished()) {
      failure = CallFailure::kLost;
    }
    calls_.at(call).connection_ = 0;
    CloseConnection(aConnection);
    Finish(call, { failure, {} });
  }
}

void
HttpClient::Finish(CallId aCall, CallResult aResult)
{
  const auto found = calls_.find(aCall);
  if (found == calls_.end()) {
    return;
  }
  const Poco::Net::SocketAddress address = found->second.address_;
  const Callback callback = std::move(found->second.callback_);
  Remove(aCall);
  callback(std::move(aResult));
  Dispatch(address);
}

void
HttpClient::Cancel(CallId aCall)
{
  const auto found = calls_.find(aCall);
  if (found != calls_.end()) {
    const Poco::Net::SocketAddress address = found->second.address_;
    Remove(aCall);
    loop_.CallAfter({}, [this, address] { Dispatch(address); });
  }
}

void
HttpClient::Remove(CallId aCall)
{
  const auto found = calls_.find(aCall);
  if (found == calls_.end()) {
    return;
  }
  const std::uint64_t connection = found->second.connection_;
  loop_.Cancel(found->second.timer_);
  calls_.erase(found);
  if (connection != 0) {
    CloseConnection(connection);
  }
}

void
HttpClient::CloseConnection(std::uint64_t aConnection)
{
  const auto found = connections_.find(aConnection);
  Target& target = targets_[found->second.address_];
  --target.connections_;
  std::erase(target.idle_, aConnection);
  connections_.erase(found);
}

} // namespace fulmarway::standins
