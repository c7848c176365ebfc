/** \file
 * Rule LOST, planned stop. Clients read a long answer slowly when the machine that took their requests
 * gets SIGTERM. The node ends half a second after it stops accepting connections, with answers that are
 * not written yet, though graceS and the clients' deadlines leave time.
 */
#include "harness.hpp"

using namespace review;

namespace {

constexpr int kClients = 12;
/** Below the node's limit on an answer, 4 MiB. */
constexpr std::size_t kAnswerBytes = 1'500'000;
/** The client reads this much every 100 ms, and the rest without pauses from kFastAfterS on. */
constexpr std::size_t kSlowBytes = 4'000;
constexpr double kFastAfterS = 4.0;
constexpr double kDeadlineS = 5;
constexpr double kGraceS = 6;

std::atomic<bool> gStop{ false };
std::mutex gMutex;
std::set<std::string> gReached;

void
ServeBackend(int aFd, const Machine& aMachine, Record& aRecord)
{
  std::string buffer;
  Message request;
  while (ReadMessage(aFd, buffer, request) == ReadOutcome::kMessage) {
    const std::string id = request.Get("Request-Id");
    if (request.Get("Target-Instance") != aMachine.instance_) {
      WriteAll(aFd, Respond(421, "Not-Processed: 1\r\nRequest-Id: " + id + "\r\n", ""));
      continue;
    }
    {
      std::lock_guard lock(gMutex);
      gReached.insert(id);
    }
    aRecord.Line("backend  runs %s and answers with %zu bytes", id.c_str(), kAnswerBytes);
    if (!WriteAll(aFd,
                  Respond(200,
                          "Request-Id: " + id + "\r\nUpstream-Signature: s." + id + "\r\n",
                          std::string(kAnswerBytes, 'a')))) {
      return;
    }
  }
}

/** Returns how the answer ended, and the seconds since the request was sent. */
struct Reading
{
  std::size_t bytes_ = 0;
  bool isComplete_ = false;
  double seconds_ = 0;
};

Reading
ReadSlowly(int aFd, Clock::time_point aSentAt)
{
  Reading reading;
  std::string head;
  std::size_t total = 0;
  std::vector<char> bytes(kSlowBytes);
  const auto elapsed = [&] { return std::chrono::duration<double>(Clock::now() - aSentAt).count(); };
  while (elapsed() < kDeadlineS) {
    const ssize_t received = recv(aFd, bytes.data(), bytes.size(), 0);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      continue;
    }
    if (received <= 0) {
      break;
    }
    reading.bytes_ += static_cast<std::size_t>(received);
    if (total == 0) {
      head.append(bytes.data(), static_cast<std::size_t>(received));
      const std::size_t end = head.find("\r\n\r\n");
      const std::size_t length = head.find("Content-Length: ");
      if (end != std::string::npos && length != std::string::npos) {
        total = end + 4 + std::strtoul(head.c_str() + length + 16, nullptr, 10);
      }
    }
    if (total > 0 && reading.bytes_ >= total) {
      reading.isComplete_ = true;
      break;
    }
    if (elapsed() < kFastAfterS) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }
  reading.seconds_ = elapsed();
  return reading;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return kCouldNotRun;
  }
  const std::string root = aArguments[1];
  Record record(std::string(aArguments[2]) + "/record.txt");
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::unique_ptr<Machine>> machines;
  for (const char* service : { "pricing", "dispatch" }) {
    auto machine = std::make_unique<Machine>();
    machine->ip_ = "127.0.1." + std::to_string(machines.size() + 1);
    machine->zone_ = "colombo-a";
    machine->service_ = service;
    machine->instance_ = std::string("i-") + service;
    machines.push_back(std::move(machine));
  }
  AssignPorts(machines);
  Store store("127.0.0.1", 0);
  store.Put("keyed.op",
            "config",
            Configuration(1, { { "orders.example", "/confirm/", "dispatch", "unsafe", 5, 2 } }));
  std::vector<std::unique_ptr<Server>> backends;
  std::vector<std::thread> threads;
  for (auto& machine : machines) {
    backends.push_back(std::make_unique<Server>(
      machine->ip_, machine->app_, [&](int aFd) { ServeBackend(aFd, *machine, record); }));
    StartNode(*machine, root, store.Port(), "/dev/null");
    threads.push_back(StartHeartbeats(*machine, gStop));
  }
  for (const auto& machine : machines) {
    if (!WaitUntilReady(*machine, 10)) {
      EndChildren();
      return kCouldNotRun;
    }
  }
  // stableWindowS before the requests without any disruption.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  record.Line("start    trouble=%d", HasTrouble() ? 1 : 0);
  std::atomic<int> broken{ 0 };
  std::atomic<int> complete{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "c" + std::to_string(i);
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const int size = 16384;
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
      // Segments as over a network; with those of loopback the node's kernel takes over 3 MB at once.
      const int segment = 1400;
      setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
      SetTimeout(fd, 0.2);
      sockaddr_in address = AddressOf(machines[0]->ip_, machines[0]->outbound_);
      if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        record.Line("client   %s has no connection", id.c_str());
        close(fd);
        return;
      }
      record.Line("client   sends %s", id.c_str());
      const auto sentAt = Clock::now();
      WriteAll(fd,
               "POST /confirm/lot HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: " + id +
                 "\r\nDeadline-Ms: 5000\r\nContent-Length: 8\r\n\r\norder=17");
      const Reading reading = ReadSlowly(fd, sentAt);
      close(fd);
      record.Line("client   %s: %s after %zu bytes and %.3f s",
                  id.c_str(),
                  reading.isComplete_            ? "complete"
                  : reading.seconds_ < kDeadlineS ? "the connection ended"
                                                  : "own deadline",
                  reading.bytes_,
                  reading.seconds_);
      complete += reading.isComplete_ ? 1 : 0;
      std::lock_guard lock(gMutex);
      if (!reading.isComplete_ && reading.seconds_ < kDeadlineS && gReached.contains(id)) {
        ++broken;
        record.Line("BROKEN   LOST: %s was passed on and answered, and its connection ended in the answer",
                    id.c_str());
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const auto stopAt = Clock::now();
  if (HasTrouble()) {
    record.Line("platform sends SIGTERM to the node of pricing");
    kill(machines[0]->pid_, SIGTERM);
  }
  int status = 0;
  while (HasTrouble() && std::chrono::duration<double>(Clock::now() - stopAt).count() < kGraceS) {
    if (HasEnded(machines[0]->pid_, status)) {
      record.Line("node     of pricing has exited %.3f s after SIGTERM",
                  std::chrono::duration<double>(Clock::now() - stopAt).count());
      break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  for (std::thread& client : clients) {
    client.join();
  }
  gStop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  EndChildren();
  record.Line("end      complete=%d lost=%d", complete.load(), broken.load());
  std::printf("complete=%d lost=%d\n", complete.load(), broken.load());
  std::fflush(stdout);
  std::_Exit(broken > 0 ? kBroken : complete == kClients ? kHeld : kCouldNotRun);
}
