// Requests with bodies within the operator's limit on bodies.
#include "harness.hpp"

using namespace h;

namespace {

constexpr int kUploads = 20;
constexpr int kOthers = 80;
/** maxBodyBytes of the configuration is 67108864. */
constexpr int kLongBytes = 6 << 20;
constexpr int kShortBytes = 2 << 20;

} // namespace

int
main(int aCount, char** aArguments)
{
  Begin(aCount, aArguments);
  Deployment deployment;
  deployment.Start();
  int denied = 0;
  int answered = 0;
  for (int i = 0; i < kUploads + kOthers; ++i) {
    const bool isUpload = i % 5 == 0;
    ClientRequest request{ isUpload ? "POST" : "GET", "beta.example",
                           isUpload ? "/write/x" : "/read/x", Deployment::NewId("r"), 5000, 10 };
    if (isUpload) {
      request.body_ = std::string(HasTrouble() ? kLongBytes : kShortBytes, 'u');
    }
    const Reply reply =
      Ask(deployment.client_, deployment.machines_[i % 4].Outbound(), request, 6000);
    const int status = reply.IsAnswer() ? reply.message_.Status() : 0;
    Record("answer  %s: body of %zu bytes, %s %d, %zu runs", request.id_.c_str(),
           request.body_.size(), Name(reply.end_), status, RunsOf(request.id_).size());
    answered += status == 200 ? 1 : 0;
    denied += status / 100 == 4 && status != 408 && status != 421 && status != 429 ? 1 : 0;
  }
  const int all = kUploads + kOthers;
  Record("%d requests, %d served, %d ended with a 4xx of the node", all, answered, denied);
  // DENIED: more than 5 + one in 500 of all requests.
  Finish(denied > 5 + all / 500 ? 1 : 0);
}
