/** \file
 * Guards against a short frame that waits behind the parts of a large answer, a large answer that
 * starves others on the same link, and parts sent out of order.
 */
#include "node/PeerLinks.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>
#include <vector>

using namespace fulmarway;

namespace {

/** Size of every frame; the channel's buffer is filled to 64 KiB. */
constexpr std::size_t kFrameBytes = 16U << 10;
constexpr std::size_t kFramesInChannel = 4;

std::string
MakeFrame(char aLetter)
{
  return std::string(kFrameBytes, aLetter);
}

/** Fills the channel without flushing it, and returns the number of bytes that it buffers. */
std::size_t
Fill(FrameQueue& aQueue, TcpChannel& aChannel)
{
  aQueue.Fill(aChannel);
  return aChannel.PendingBytes();
}

/** Sends all frames of the queue and returns their letters in the order of sending. */
std::string
SendOrder(FrameQueue& aQueue)
{
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
  Poco::Net::StreamSocket receiver;
  TcpChannel channel{ Poco::Net::StreamSocket(listener.address()) };
  receiver = listener.acceptConnection();
  receiver.setReceiveTimeout(Poco::Timespan(5, 0));
  std::string order;
  while (!aQueue.IsEmpty() || channel.PendingBytes() > 0) {
    aQueue.Fill(channel);
    const std::uint64_t before = channel.BytesWritten();
    cr_assert(channel.Flush() == ChannelStatus::kOpen);
    std::string bytes(channel.BytesWritten() - before, ' ');
    for (std::size_t got = 0; got < bytes.size();) {
      got += static_cast<std::size_t>(
        receiver.receiveBytes(bytes.data() + got, static_cast<int>(bytes.size() - got)));
    }
    order += bytes;
  }
  std::string frames;
  for (std::size_t position = 0; position < order.size(); position += kFrameBytes) {
    cr_assert(order.compare(position, kFrameBytes, MakeFrame(order[position])) == 0,
              "mixed frames");
    frames += order[position];
  }
  return frames;
}

struct Pushed
{
  std::uint64_t attempt_;
  bool isPart_;
  char letter_;
};

} // namespace

Test(frame_queue, order_of_sending)
{
  const struct
  {
    const char* name_;
    std::vector<Pushed> pushed_;
    const char* order_;
  } cases[] = {
    { "nothing", {}, "" },
    { "urgent frames keep their order",
      { { 3, false, 'a' }, { 1, false, 'b' }, { 2, false, 'c' } },
      "abc" },
    { "urgent frames before parts",
      { { 1, true, 'a' }, { 1, true, 'b' }, { 2, false, 'c' } },
      "cab" },
    { "answers take turns",
      { { 1, true, 'a' }, { 1, true, 'b' }, { 1, true, 'c' }, { 2, true, 'x' }, { 2, true, 'y' } },
      "axbyc" },
    { "three answers take turns",
      { { 9, true, 'a' }, { 9, true, 'b' }, { 5, true, 'm' }, { 5, true, 'n' }, { 7, true, 'x' } },
      "mxanb" },
  };
  for (const auto& row : cases) {
    FrameQueue queue;
    for (const Pushed& frame : row.pushed_) {
      queue.Push(AttemptId{ frame.attempt_ }, frame.isPart_, MakeFrame(frame.letter_));
    }
    cr_expect_eq(SendOrder(queue), row.order_, "%s", row.name_);
  }
}

/** Urgent frames cannot overtake frames in the channel, so it may buffer only a few. */
Test(frame_queue, channel_holds_a_bounded_part)
{
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
  TcpChannel channel{ Poco::Net::StreamSocket(listener.address()) };
  FrameQueue queue;
  for (int part = 0; part < 20; ++part) {
    queue.Push(AttemptId{ 1 }, true, MakeFrame('a'));
  }
  cr_expect_eq(Fill(queue, channel), kFramesInChannel * kFrameBytes);
  cr_expect_eq(Fill(queue, channel), kFramesInChannel * kFrameBytes);
  cr_expect(!queue.IsEmpty());
}
