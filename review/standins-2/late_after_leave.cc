// A backend server leaves right after a restart of its node, the node is killed again, and a
// heartbeat from before the leave arrives late.
#include "harness.hpp"

using namespace h;

namespace {

constexpr int kClients = 8;
constexpr double kRestartMs = 300;
constexpr double kDrainMs = 2000;
constexpr double kStableMs = 3000;
/** When the node is killed again, after the acknowledgement of the leave. */
constexpr double kSecondKillMs = 1500;
/** When the late heartbeat arrives, after the acknowledgement of the leave. */
constexpr double kLateMs = 3000;
/** When the backend server ends, after the acknowledgement. */
constexpr double kExitMs = 8000;

double
Restart(Deployment& aDeployment, std::size_t aMachine)
{
  const Machine& machine = aDeployment.machines_[aMachine];
  Process& process = aDeployment.nodes_[aMachine];
  Record("SIGKILL %s", machine.name_.c_str());
  kill(process.pid_, SIGKILL);
  WaitForEnd(process, Now() + 2000);
  SleepMs(kRestartMs);
  process = StartNode(machine, aDeployment.store_.Address());
  return Now();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Begin(aCount, aArguments);
  Deployment deployment;
  deployment.Start();
  constexpr std::size_t kMachine = 2;
  Backend& leaving = *deployment.backends_[kMachine];
  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      // On machines that no disruption touches.
      const Machine& machine = deployment.machines_[std::vector<std::size_t>{ 0, 1, 3 }[i % 3]];
      for (int n = 0; !stop; ++n) {
        const bool isWrite = n % 2 == 0;
        const ClientRequest request{ isWrite ? "POST" : "GET", "beta.example",
                                     isWrite ? "/write/x" : "/read/x", Deployment::NewId("r"), 5000, 50 };
        Record("send    %s to %s", request.id_.c_str(), machine.name_.c_str());
        const Reply reply = Ask(deployment.client_, machine.Outbound(), request, 6000);
        Record("answer  %s: %s %d", request.id_.c_str(), Name(reply.end_),
               reply.IsAnswer() ? reply.message_.Status() : 0);
        SleepMs(10);
      }
    });
  }
  SleepMs(1000);

  leaving.beating_ = false;
  SleepMs(50);
  const std::string heartbeat = leaving.MakeHeartbeat();
  const double sentAt = Now();
  Record("heartbeat is sent: %s", heartbeat.c_str());
  if (!HasTrouble()) {
    leaving.SendLate(heartbeat);
    Record("heartbeat arrives in time");
  }
  double startedAt = HasTrouble() ? Restart(deployment, kMachine) : Now();
  const auto acknowledged = leaving.DeregisterWithoutBody(Now() + 3000);
  if (!acknowledged) {
    CannotRun("no acknowledgement");
  }
  Record("leave is acknowledged");
  if (HasTrouble()) {
    SleepUntil(*acknowledged + kSecondKillMs);
    startedAt = Restart(deployment, kMachine);
    SleepUntil(*acknowledged + kLateMs);
    const bool isAcknowledged = leaving.SendLate(heartbeat);
    Record("heartbeat arrives %.1f s after it was sent: %s", (Now() - sentAt) / 1000,
           isAcknowledged ? "acknowledged" : "not acknowledged");
  }
  SleepUntil(*acknowledged + kExitMs);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }

  // Only requests at a time when all machines have been in touch.
  const double countsFrom = std::max(*acknowledged + kDrainMs, startedAt + kStableMs + 300);
  int late = 0;
  const std::lock_guard lock(gRunsMutex);
  for (const Run& run : gRuns) {
    if (run.server_ == leaving.Settings().id_ && run.startedAt_ > countsFrom) {
      ++late;
      Record("late    %s reaches %s %.2f s after the acknowledgement", run.id_.c_str(),
             run.server_.c_str(), (run.startedAt_ - *acknowledged) / 1000);
    }
  }
  Record("%d requests reached the backend server more than drainS after the acknowledgement", late);
  Finish(late > 0 ? 1 : 0);
}
