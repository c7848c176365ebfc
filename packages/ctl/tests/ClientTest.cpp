/** \file
 * Guards against a client that gives up although another node replies, sends a command twice, or
 * reports "unknown" although a node has the outcome.
 */
#include "FakeNode.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::test;

namespace {

using Nodes = std::set<std::string>;

constexpr const char* kCommand = "drain 10.0.0.1:7000";

Client
MakeClient(FakeCluster& aCluster)
{
  return { ClientSettings{ { "n1", "n2" }, "ann" }, MakeEnvironment(aCluster) };
}

struct Case
{
  const char* name_;
  Nodes refusingNodes_;
  Nodes replyLosingNodes_;
  Nodes silentNodes_;
  Nodes noAppendNodes_;
  Nodes laggingNodes_;
  /** "none" if no node is reachable. */
  const char* outcome_;
  /** Whether the command is in the log afterwards. */
  bool inLog_;
  /** Number of POST requests that the client sends. */
  long posts_;
};

const Case kCases[] = {
  { "first node answers", {}, {}, {}, {}, {}, "accepted", true, 1 },
  { "first node refuses connections", { "n1" }, {}, {}, {}, {}, "accepted", true, 2 },
  { "no node", { "n1", "n2" }, {}, {}, {}, {}, "none", false, 2 },
  { "answer lost, other node knows", {}, { "n1" }, {}, {}, {}, "accepted", true, 1 },
  { "answer lost, other node is behind", {}, { "n1" }, {}, {}, { "n2" }, "unknown", true, 1 },
  { "answer lost, other node is gone", { "n2" }, { "n1" }, {}, {}, {}, "unknown", true, 1 },
  { "request lost", {}, {}, { "n1" }, {}, {}, "unknown", false, 1 },
  { "all silent", {}, {}, { "n1", "n2" }, {}, {}, "unknown", false, 1 },
  { "first node cannot append", {}, {}, {}, { "n1" }, {}, "accepted", true, 2 },
  { "no node can append", {}, {}, {}, { "n1", "n2" }, {}, "unavailable", false, 2 },
  { "node answers unknown, other node knows", {}, {}, {}, {}, { "n1" }, "accepted", true, 1 },
};

} // namespace

Test(client, commands_under_faults)
{
  for (const Case& test : kCases) {
    FakeCluster cluster;
    cluster.refusingNodes_ = test.refusingNodes_;
    cluster.replyLosingNodes_ = test.replyLosingNodes_;
    cluster.silentNodes_ = test.silentNodes_;
    cluster.noAppendNodes_ = test.noAppendNodes_;
    cluster.laggingNodes_ = test.laggingNodes_;
    Client client = MakeClient(cluster);
    const auto reply = client.SendCommand(kCommand, 0);
    const std::string outcome = reply ? std::string(ToString(reply->outcome_)) : "none";
    cr_assert_eq(outcome, test.outcome_, "%s: %s", test.name_, outcome.c_str());
    cr_assert_eq(cluster.state_.audit_.size(), test.inLog_ ? 1 : 0, "%s", test.name_);
    const long posts = std::count_if(
      cluster.requests_.begin(), cluster.requests_.end(), [](const std::string& aCall) {
        return aCall.find(" POST ") != std::string::npos;
      });
    cr_assert_eq(posts, test.posts_, "%s: %ld", test.name_, posts);
    if (outcome == "unknown") {
      cr_assert_neq(reply->detail_.find("outcome 0000000000000101"), std::string::npos);
      cr_assert_geq(cluster.now_.time_since_epoch(), ClientSettings{}.outcomePollTimeout_);
    }
  }
}

Test(client, asks_again_until_a_node_has_read_the_log)
{
  FakeCluster cluster;
  cluster.replyLosingNodes_ = { "n1" };
  cluster.laggingNodes_ = { "n2" };
  ClientEnvironment environment = MakeEnvironment(cluster);
  environment.sleep_ = [&cluster](Duration aDuration) {
    cluster.now_ += aDuration;
    if (cluster.now_.time_since_epoch() >= std::chrono::seconds(3)) {
      cluster.laggingNodes_.clear();
    }
  };
  Client client(ClientSettings{ { "n1", "n2" }, "ann" }, environment);
  const auto reply = client.SendCommand(kCommand, 0);
  cr_assert(reply.has_value());
  cr_assert_eq(reply->outcome_, ReplyOutcome::kAccepted);
}

Test(client, documents_come_from_the_next_node)
{
  FakeCluster cluster;
  cluster.refusingNodes_ = { "n1" };
  Client client = MakeClient(cluster);
  cr_assert(client.Get("/control/v1/load").has_value());
  cr_assert(client.Get("/control/v1/load").has_value());
  const std::vector<std::string> expected = { "n1 GET /control/v1/load",
                                              "n2 GET /control/v1/load",
                                              "n2 GET /control/v1/load" };
  cr_assert(cluster.requests_ == expected, "the node that replied last is tried first");
}

Test(client, a_refused_request_is_not_sent_to_another_node)
{
  FakeCluster cluster;
  Client client = MakeClient(cluster);
  const auto reply = client.Get("/control/v1/nothing");
  cr_assert_not(reply.has_value());
  cr_assert_eq(reply.error().code_, ClientErrorCode::kRefused);
  cr_assert_eq(reply.error().message_, "n1: unknown path");
  cr_assert_eq(cluster.requests_.size(), 1);
}
