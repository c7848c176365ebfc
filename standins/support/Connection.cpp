#include "support/Connection.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace fulmarway::standins {

namespace {

constexpr std::size_t kReceiveBufferBytes = 64U << 10;

} // namespace

Connection::Connection(EventLoop& aLoop, const Poco::Net::StreamSocket& aSocket, Handler aHandler)
  : loop_(aLoop)
  , socket_(aSocket)
  , fd_(socket_.impl()->sockfd())
  , handler_(std::move(aHandler))
  , events_(EPOLLIN | EPOLLOUT | EPOLLRDHUP)
{
  socket_.setNoDelay(true);
  loop_.Watch(fd_, events_, [this](std::uint32_t aEvents) { HandleEvents(aEvents); });
}

Connection::~Connection()
{
  Close();
}

void
Connection::Write(std::string_view aBytes)
{
  output_ += aBytes;
  if (established_ && !closed_) {
    // A failed send is ignored here because epoll reports the error to HandleEvents().
    Flush();
  }
}

void
Connection::HandleEvents(std::uint32_t aEvents)
{
  if ((aEvents & EPOLLOUT) != 0 && (aEvents & EPOLLERR) == 0) {
    established_ = true;
  }
  bool open = (aEvents & EPOLLERR) == 0;
  const std::size_t before = input_.size();
  if (open && (aEvents & (EPOLLIN | EPOLLHUP | EPOLLRDHUP)) != 0) {
    open = Receive();
  }
  if (open && established_) {
    open = Flush();
  }
  const bool hasInput = input_.size() > before;
  if (!open) {
    Close();
  }
  if (hasInput || !open) {
    const Handler handler = handler_;
    handler(!open);
  }
}

bool
Connection::Receive()
{
  std::array<char, kReceiveBufferBytes> bytes;
  for (;;) {
    const ssize_t count = recv(fd_, bytes.data(), bytes.size(), 0);
    if (count > 0) {
      input_.append(bytes.data(), static_cast<std::size_t>(count));
    } else if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return true;
    } else if (count == 0 || errno != EINTR) {
      return false;
    }
  }
}

bool
Connection::Flush()
{
  while (!output_.empty()) {
    const ssize_t count = send(fd_, output_.data(), output_.size(), MSG_NOSIGNAL);
    if (count > 0) {
      output_.erase(0, static_cast<std::size_t>(count));
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      return false;
    }
  }
  const std::uint32_t wanted = EPOLLIN | EPOLLRDHUP | (output_.empty() ? 0U : EPOLLOUT);
  if (wanted != events_) {
    events_ = wanted;
    loop_.Modify(fd_, events_);
  }
  return true;
}

void
Connection::Close()
{
  if (!closed_) {
    closed_ = true;
    loop_.Unwatch(fd_);
    socket_.close();
  }
}

} // namespace fulmarway::standins
