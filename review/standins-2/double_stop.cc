// A planned stop whose signal comes twice, while clients wait for answers. Counts the requests that
// were passed on to a backend server and whose connection ended without an answer.
#include "harness.hpp"

using namespace h;

namespace {

constexpr int kClients = 10;
constexpr int kWorkMs = 1500;
constexpr double kBetweenSignalsMs = 500;

} // namespace

int
main(int aCount, char** aArguments)
{
  Begin(aCount, aArguments);
  Deployment deployment;
  deployment.Start();
  const Machine& stopped = deployment.machines_[0];

  std::vector<std::string> ids;
  std::vector<Reply> replies(kClients);
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    ids.push_back(Deployment::NewId("write"));
    const ClientRequest request{ "POST", "beta.example", "/write/x", ids.back(), 5000, kWorkMs, "order" };
    Record("send    %s", request.id_.c_str());
    threads.emplace_back([&, i, request] {
      replies[i] = Ask(deployment.client_, stopped.Outbound(), request, 8000);
    });
  }
  SleepMs(200);
  for (int signal = 0; signal < (HasTrouble() ? 2 : 1); ++signal) {
    SleepMs(signal * kBetweenSignalsMs);
    Record("SIGTERM %s", stopped.name_.c_str());
    kill(deployment.nodes_[0].pid_, SIGTERM);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  SleepMs(1000);

  int lost = 0;
  for (int i = 0; i < kClients; ++i) {
    if (replies[i].IsAnswer()) {
      Record("answer  %s: %d", ids[i].c_str(), replies[i].message_.Status());
      continue;
    }
    const auto runs = RunsOf(ids[i]);
    lost += runs.empty() ? 0 : 1;
    Record("%s %s: connection %s without an answer, %zu runs", runs.empty() ? "end    " : "lost   ",
           ids[i].c_str(), Name(replies[i].end_), runs.size());
  }
  Record("%d requests, %d lost", kClients, lost);
  Finish(lost > 0 ? 1 : 0);
}
