/** \file
 * Rule LOST (and Fault): clients send long bodies at once, well inside the operator's limit. A node
 * bounds the single body but not all bodies together; it outgrows the memory of its machine and is
 * killed, with all requests that it had accepted.
 */
#include "harness.hpp"

#include <utility>

using namespace review;

namespace {

/** limits.memoryMb of the settings of a machine: 160 to 512 on the sheet. */
constexpr long kMemoryMb = 160;
/** Below the 64 MiB that the operator's limits allow, and below the 4 MiB of the node itself. */
constexpr std::size_t kBodyBytes = 4'000'000;
constexpr std::size_t kUsualBytes = 4'000;
constexpr int kRounds = 3;
/** The longest work of the sheet. */
constexpr auto kWork = std::chrono::milliseconds(1100);

/** 12 on each machine. */
constexpr int kClients = 48;
std::atomic<bool> gStop{ false };
std::atomic<int> gRuns{ 0 };
std::mutex gMutex;
std::set<std::string> gReached;
std::set<std::string> gClosed;

long
ResidentKb(pid_t aPid, const char* aField)
{
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(aField)) {
      return std::atol(line.c_str() + std::strlen(aField));
    }
  }
  return 0;
}

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
    ++gRuns;
    aRecord.Line("backend  runs %s, %zu bytes", id.c_str(), request.body_.size());
    std::this_thread::sleep_for(kWork);
    if (!WriteAll(aFd,
                  Respond(200,
                          "Request-Id: " + id + "\r\nUpstream-Signature: s." + id + "\r\n",
                          "confirmed\n"))) {
      return;
    }
  }
}

void
RunClient(int aNumber, const Machine& aEntry, Record& aRecord)
{
  Client client(aEntry.ip_, aEntry.outbound_);
  // Whether an earlier request was answered on the connection.
  bool isKept = false;
  for (int order = 0; order < 2 * kRounds; ++order) {
    const bool isLong = order % 2 == 1;
    const std::size_t size = isLong && HasTrouble() ? kBodyBytes : kUsualBytes;
    const std::string id = "c" + std::to_string(aNumber) + "-" + std::to_string(order);
    aRecord.Line("client   sends %s, %zu bytes", id.c_str(), size);
    const Outcome outcome = client.Send("POST /confirm/lot HTTP/1.1\r\nHost: orders.example\r\n"
                                        "Request-Id: " + id + "\r\nDeadline-Ms: 5000\r\n"
                                        "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
                                          std::string(size, 'x'),
                                        6);
    const bool isAnswered = outcome.read_ == ReadOutcome::kMessage;
    aRecord.Line("client   gets %s for %s",
                 outcome.notSent_ ? "no connection"
                 : isAnswered     ? outcome.answer_.second_.c_str()
                 : outcome.read_ == ReadOutcome::kTimeout ? "nothing until its deadline"
                                                          : "a closed connection, no answer",
                 id.c_str());
    const bool wasKept = std::exchange(isKept, isAnswered);
    if (wasKept && !outcome.notSent_ && outcome.read_ == ReadOutcome::kClosed) {
      std::lock_guard lock(gMutex);
      gClosed.insert(id);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
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
  for (const char* service : { "pricing", "accounts", "roastery", "dispatch" }) {
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
  std::this_thread::sleep_for(std::chrono::seconds(3));
  record.Line("start    trouble=%d", HasTrouble() ? 1 : 0);
  std::vector<long> peaks(machines.size(), 0);
  std::atomic<int> kills{ 0 };
  std::thread platform([&] {
    while (!gStop) {
      for (std::size_t i = 0; i < machines.size(); ++i) {
        const long kb = ResidentKb(machines[i]->pid_, "VmRSS:");
        peaks[i] = std::max(peaks[i], kb);
        if (kb > kMemoryMb * 1024) {
          record.Line("platform kills the node of %s: %ld MiB, more than memoryMb %ld",
                      machines[i]->service_.c_str(),
                      kb / 1024,
                      kMemoryMb);
          ++kills;
          kill(machines[i]->pid_, SIGKILL);
          waitpid(machines[i]->pid_, nullptr, 0);
          std::erase(Children(), machines[i]->pid_);
          StartNode(*machines[i], root, store.Port(), "/dev/null");
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  });
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      RunClient(i, *machines[static_cast<std::size_t>(i) % machines.size()], record);
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  gStop = true;
  platform.join();
  for (std::thread& thread : threads) {
    thread.join();
  }
  EndChildren();
  int broken = 0;
  for (const std::string& id : gClosed) {
    if (gReached.contains(id)) {
      ++broken;
      record.Line("LOST     %s was passed on, and its connection closed without an answer", id.c_str());
    }
  }
  std::string text;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    text += " " + machines[i]->service_ + "=" + std::to_string(peaks[i] / 1024) + "MiB";
  }
  record.Line("end      runs=%d kills=%d closed=%zu lost=%d peaks:%s",
              gRuns.load(), kills.load(), gClosed.size(), broken, text.c_str());
  std::printf("runs=%d kills=%d closed=%zu lost=%d peaks:%s\n",
              gRuns.load(), kills.load(), gClosed.size(), broken, text.c_str());
  std::fflush(stdout);
  constexpr int kAllowed = 3;
  std::_Exit(broken > kAllowed ? kBroken : gRuns > 0 ? kHeld : kCouldNotRun);
}
