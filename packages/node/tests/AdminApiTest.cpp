/** \file
 * Guards against an admin path that returns the wrong document, accepts an unsupported method or
 * accepts a malformed request.
 */
#include "NodeFixture.h"
#include "wire/ControlJson.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

constexpr ExchangeId kExchange{ 7 };

AdminResult
HandleRequest(const NodeState& aState,
              const std::string& aMethod,
              const std::string& aUri,
              const std::string& aBody = "")
{
  const HttpRequestMessage message{ { aMethod, aUri, Poco::Net::HTTPMessage::HTTP_1_1 }, aBody };
  return HandleAdminRequest(aState, LoopCounters{ .callerConnections_ = 212 }, kExchange, message);
}

AdminReply
ReplyTo(const NodeState& aState,
        const std::string& aMethod,
        const std::string& aUri,
        const std::string& aBody = "")
{
  const AdminResult result = HandleRequest(aState, aMethod, aUri, aBody);
  const auto* reply = std::get_if<AdminReply>(&result);
  cr_assert(reply != nullptr, "%s %s has no reply", aMethod.c_str(), aUri.c_str());
  return *reply;
}

AuditEntry
MakeAuditEntry(std::uint64_t aId)
{
  const CommandRecord record{ CommandId{ aId }, "ana", 0, 1, SetLimit{ "dispatch", 5 } };
  return { record, aId + 100, aId, CommandOutcome::kAccepted, "" };
}

NodeState
MakeBusyState()
{
  NodeState state = MakeTestState();
  state.log_.state_.config_.version_ = 4;
  state.log_.state_.config_.services_["dispatch"].name_ = "dispatch";
  state.log_.state_.config_.drained_.insert("127.0.0.1:9001");
  state.log_.state_.nextOffset_ = 9;
  for (std::uint64_t id = 1; id <= 30; ++id) {
    state.log_.state_.audit_.push_back(MakeAuditEntry(id));
  }
  const RefusalKey key{ RefusalSide::kInbound, "dispatch",       "list",
                        Importance::kHigh,     Verdict::kNotRun, Reason::kShedByQueue };
  RecordRefusal(state.counters_, key, "click 1", Instant{ std::chrono::seconds(1) });
  RecordRefusal(state.counters_, key, "other", Instant{ std::chrono::seconds(2) });
  RecordRefusal(state.counters_, key, "click 1", Instant{ std::chrono::seconds(3) });
  return state;
}

const std::string kCommandBody =
  ToJson(CommandRequest{ CommandId{ 0x1f }, "ana", 3, "set limit dispatch 5" });

} // namespace

