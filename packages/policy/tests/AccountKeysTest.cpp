/** \file
 * Tests which requests a node accepts by the keys of client accounts, and what it passes on of
 * them.
 */
#include "policy/AccountKeys.h"
#include "policy/CallerRequests.h"
#include "policy/tests/RoutedSimulation.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::test;

namespace {

const std::vector<HeaderField> kAccountFields{ { "Authorization", "Bearer k-anna" },
                                               { "Account", "forged" } };

/** MakeRoutedConfiguration() with two accounts, of which "bert" is critical, and a public route. */
Configuration
MakeAccountConfiguration(std::uint64_t aVersion)
{
  Configuration configuration = MakeRoutedConfiguration(aVersion);
  RouteSpec route = configuration.routes_.front();
  route.prefix_ = "/public/";
  route.public_ = true;
  configuration.routes_.push_back(route);
  SortRoutes(configuration.routes_);
  configuration.accounts_ = {
    { "anna", { "k-anna", "k-anna-2" }, std::nullopt, 0, 0 },
    { "bert", { "k-bert" }, Importance::kCritical, 0, 0 },
  };
  return configuration;
}

CallerRequest
MakeCallerRequest(const std::string& aUri, std::optional<std::string> aKey)
{
  static std::uint64_t next = 0;
  CallerRequest request;
  request.rootRequestId_ = "request-" + std::to_string(++next);
  request.deadline_ = std::chrono::seconds(5);
  request.key_ = std::move(aKey);
  request.accountFields_ = kAccountFields;
  request.routed_ = RoutedPart{ "host", aUri, { { "X-Own", "1" } }, "", *request.rootRequestId_ };
  return request;
}

/** The reply to the request; nullopt while it runs. */
std::optional<CallerReply>
Send(RoutedSimulation& aSimulation, const CallerRequest& aRequest)
{
  static std::uint64_t next = 5000;
  const ExchangeId exchange{ ++next };
  aSimulation.Inject(0, CallerRequestArrived{ exchange, aRequest });
  return aSimulation.ReplyTo(0, exchange);
}

} // namespace

/** Guards against requests that run without a valid key, that run as another account, or that are
 * refused although they need no key; and against keys and forged accounts at backend servers. */
Test(account_keys, requests_by_key_and_route)
{
  const struct
  {
    const char* uri_;
    std::optional<std::string> key_;
    bool fromBackend_;
    std::optional<Reason> refusal_;
    const char* account_;
    Importance importance_;
  } cases[] = {
    { "/safe/1", "k-anna", false, std::nullopt, "anna", Importance::kNormal },
    { "/unsafe/1", "k-anna-2", false, std::nullopt, "anna", Importance::kNormal },
    { "/safe/1", "k-bert", false, std::nullopt, "bert", Importance::kCritical },
    { "/safe/1", "K-anna", false, Reason::kUnknownKey, "", Importance::kNormal },
    { "/safe/1", "k-ann", false, Reason::kUnknownKey, "", Importance::kNormal },
    { "/safe/1", "", false, Reason::kUnknownKey, "", Importance::kNormal },
    { "/safe/1", std::nullopt, false, Reason::kUnknownKey, "", Importance::kNormal },
    { "/nowhere/1", "k-anna", false, Reason::kUnknownKind, "", Importance::kNormal },
    { "/public/1", std::nullopt, false, std::nullopt, "", Importance::kNormal },
    { "/public/1", "k-bert", false, std::nullopt, "", Importance::kNormal },
    { "/safe/1", std::nullopt, true, std::nullopt, "", Importance::kNormal },
    { "/safe/1", "unknown", true, std::nullopt, "", Importance::kNormal },
  };
  for (const auto& row : cases) {
    RoutedSimulation simulation(1);
    simulation.Configure(0, MakeAccountConfiguration(2));
    CallerRequest request = MakeCallerRequest(row.uri_, row.key_);
    request.fromBackend_ = row.fromBackend_;
    const auto reply = Send(simulation, request);
    const std::string name = std::string(row.uri_) + " " + row.key_.value_or("no key");
    cr_expect_eq(reply.has_value(), row.refusal_.has_value(), "%s", name.c_str());
    const auto sent = simulation.BackendRequests();
    cr_assert_eq(sent.size(), row.refusal_ ? 0U : 1U, "%s", name.c_str());
    simulation.Inject(0, CallerBodyAnnounced{ ExchangeId{ 9000 }, request, 10 });
    const auto early = simulation.ReplyTo(0, ExchangeId{ 9000 });
    cr_expect_eq(early.has_value(), row.refusal_.has_value(), "%s, announced", name.c_str());
    if (row.refusal_) {
      const Refusal expected{ Verdict::kNotRun, *row.refusal_, std::nullopt };
      cr_expect(reply->outcome_ == expected && early->outcome_ == expected, "%s", name.c_str());
      continue;
    }
    const Request& backend = sent.front().second.request_;
    cr_expect(backend.routed_->account_ == row.account_, "%s", name.c_str());
    cr_expect(backend.importance_ == row.importance_, "%s", name.c_str());
    const std::vector<HeaderField> own{ { "X-Own", "1" } };
    cr_expect(backend.routed_->headers_ == own, "%s", name.c_str());
    const OutboundCall& call = simulation.nodes_[0].outbound_.calls_.begin()->second;
    cr_expect(!call.origin_.key_ && call.origin_.accountFields_.empty(), "%s", name.c_str());
  }
}

