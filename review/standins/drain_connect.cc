/** \file
 * Rule DRAIN. A backend server reports that it drains while its node has a queue. Its answers carry
 * "Connection: close", so each queued request needs a new connection. The queue of new connections is
 * full, the opening packets are sent again a second later, and the requests that wait for them reach the
 * backend server later than drainS after the acknowledgement. It exits soon after, with these requests.
 */
#include "harness.hpp"

using namespace review;

namespace {

constexpr int kSlots = 40;
/** Many users at once; without the trouble as many as the backend servers can run. */
constexpr int kBurst = 200;
constexpr int kCalm = 40;
constexpr int kUsual = 80;
/** Queue of new connections of the backend servers. */
constexpr int kBacklog = 16;
/** "1 ms a new connection" */
constexpr double kAcceptS = 0.001;
constexpr double kDrainS = 2;
/** The backend server continues "for drainS after the acknowledgement and a little longer". */
constexpr double kLongerS = 0.7;
/** Work of the sheet: 100 ms; srv_slow, x 5, and a spread. */
constexpr double kWorkS = 1.3;

struct Backend
{
  Machine& machine_;
  std::atomic<bool> leaving_{ false };
  std::atomic<bool> gone_{ false };
  std::mutex mutex_;
  std::set<int> sockets_;
  int running_ = 0;
  /** Zero until the acknowledgement. */
  std::optional<Clock::time_point> acknowledgedAt_;
  int late_ = 0;
  int cut_ = 0;
  int runs_ = 0;
};

std::atomic<bool> gStop{ false };

void
Serve(int aFd, Backend& aBackend, Record& aRecord)
{
  {
    std::lock_guard lock(aBackend.mutex_);
    aBackend.sockets_.insert(aFd);
  }
  std::string buffer;
  Message request;
  while (ReadMessage(aFd, buffer, request) == ReadOutcome::kMessage) {
    const std::string id = request.Get("Request-Id");
    if (request.Get("Target-Instance") != aBackend.machine_.instance_) {
      WriteAll(aFd, Respond(421, "Not-Processed: 1\r\nRequest-Id: " + id + "\r\n", ""));
      continue;
    }
    bool isFull = false;
    {
      std::lock_guard lock(aBackend.mutex_);
      isFull = aBackend.running_ >= kSlots + 10;
      if (!isFull) {
        ++aBackend.running_;
        ++aBackend.runs_;
        const auto since = aBackend.acknowledgedAt_
                             ? std::chrono::duration<double>(Clock::now() - *aBackend.acknowledgedAt_).count()
                             : -1;
        if (since > kDrainS) {
          ++aBackend.late_;
          aRecord.Line("BROKEN   DRAIN: %s reaches %s %.3f s after the acknowledgement of its leave",
                       id.c_str(),
                       aBackend.machine_.instance_.c_str(),
                       since);
        }
      }
    }
    if (isFull) {
      WriteAll(aFd, Respond(503, "Not-Processed: 1\r\nRequest-Id: " + id + "\r\n", ""));
      continue;
    }
    aRecord.Line("backend  %s runs %s", aBackend.machine_.instance_.c_str(), id.c_str());
    std::this_thread::sleep_for(std::chrono::duration<double>(kWorkS));
    const bool isLeaving = aBackend.leaving_;
    {
      std::lock_guard lock(aBackend.mutex_);
      --aBackend.running_;
      if (aBackend.gone_) {
        ++aBackend.cut_;
        aRecord.Line("backend  %s has exited in the middle of %s", aBackend.machine_.instance_.c_str(), id.c_str());
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
  std::vector<std::unique_ptr<Backend>> backends;
  const char* names[] = { "pricing", "dispatch", "dispatch" };
  for (const char* service : names) {
    auto machine = std::make_unique<Machine>();
    machine->ip_ = "127.0.1." + std::to_string(machines.size() + 1);
    machine->zone_ = "colombo-a";
    machine->service_ = service;
    machine->slots_ = kSlots;
    machine->instance_ = std::string("i-") + service + "-" + std::to_string(machines.size());
    machines.push_back(std::move(machine));
  }
  AssignPorts(machines);
  Store store("127.0.0.1", 0);
  store.Put("keyed.op",
            "config",
            Configuration(1, { { "orders.example", "/confirm/", "dispatch", "unsafe", 5, 2 } }));
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::thread> threads;
  std::atomic<bool> stopFirst{ false };
  for (std::size_t i = 0; i < machines.size(); ++i) {
    backends.push_back(std::make_unique<Backend>(*machines[i]));
    Backend& backend = *backends.back();
    servers.push_back(std::make_unique<Server>(
      machines[i]->ip_, machines[i]->app_, [&](int aFd) { Serve(aFd, backend, record); }, kBacklog, kAcceptS));
    StartNode(*machines[i], root, store.Port(), "/dev/null");
    threads.push_back(StartHeartbeats(*machines[i], i == 1 ? stopFirst : gStop));
  }
  for (const auto& machine : machines) {
    if (!WaitUntilReady(*machine, 10)) {
      EndChildren();
      return kCouldNotRun;
    }
  }
  std::this_thread::sleep_for(std::chrono::seconds(4));
  record.Line("start    trouble=%d", HasTrouble() ? 1 : 0);
  std::map<int, int> answers;
  std::mutex mutex;
  std::vector<std::thread> clients;
  const int count = HasTrouble() ? kBurst : kCalm;
  std::atomic<bool> go{ false };
  for (int i = 0; i < count; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "c" + std::to_string(i);
      Client client(machines[0]->ip_, machines[0]->outbound_);
      // Usual traffic first: one request of each of some clients, one after the other.
      if (i < kUsual) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5 * i));
        client.Send("POST /confirm/lot HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: w" +
                      std::to_string(i) + "\r\nDeadline-Ms: 5000\r\nContent-Length: 8\r\n\r\norder=16",
                    6);
      }
      while (!go) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      record.Line("client   sends %s", id.c_str());
      const Outcome outcome = client.Send("POST /confirm/lot HTTP/1.1\r\nHost: orders.example\r\n"
                                          "Request-Id: " + id + "\r\nDeadline-Ms: 5000\r\n"
                                          "Content-Length: 8\r\n\r\norder=17",
                                          6);
      const int status = outcome.read_ == ReadOutcome::kMessage ? outcome.answer_.Status() : 0;
      record.Line("client   gets %d for %s", status, id.c_str());
      std::lock_guard lock(mutex);
      ++answers[status];
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  record.Line("burst    of %d clients", count);
  go = true;
  // The backend server reports that it drains.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  stopFirst = true;
  threads[1].join();
  Backend& leaving = *backends[1];
  leaving.leaving_ = true;
  const std::string path = "/v1/instances/" + leaving.machine_.instance_;
  const int status = CallNode(leaving.machine_.ip_,
                              leaving.machine_.control_,
                              "POST",
                              path + "/heartbeat",
                              HeartbeatBody(leaving.machine_, ++leaving.machine_.seq_, "draining"));
  {
    std::lock_guard lock(leaving.mutex_);
    leaving.acknowledgedAt_ = Clock::now();
  }
  record.Line("backend  %s reports draining; acknowledged with %d", leaving.machine_.instance_.c_str(), status);
  std::this_thread::sleep_for(std::chrono::duration<double>(kDrainS + kLongerS));
  CallNode(leaving.machine_.ip_, leaving.machine_.control_, "POST", path + "/deregister",
           "{\"born\":" + std::to_string(leaving.machine_.born_) + "}");
  {
    std::lock_guard lock(leaving.mutex_);
    leaving.gone_ = true;
    for (const int fd : leaving.sockets_) {
      shutdown(fd, SHUT_RDWR);
    }
  }
  record.Line("backend  %s exits", leaving.machine_.instance_.c_str());
  for (std::thread& client : clients) {
    client.join();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
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
  std::_Exit(leaving.late_ > 0 ? kBroken : leaving.runs_ > 0 && status == 200 ? kHeld : kCouldNotRun);
}