Test(admin_api, status_of_path_and_method)
{
  const struct
  {
    const char* path_;
    const char* allow_;
  } paths[] = {
    { "/metrics", "GET" },
    { "/healthz", "GET" },
    { "/readyz", "GET" },
    { "/control/v1/services", "GET" },
    { "/control/v1/members", "GET" },
    { "/control/v1/config", "GET" },
    { "/control/v1/shed", "GET" },
    { "/control/v1/load", "GET" },
    { "/control/v1/audit", "GET" },
    { "/control/v1/why", "GET" },
    { "/control/v1/inforce", "GET" },
    { "/control/v1/command", "GET, POST" },
    { "/", nullptr },
    { "/metrics/", nullptr },
    { "/control/v1", nullptr },
    { "/control/v1/", nullptr },
    { "/control/v1/nothing", nullptr },
    { "/control/v1/services/dispatch", nullptr },
    { "/control/v2/services", nullptr },
    { "/v1/call/dispatch/list", nullptr },
  };
  const NodeState state = MakeBusyState();
  for (const auto& row : paths) {
    const std::string allow = row.allow_ == nullptr ? "" : row.allow_;
    for (const char* method : { "GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "get", "X" }) {
      if (!allow.empty() &&
          (", " + allow + ",").find(std::string(" ") + method + ",") != std::string::npos) {
        continue;
      }
      const AdminReply reply = ReplyTo(state, method, row.path_, kCommandBody);
      cr_expect_eq(reply.status_, allow.empty() ? 404 : 405, "%s %s", method, row.path_);
      cr_expect_eq(reply.allow_, allow, "%s %s", method, row.path_);
      cr_expect(ParseErrorDocument(reply.body_).has_value(), "%s %s", method, row.path_);
    }
  }
}

Test(admin_api, bad_parameters)
{
  const struct
  {
    const char* uri_;
    const char* named_;
  } cases[] = {
    { "/control/v1/audit?last=x", "last" },
    { "/control/v1/audit?last=-1", "last" },
    { "/control/v1/audit?last=1,000", "last" },
    { "/control/v1/inforce", "version" },
    { "/control/v1/inforce?version=", "version" },
    { "/control/v1/inforce?version=1e3", "version" },
    { "/control/v1/command", "id" },
    { "/control/v1/command?id=xyz", "id" },
    { "/control/v1/command?id=12345678123456781", "id" },
    { "/control/v1/why", "click" },
    { "/control/v1/why?click=", "click" },
  };
  for (const auto& row : cases) {
    const AdminReply reply = ReplyTo(MakeBusyState(), "GET", row.uri_);
    cr_expect_eq(reply.status_, 400, "%s", row.uri_);
    const auto error = ParseErrorDocument(reply.body_);
    cr_expect(error && error->error_.find(row.named_) == 0, "%s", reply.body_.c_str());
  }
  cr_expect_eq(ReplyTo(MakeBusyState(), "GET", "/control/v1/why?click=%zz").status_, 400);
}

Test(admin_api, malformed_commands)
{
  const std::string bodies[] = {
    "",
    "null",
    "[]",
    "{",
    kCommandBody.substr(0, kCommandBody.size() - 1),
    "{\"commandId\":\"1f\"}",
    ToJson(CommandRequest{ CommandId{ 1 }, "ana", 0, "" }),
    ToJson(CommandRequest{ CommandId{ 1 }, "ana", 0, "set limti dispatch 5" }),
    ToJson(CommandRequest{ CommandId{ 1 }, "ana", 0, "set limit dispatch 5 5" }),
    ToJson(CommandRequest{ CommandId{ 1 }, "ana", 0, "show shed" }),
  };
  for (const std::string& body : bodies) {
    const AdminReply reply = ReplyTo(MakeBusyState(), "POST", "/control/v1/command", body);
    cr_expect_eq(reply.status_, 400, "%s", body.c_str());
    cr_expect(ParseErrorDocument(reply.body_).has_value(), "%s", body.c_str());
  }
}

Test(admin_api, requests_that_are_answered_later)
{
  const NodeState state = MakeBusyState();
  const AdminResult command = HandleRequest(state, "POST", "/control/v1/command", kCommandBody);
  const EventBody arrived =
    CommandArrived{ kExchange, CommandId{ 0x1f }, "ana", 3, SetLimit{ "dispatch", 5 } };
  cr_assert(std::holds_alternative<EventBody>(command));
  cr_expect(std::get<EventBody>(command) == arrived);
  const AdminResult query = HandleRequest(state, "GET", "/control/v1/inforce?version=4");
  cr_assert(std::holds_alternative<EventBody>(query));
  cr_expect(std::get<EventBody>(query) == EventBody(InForceQueried{ kExchange, 4 }));
}

Test(admin_api, documents)
{
  const NodeState state = MakeBusyState();
  const auto get = [&](const char* aName) {
    const AdminReply reply = ReplyTo(state, "GET", std::string("/control/v1/") + aName);
    cr_expect_eq(reply.status_, 200, "%s", aName);
    cr_expect_eq(reply.contentType_, "application/json", "%s", aName);
    return reply.body_;
  };
  const auto services = ParseServicesDocument(get("services"));
  cr_assert(services && services->services_.size() == 1 && services->version_ == 4);
  const auto members = ParseMembersDocument(get("members"));
  cr_assert(members && members->members_.size() == 1);
  cr_expect(members->members_[0].address_ == "127.0.0.1:7001" &&
            members->members_[0].configVersion_ == 4);
  const ConfigDocument config{ 4, 9, state.log_.complete_, { "127.0.0.1:9001" } };
  cr_expect(ParseConfigDocument(get("config")) == config);
  const auto load = ParseLoadDocument(get("load"));
  cr_expect(load && load->connections_ == 212);
  NodeState spilling = state;
  spilling.routing_.spill_.settings_.maxPercent_ = 40;
  spilling.routing_.spill_.services_["pricing"].destinations_["b"].share_ = 0.25;
  spilling.counters_.spills_[{ "pricing", "b", SpillReason::kOverload }] = { 7, 700 };
  spilling.counters_.refusedSpills_[{ "pricing", "b" }] = 2;
  const SpillDocument spill{ "40",
                             { { "pricing", "b", 250, 2 } },
                             { { "pricing", "b", "overload", 7, 700 } } };
  cr_expect(ParseSpillDocument(ReplyTo(spilling, "GET", "/control/v1/spill").body_) == spill);
  const auto shed = ParseShedDocument(get("shed"));
  cr_expect(shed && shed->counts_.size() == 1 && shed->counts_[0].count_ == 3 &&
            shed->counts_[0].side_ == "inbound");
}

Test(admin_api, audit_trail_is_cut_to_the_latest)
{
  const struct
  {
    const char* query_;
    std::size_t count_;
  } cases[] = { { "", 20 },       { "?last=", 20 },   { "?last=1", 1 },
                { "?last=0", 0 }, { "?last=30", 30 }, { "?last=18446744073709551615", 30 } };
  for (const auto& row : cases) {
    const auto reply =
      ReplyTo(MakeBusyState(), "GET", std::string("/control/v1/audit") + row.query_);
    const auto audit = ParseAuditDocument(reply.body_);
    cr_assert(audit && audit->entries_.size() == row.count_, "%s", row.query_);
    cr_expect(audit->entries_.empty() || audit->entries_.back().commandId_ == CommandId{ 30 });
  }
}

Test(admin_api, outcome_of_a_command)
{
  const auto ask = [](const char* aId) {
    const auto reply =
      ReplyTo(MakeBusyState(), "GET", std::string("/control/v1/command?id=") + aId);
    return ParseCommandReply(reply.body_);
  };
  const CommandReply accepted{ ReplyOutcome::kAccepted, 30, 130, "" };
  const CommandReply unknown{ ReplyOutcome::kUnknown, 4, 0, "no command with this id" };
  cr_expect(ask("1E") == accepted);
  cr_expect(ask("ff") == unknown);
}

/** Offsets count from the first refusal of the root request; those of other root requests are
 * excluded. */
Test(admin_api, refusals_of_a_root_request)
{
  const auto reply = ReplyTo(MakeBusyState(), "GET", "/control/v1/why?click=click%201");
  const auto why = ParseWhyDocument(reply.body_);
  cr_assert(why && why->rootRequestId_ == "click 1" && why->decisions_.size() == 2);
  cr_expect_eq(why->decisions_[0].offsetUs_, 0U);
  cr_expect_eq(why->decisions_[1].offsetUs_, 2'000'000U);
  cr_expect(why->decisions_[1].reason_ == Reason::kShedByQueue);
}

Test(admin_api, readiness)
{
  const struct
  {
    std::uint64_t version_;
    bool healthy_;
    bool stopping_;
    const char* answer_;
  } cases[] = {
    { 0, true, false, "not ready: no configuration\n" },
    { 4, false, false, "not ready: backend server does not answer\n" },
    { 4, true, true, "not ready: draining\n" },
    { 4, true, false, "ready\n" },
  };
  for (const auto& row : cases) {
    NodeState state = MakeTestState();
    state.log_.state_.config_.version_ = row.version_;
    state.lifecycle_.backendHealthy_ = row.healthy_;
    if (row.stopping_) {
      state.lifecycle_.phase_ = LifecyclePhase::kDraining;
    }
    const AdminReply reply = ReplyTo(state, "GET", "/readyz");
    cr_expect_eq(reply.body_, row.answer_);
    cr_expect_eq(reply.status_, reply.body_ == "ready\n" ? 200 : 503, "%s", row.answer_);
    cr_expect_eq(ReplyTo(state, "GET", "/healthz").status_, 200);
  }
}
