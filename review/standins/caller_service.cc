/** \file
 * Rule UNASKED, Caller-Service. Clients send a Caller-Service of their own, in two header fields. The
 * system sets the header "regardless of what was sent"; the node replaces the first field only, so that
 * the backend server gets the client's value beside the true one.
 */
#include "harness.hpp"

using namespace review;

namespace {

constexpr int kRequests = 200;
std::atomic<int> gRuns{ 0 };
std::atomic<int> gBroken{ 0 };
std::atomic<bool> gStop{ false };

void
ServeBackend(int aFd, const Machine& aMachine, const std::string& aOrigin, Record& aRecord)
{
  std::string buffer;
  Message request;
  while (ReadMessage(aFd, buffer, request) == ReadOutcome::kMessage) {
    const std::string id = request.Get("Request-Id");
    const std::string target = request.Get("Target-Instance");
    if (target != aMachine.instance_) {
      WriteAll(aFd, Respond(421, "Not-Processed: 1\r\nRequest-Id: " + id + "\r\n", ""));
      continue;
    }
    ++gRuns;
    std::string seen;
    bool isForeign = false;
    for (const std::string& value : request.All("Caller-Service")) {
      seen += "[" + value + "]";
      isForeign = isForeign || value != aOrigin;
    }
    isForeign = isForeign || seen.empty();
    aRecord.Line("backend  runs %s with Caller-Service %s", id.c_str(), seen.c_str());
    if (isForeign) {
      ++gBroken;
      aRecord.Line("BROKEN   UNASKED: %s ran with a Caller-Service that is not %s",
                   id.c_str(),
                   aOrigin.c_str());
    }
    WriteAll(aFd,
             Respond(200, "Request-Id: " + id + "\r\nUpstream-Signature: s." + id + "\r\n", "ok\n"));
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
            Configuration(1,
                          { { "orders.example", "/confirm/", "dispatch", "unsafe", 5, 2 },
                            { "prices.example", "/list/", "dispatch", "safe", 5, 2 } }));
  std::vector<std::unique_ptr<Server>> backends;
  std::vector<std::thread> threads;
  for (auto& machine : machines) {
    backends.push_back(std::make_unique<Server>(machine->ip_, machine->app_, [&](int aFd) {
      // All requests of this script begin on the machine of 'pricing'.
      ServeBackend(aFd, *machine, "pricing", record);
    }));
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
  // Without the trouble the client sends the header too, but once.
  const std::string own = HasTrouble() ? "Caller-Service: accounts\r\nCaller-Service: accounts\r\n"
                                       : "Caller-Service: accounts\r\n";
  int answered = 0;
  {
    Client client(machines[0]->ip_, machines[0]->outbound_);
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = "c-" + std::to_string(i);
      const bool isOrder = i % 2 == 0;
      const std::string head = isOrder ? "POST /confirm/lot HTTP/1.1\r\nHost: orders.example\r\n"
                                       : "GET /list/lots HTTP/1.1\r\nHost: prices.example\r\n";
      record.Line("client   sends %s, Caller-Service accounts %s",
                  id.c_str(),
                  HasTrouble() ? "twice" : "once");
      const Outcome outcome =
        client.Send(head + "Request-Id: " + id + "\r\nDeadline-Ms: 5000\r\n" + own +
                      (isOrder ? "Content-Length: 8\r\n\r\norder=17" : "\r\n"),
                    5);
      const int status = outcome.read_ == ReadOutcome::kMessage ? outcome.answer_.Status() : 0;
      answered += status == 200 ? 1 : 0;
      record.Line("client   gets %d for %s", status, id.c_str());
    }
  }
  gStop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  EndChildren();
  record.Line("end      answered=%d runs=%d broken=%d", answered, gRuns.load(), gBroken.load());
  std::printf("answered=%d runs=%d broken=%d\n", answered, gRuns.load(), gBroken.load());
  std::fflush(stdout);
  std::_Exit(gBroken > 0 ? kBroken : gRuns > 0 ? kHeld : kCouldNotRun);
}