/** Guards against callers on the VM of the backend server that are taken for it, so that their keys
 * are not checked. */
Test(account_keys, caller_with_a_key_is_not_the_backend_server)
{
  CallerRequest request = MakeCallerRequest("/safe/1", "k-anna");
  request.callerAddress_ = "10.0.0.1";
  cr_expect_not(IsBackendCall(request, "10.0.0.1"));
  request.key_ = "";
  cr_expect_not(IsBackendCall(request, "10.0.0.1"), "unreadable key");
  request.key_.reset();
  cr_expect(IsBackendCall(request, "10.0.0.1"));
  cr_expect_not(IsBackendCall(request, "10.0.0.2"));
}

/** Guards against fields of clients that get lost where there are no accounts, and against keys
 * that are asked for there. */
Test(account_keys, fields_pass_through_without_accounts)
{
  RoutedSimulation simulation(1);
  cr_expect_not(Send(simulation, MakeCallerRequest("/safe/1", "any")).has_value());
  std::vector<HeaderField> expected{ { "X-Own", "1" } };
  expected.insert(expected.end(), kAccountFields.begin(), kAccountFields.end());
  const Request request = simulation.BackendRequests().front().second.request_;
  cr_expect(request.routed_->headers_ == expected);
  cr_expect(request.routed_->account_.empty());
}

/** Guards against keys of a version that is no longer in effect, and against a node without a
 * configuration that denies a key. */
Test(account_keys, version_in_effect_on_arrival_decides)
{
  RoutedSimulation simulation(1);
  Configuration configuration = MakeAccountConfiguration(2);
  const auto isRefused = [&](const std::string& aKey) {
    const auto reply = Send(simulation, MakeCallerRequest("/safe/1", aKey));
    return reply && reply->outcome_.reason_ == Reason::kUnknownKey;
  };
  simulation.Configure(0, configuration);
  cr_expect(!isRefused("k-anna") && isRefused("k-new"));
  configuration.version_ = 3;
  configuration.accounts_->front().keys_ = { "k-new" };
  simulation.Configure(0, configuration);
  cr_expect(isRefused("k-anna") && isRefused("k-anna-2") && !isRefused("k-new"));
  configuration.version_ = 4;
  configuration.accounts_->clear();
  simulation.Configure(0, configuration);
  cr_expect(isRefused("k-new") && isRefused("k-bert"), "an empty list of accounts");
  configuration.version_ = 5;
  configuration.accounts_.reset();
  simulation.Configure(0, configuration);
  cr_expect(!isRefused("k-anna"));
  simulation.nodes_[0].log_ = {};
  const auto reply = Send(simulation, MakeCallerRequest("/safe/1", "k-anna"));
  cr_expect(reply->outcome_.reason_ == Reason::kNoConfiguration);
}

/** Guards against a key that changes its account with the seed, when two accounts have it. */
Test(account_keys, earlier_account_keeps_a_key_that_two_have)
{
  const std::vector<AccountSpec> accounts{ { "anna", { "a", "a", "" } }, { "bert", { "b", "a" } } };
  for (const std::uint64_t seed : { 0, 1, 2, 3 }) {
    const AccountKeys keys = MakeAccountKeys(accounts, seed);
    cr_expect_eq(FindAccount(keys, accounts, "a"), &accounts[0]);
    cr_expect_eq(FindAccount(keys, accounts, "b"), &accounts[1]);
    cr_expect_null(FindAccount(keys, accounts, ""));
    cr_expect(keys.accountsWithTakenKeys_ == std::vector<std::size_t>{ 1 });
  }
}

/** Guards against keys in the log. */
Test(account_keys, log_names_accounts_but_no_keys)
{
  RoutedSimulation simulation(1);
  Configuration configuration = MakeAccountConfiguration(2);
  configuration.accounts_->back().keys_.push_back("k-anna");
  simulation.Configure(0, configuration);
  Send(simulation, MakeCallerRequest("/safe/1", "k-unknown"));
  bool isNamed = false;
  for (const LogLine& line : simulation.Effects<LogLine>(0)) {
    for (const auto& [name, value] : line.fields_) {
      cr_expect(value.find("k-") == std::string::npos, "%s", line.event_.c_str());
      isNamed = isNamed || (line.event_ == "account_key_taken" && value == "bert");
    }
  }
  cr_expect(isNamed);
}
