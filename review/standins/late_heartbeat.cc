/** \file
 * Rule DRAIN, after a restart. A backend server deregisters and its node acknowledges it. The node is killed
 * and restarted, and a heartbeat that was sent before the deregistration arrives seconds late. The new process
 * knows nothing of the leave, takes the backend server into use again and loses the requests at its exit.
 */
#include "harness.hpp"

using namespace review;

namespace {

constexpr double kDrainS = 2;
constexpr double kStableWindowS = 3;
/** All times in seconds after the acknowledgement of the deregistration. */
constexpr double kKillAt = 0.1;
constexpr double kRestartAt = 0.4;
constexpr double kLateHeartbeatAt = 3.9;
constexpr double kExitAt = 5.5;
constexpr int kClients = 8;

struct Backend
{
  Machine& machine_;
  double workS_ = 0.1;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::optional<Clock::time_point> acknowledgedAt_;
  bool gone_ = false;
  int runs_ = 0;
  int late_ = 0;
  int cut_ = 0;
};

std::atomic<bool> gStop{ false };

void
Serve(int aFd, Backend& aBackend, Record& aRecord)
{
  const std::string& instance = aBackend.machine_.instance_;
  {
    std::lock_guard lock(aBackend.mutex_);
    aBackend.sockets_.insert(aFd);
  }
  std::string buffer;
  Message request;
  while (ReadMessage(aFd, buffer, request) == ReadOutcome::kMessage) {
    const std::string id = request.Get("Request-Id");
    if (request.Get("Target-Instance") != instance) {
      WriteAll(aFd, Respond(421, "Not-Processed: 1\r\nRequest-Id: " + id + "\r\n", ""));
      continue;
    }
    bool isLeaving = false;
    {
      std::lock_guard lock(aBackend.mutex_);
      ++aBackend.runs_;
      isLeaving = aBackend.acknowledgedAt_.has_value();
      const double since =
        isLeaving ? std::chrono::duration<double>(Clock::now() - *aBackend.acknowledgedAt_).count() : 0;
      aRecord.Line("backend  %s runs %s", instance.c_str(), id.c_str());
      // All machines are in touch stableWindowS after the restart.
      if (since > kDrainS && since > kRestartAt + kStableWindowS + 0.2) {
        ++aBackend.late_;
        aRecord.Line("BROKEN   DRAIN: %s reaches %s %.3f s after the acknowledgement of its leave",
                     id.c_str(), instance.c_str(), since);
      }
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(aBackend.workS_));
    {
      std::lock_guard lock(aBackend.mutex_);
      if (aBackend.gone_) {
        ++aBackend.cut_;
        aRecord.Line("backend  %s has exited in the middle of %s", instance.c_str(), id.c_str());
        break;
      }
    }
    if (!WriteAll(aFd,
                  Respond(200,
                          "Request-Id: " + id + "\r\nUpstream-Signature: s." + id + "\r\n" +
                            (isLeaving ? "Connection: close\r\n" : ""),
                          "confirmed\n")) ||
        isLeaving) {
      break;
    }
  }
  std::lock_guard lock(aBackend.mutex_);
  aBackend.sockets_.erase(aFd);
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
  for (const char* service : { "pricing", "dispatch", "dispatch" }) {
    auto machine = std::make_unique<Machine>();
    machine->ip_ = "127.0.1." + std::to_string(machines.size() + 1);
    machine->zone_ = "colombo-a";
    machine->service_ = service;
    machine->instance_ = std::string("i-") + service + "-" + std::to_string(machines.size());
    machines.push_back(std::move(machine));
  }
  AssignPorts(machines);
  Store store("127.0.0.1", 0);
  store.Put("keyed.op",
            "config",
            Configuration(1, { { "orders.example", "/confirm/", "dispatch", "unsafe", 5, 2 } }));
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::thread> threads;
  std::atomic<bool> stopLeaving{ false };
  for (std::size_t i = 0; i < machines.size(); ++i) {
    backends.push_back(std::make_unique<Backend>(*machines[i]));
    Backend& backend = *backends.back();
    // Speeds 0.6 and 1.0 of the sheet's 100 ms; the faster one leaves.
    backend.workS_ = i == 1 ? 0.06 : 0.1;
    servers.push_back(std::make_unique<Server>(
      machines[i]->ip_, machines[i]->app_, [&](int aFd) { Serve(aFd, backend, record); }));
    StartNode(*machines[i], root, store.Port(), "/dev/null");
    threads.push_back(StartHeartbeats(*machines[i], i == 1 ? stopLeaving : gStop));
  }
  for (const auto& machine : machines) {
    if (!WaitUntilReady(*machine, 20)) {
      EndChildren();
      return kCouldNotRun;
    }
  }
  std::this_thread::sleep_for(std::chrono::seconds(4));
  record.Line("start    trouble=%d", HasTrouble() ? 1 : 0);
  std::mutex mutex;
  std::map<int, int> answers;
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] {
      Client client(machines[0]->ip_, machines[0]->outbound_);
      for (int order = 0; !gStop; ++order) {
        const std::string id = "c" + std::to_string(i) + "-" + std::to_string(order);
        record.Line("client   sends %s", id.c_str());
        const Outcome outcome = client.Send("POST /confirm/lot HTTP/1.1\r\nHost: orders.example\r\n"
                                            "Request-Id: " + id + "\r\nDeadline-Ms: 5000\r\n"
                                            "Content-Length: 8\r\n\r\norder=17",
                                            6);
        const int status = outcome.read_ == ReadOutcome::kMessage ? outcome.answer_.Status() : 0;
        record.Line("client   gets %d for %s", status, id.c_str());
        std::lock_guard lock(mutex);
        ++answers[status];
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  Machine& machine = *machines[1];
  Backend& leaving = *backends[1];
  stopLeaving = true;
  threads[1].join();
  // This heartbeat is sent now and arrives late; without the disruption it arrives at once.
  const std::uint64_t seq = ++machine.seq_;
  const std::string path = "/v1/instances/" + machine.instance_;
  const auto sendHeartbeat = [&] {
    const int status = CallNode(machine.ip_, machine.control_, "POST", path + "/heartbeat",
                                HeartbeatBody(machine, seq, "ready"));
    record.Line("backend  %s: heartbeat %lu, ready, answered %d", machine.instance_.c_str(),
                static_cast<unsigned long>(seq), status);
  };
  if (!HasTrouble()) {
    sendHeartbeat();
  }
  const int acknowledged = CallNode(machine.ip_, machine.control_, "POST", path + "/deregister",
                                    "{\"born\":" + std::to_string(machine.born_) + "}");
  const auto start = Clock::now();
  {
    std::lock_guard lock(leaving.mutex_);
    leaving.acknowledgedAt_ = start;
  }
  record.Line("backend  %s deregisters; acknowledged with %d", machine.instance_.c_str(), acknowledged);
  const auto waitUntil = [&](double aSeconds) {
    std::this_thread::sleep_until(start + std::chrono::duration<double>(aSeconds));
  };
  if (HasTrouble()) {
    waitUntil(kKillAt);
    record.Line("platform kills the node of %s", machine.instance_.c_str());
    kill(machine.pid_, SIGKILL);
    waitpid(machine.pid_, nullptr, 0);
    std::erase(Children(), machine.pid_);
    waitUntil(kRestartAt);
    StartNode(machine, root, store.Port(), "/dev/null");
    record.Line("platform restarts it");
    waitUntil(kLateHeartbeatAt);
    sendHeartbeat();
  }
  waitUntil(kExitAt);
  {
    std::lock_guard lock(leaving.mutex_);
    leaving.gone_ = true;
    for (const int fd : leaving.sockets_) {
      shutdown(fd, SHUT_RDWR);
    }
  }
  record.Line("backend  %s exits", machine.instance_.c_str());
  std::this_thread::sleep_for(std::chrono::seconds(1));
  gStop = true;
  for (std::thread& thread : threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  EndChildren();
  std::string text;
  for (const auto& [code, number] : answers) {
    text += " " + std::to_string(code) + ":" + std::to_string(number);
  }
  record.Line("end      runs=%d late=%d cut=%d answers%s", leaving.runs_, leaving.late_, leaving.cut_, text.c_str());
  std::printf("runs=%d late=%d cut=%d answers%s\n", leaving.runs_, leaving.late_, leaving.cut_, text.c_str());
  std::fflush(stdout);
  std::_Exit(leaving.late_ > 0 ? kBroken : leaving.runs_ > 0 && acknowledged == 200 ? kHeld : kCouldNotRun);
}
