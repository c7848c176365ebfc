/** \file
 * Guards against long bodies that are accepted although the process has no room for them, and
 * against short requests that are refused because of them.
 */
#include "policy/RequestMemory.h"
#include "policy/tests/RoutedSimulation.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::test;

namespace {

constexpr std::size_t kLongBody = std::size_t{ 1 } << 20;

/** A call for the backend server beside the node. */
LinkMessageArrived
MakeCall(const RoutedSimulation& aWorld, std::size_t aBodyBytes)
{
  CallRequest call;
  call.attempt_ = AttemptId{ 1 };
  call.request_.service_ = aWorld.nodes_[0].settings_.identity_.service_;
  call.request_.body_ = std::string(aBodyBytes, 'x');
  call.request_.routed_ = RoutedPart{};
  call.remaining_ = std::chrono::seconds(1);
  return { LinkId{ 1 }, NodeId{ 7 }, call };
}

/** The effects of a call for the backend server beside the node, while aFreeBytes are free. */
Effects
OfferCall(const RoutedSimulation& aWorld, std::size_t aBodyBytes, std::size_t aFreeBytes)
{
  Event event{ aWorld.now_, 1, 0, MakeCall(aWorld, aBodyBytes) };
  event.freeBytes_ = aFreeBytes;
  return Reduce(aWorld.nodes_[0], event).result_;
}

bool
IsRefused(const Effects& aEffects)
{
  return std::any_of(aEffects.begin(), aEffects.end(), [](const Effect& aEffect) {
    const auto* sent = std::get_if<SendToLink>(&aEffect);
    const auto* refused = sent == nullptr ? nullptr : std::get_if<CallRefused>(&sent->message_);
    return refused != nullptr && refused->refusal_.verdict_ == Verdict::kNotRun &&
           refused->refusal_.reason_ == Reason::kShedByQueue;
  });
}

} // namespace

Test(request_memory, long_bodies_are_refused_without_room_and_short_ones_are_not)
{
  RoutedSimulation world(1);
  cr_expect(IsRefused(OfferCall(world, kLongBody, 2 * kLongBody)));
  cr_expect_not(IsRefused(OfferCall(world, kLongBody, 4 * kLongBody)));
  cr_expect_not(IsRefused(OfferCall(world, 1000, 0)));
}

/** Guards against short requests without a bound on their sum. */
Test(request_memory, short_requests_are_refused_when_their_reserve_is_used_up)
{
  RoutedSimulation world(1);
  Event event{ world.now_, 1, 0, MakeCall(world, 1000) };
  event.freeBytesWithReserve_ = 999;
  cr_expect(IsRefused(Reduce(world.nodes_[0], event).result_));
}

/** Guards against header fields that are in no account: 16 KB of them with each of thousands of
 * requests take the memory of the VM. */
Test(request_memory, header_fields_of_accepted_requests_are_counted)
{
  constexpr std::size_t kFieldBytes = 15'000;
  RoutedSimulation world(1);
  LinkMessageArrived arrived = MakeCall(world, 0);
  std::get<CallRequest>(arrived.message_).request_.routed_->headers_ = {
    { "X", std::string(kFieldBytes, 'x') }
  };
  world.Inject(0, arrived);
  cr_expect_geq(CountRequestBytes(world.nodes_[0]), kFieldBytes);
}

/** Guards against bodies that are in no account. */
Test(request_memory, bodies_of_accepted_requests_are_counted)
{
  RoutedSimulation world(1);
  cr_expect_eq(CountRequestBytes(world.nodes_[0]), 0U);
  world.Inject(0, MakeCall(world, kLongBody));
  cr_expect_eq(CountRequestBytes(world.nodes_[0]), kLongBody);
}

/** Guards against a body that is held once for the call and once for the request to the backend
 * server beside the node. */
Test(request_memory, body_is_held_once_for_all_that_refer_to_it)
{
  RoutedSimulation world(1);
  CallerRequest request;
  request.method_ = "POST";
  request.body_ = std::string(kLongBody, 'x');
  request.routed_ = RoutedPart{ "host", "/safe/1", {}, "", "id" };
  Event event{ world.now_, 1, 0, CallerRequestArrived{ ExchangeId{ 1 }, std::move(request) } };
  event.freeBytes_ = 4 * kLongBody;
  const NodeState after = Reduce(world.nodes_[0], event).state_;
  cr_assert_eq(after.outbound_.calls_.size(), 1U);
  cr_assert_eq(after.inbound_.requests_.size(), 1U);
  const Request& held = after.outbound_.calls_.begin()->second.request_;
  const std::size_t fields = 2 * (RequestBytes(held) - kLongBody);
  cr_expect_eq(CountRequestBytes(after), kLongBody + fields);
}
