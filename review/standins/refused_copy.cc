/** \file
 * Rule REFUSED. A backend server refuses some requests (Not-Processed) and sometimes sends an answer a
 * second time, where the next answer on the connection is due. The node beside it offers a refused
 * request that must not be repeated once more on the same connection and takes the copy for the second
 * refusal: the client gets 503 while the request runs.
 */
#include "harness.hpp"

#include <cmath>
#include <utility>

using namespace review;

namespace {

constexpr int kClients = 24;
constexpr double kSeconds = 95;
/** clubhouse-signups: srv_grey, how "shed", x 0.45 at most. */
constexpr double kRefusedShare = 0.05;
/** wijesinghe-roast: garble, how "extra late", x 0.03. */
constexpr double kCopiedShare = 0.03;
/** Both for 5 s at a time, as "extra late" there, and again after 2 s. */
constexpr double kWindowS = 5;
constexpr double kPauseS = 2;
constexpr auto kWork = std::chrono::milliseconds(100);

struct Run
{
  int runs_ = 0;
  std::string order_;
};

std::mutex gMutex;
std::map<std::string, Run> gRuns;
std::map<std::string, int> gRunsOfOrder;
std::atomic<int> gRefusals{ 0 };
std::atomic<int> gCopies{ 0 };
std::atomic<bool> gStop{ false };

/** Whether the disruptions are on at the moment. */
bool
IsDisrupted()
{
  static const auto start = Clock::now();
  const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
  return HasTrouble() && std::fmod(elapsed, kWindowS + kPauseS) < kWindowS;
}

void
ServeBackend(int aFd, const Machine& aMachine, Record& aRecord)
{
  static std::atomic<unsigned> seed{ 1 };
  std::mt19937 random(seed++);
  std::uniform_real_distribution<double> draw(0, 1);
  std::string buffer;
  std::string copy;
  Message request;
  while (ReadMessage(aFd, buffer, request) == ReadOutcome::kMessage) {
    const std::string id = request.Get("Request-Id");
    std::string answer;
    const std::string target = request.Get("Target-Instance");
    if (!target.empty() && target != aMachine.instance_) {
      answer = Respond(421, "Not-Processed: 1\r\nRequest-Id: " + id + "\r\n", "");
    } else if (IsDisrupted() && draw(random) < kRefusedShare) {
      ++gRefusals;
      aRecord.Line("backend  refuses %s (503, Not-Processed)", id.c_str());
      answer = Respond(503, "Not-Processed: 1\r\nRequest-Id: " + id + "\r\n", "full\n");
    } else {
      {
        std::lock_guard lock(gMutex);
        Run& run = gRuns[id];
        run.runs_ += 1;
        run.order_ = request.body_;
        gRunsOfOrder[request.body_] += 1;
      }
      aRecord.Line("backend  runs %s (%s)", id.c_str(), request.body_.c_str());
      std::this_thread::sleep_for(kWork);
      answer = Respond(
        200, "Request-Id: " + id + "\r\nUpstream-Signature: s." + id + "\r\n", "confirmed\n");
    }
    // The copy of the last answer arrives where this one is expected.
    if (!copy.empty()) {
      aRecord.Line("backend  sends its last answer again, before it answers %s", id.c_str());
      ++gCopies;
      if (!WriteAll(aFd, std::exchange(copy, {}))) {
        return;
      }
    }
    if (IsDisrupted() && draw(random) < kCopiedShare) {
      copy = answer;
    }
    if (!WriteAll(aFd, answer)) {
      return;
    }
  }
}

/** Sends orders one after the other. After a refusal it retries once, as on the sheet. */
void
RunClient(int aNumber, const Machine& aEntry, Record& aRecord, std::atomic<int>& aBroken)
{
  Client client(aEntry.ip_, aEntry.outbound_);
  std::vector<std::string> refused;
  for (int order = 0; !gStop; ++order) {
    const std::string body = "order=" + std::to_string(aNumber) + "-" + std::to_string(order);
    for (int attempt = 1; attempt <= 2; ++attempt) {
      const std::string id =
        "c" + std::to_string(aNumber) + "-" + std::to_string(order) + "-" + std::to_string(attempt);
      aRecord.Line("client   sends %s (%s)", id.c_str(), body.c_str());
      const Outcome outcome = client.Send("POST /" + std::string(aNumber % 2 == 0 ? "confirm" : "confirm-3") +
                                            "/lot HTTP/1.1\r\nHost: orders.example\r\n"
                                          "Request-Id: " + id + "\r\nDeadline-Ms: 5000\r\n"
                                          "Content-Length: " + std::to_string(body.size()) +
                                            "\r\n\r\n" + body,
                                          5);
      const int status =
        outcome.read_ == ReadOutcome::kMessage ? outcome.answer_.Status() : 0;
      aRecord.Line("client   gets %d for %s", status, id.c_str());
      if (status != 503 && status != 429 && status != 408 && status != 421) {
        break;
      }
      refused.push_back(id);
      client.Close(); // Clients retry on a new connection.
      const double wait = std::min(std::atof(outcome.answer_.Get("Retry-After").c_str()), 1.0);
      std::this_thread::sleep_for(std::chrono::duration<double>(wait));
    }
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  std::lock_guard lock(gMutex);
  for (const std::string& id : refused) {
    const auto run = gRuns.find(id);
    if (run != gRuns.end()) {
      ++aBroken;
      aRecord.Line("BROKEN   REFUSED: %s got a status that promises 'not run', and has run; %s ran %d times",
                   id.c_str(),
                   run->second.order_.c_str(),
                   gRunsOfOrder[run->second.order_]);
    }
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
  const std::string folder = aArguments[2];
  Record record(folder + "/record.txt");
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
                            { "orders.example", "/confirm-3/", "dispatch", "unsafe", 5, 3 } }));
  std::vector<std::unique_ptr<Server>> backends;
  std::vector<std::thread> threads;
  const char* logs = getenv("NODE_LOGS");
  for (auto& machine : machines) {
    backends.push_back(std::make_unique<Server>(machine->ip_, machine->app_, [&](int aFd) {
      ServeBackend(aFd, *machine, record);
    }));
    StartNode(*machine,
              root,
              store.Port(),
              logs == nullptr ? "/dev/null" : std::string(logs) + "/" + machine->service_ + ".log");
    threads.push_back(StartHeartbeats(*machine, gStop));
  }
  for (const auto& machine : machines) {
    if (!WaitUntilReady(*machine, 10)) {
      std::fprintf(stderr, "a node did not become ready\n");
      EndChildren();
      return kCouldNotRun;
    }
  }
  std::this_thread::sleep_for(std::chrono::seconds(3));
  record.Line("start    trouble=%d", HasTrouble() ? 1 : 0);
  std::atomic<int> broken{ 0 };
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] { RunClient(i, *machines[0], record, broken); });
  }
  std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds));
  gStop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  EndChildren();
  int twice = 0;
  for (const auto& [id, run] : gRuns) {
    if (run.runs_ > 1) {
      ++twice;
      record.Line("BROKEN   TWICE: %s ran %d times", id.c_str(), run.runs_);
    }
  }
  record.Line("end      runs=%zu refusals=%d copies=%d refused_and_run=%d run_twice=%d",
              gRuns.size(),
              gRefusals.load(),
              gCopies.load(),
              broken.load(),
              twice);
  std::printf("runs=%zu refusals=%d copies=%d refused_and_run=%d run_twice=%d\n",
              gRuns.size(),
              gRefusals.load(),
              gCopies.load(),
              broken.load(),
              twice);
  std::fflush(stdout);
  const bool isServed = gRuns.size() > 100;
  std::_Exit(broken + twice > 0 ? kBroken : isServed ? kHeld : kCouldNotRun);
}
