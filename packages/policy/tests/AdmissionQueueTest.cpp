/** \file
 * Guards against a queue that serves or displaces requests in the wrong order or exceeds its
 * bounds.
 */
#include "AdmissionFixture.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

struct OfferCase
{
  const char* name_;
  std::vector<Arrival> queued_;
  Arrival arrival_;
  /** Id of the request that is shed; 0 for none. */
  std::uint64_t shed_;
};

} // namespace

/** Shed is the request with the highest rank, which depends on the class, then the bucket of the
 * root request (see AdmissionRank()). Among equal ranks it is the arrival, otherwise the last in
 * the queue. The bucket of all requests in this test is the same. */
Test(admission_queue, who_is_shed_when_the_queue_is_full)
{
  const OfferCase cases[] = {
    { "critical displaces the highest rank with the latest deadline",
      { MakeArrival(1, Importance::kLow, 500),
        MakeArrival(2, Importance::kLow, 900),
        MakeArrival(3, Importance::kNormal, 950) },
      MakeArrival(4, Importance::kCritical, 600),
      2 },
    { "an equal rank displaces nothing",
      { MakeArrival(1, Importance::kHigh, 500),
        MakeArrival(2, Importance::kHigh, 900),
        MakeArrival(3, Importance::kHigh, 950) },
      MakeArrival(4, Importance::kHigh, 400),
      4 },
    { "an arrival with the highest rank is refused",
      { MakeArrival(1, Importance::kCritical, 500),
        MakeArrival(2, Importance::kHigh, 900),
        MakeArrival(3, Importance::kNormal, 950) },
      MakeArrival(4, Importance::kLow, 400),
      4 },
    { "critical is refused only when all queued requests are critical",
      { MakeArrival(1, Importance::kCritical, 500),
        MakeArrival(2, Importance::kCritical, 900),
        MakeArrival(3, Importance::kCritical, 950) },
      MakeArrival(4, Importance::kCritical, 400),
      4 },
    { "room is left",
      { MakeArrival(1, Importance::kLow, 500) },
      MakeArrival(4, Importance::kLow, 400),
      0 },
  };
  for (const OfferCase& example : cases) {
    AdmissionState state = FullState({ 3, 0, 25 });
    // All but three positions are held by requests that nothing displaces.
    for (std::uint64_t id = 100; id < 100 + kMinQueueLength - 3; ++id) {
      state = Offer(std::move(state), MakeArrival(id, Importance::kCritical, 100), At(1)).state_;
    }
    for (const Arrival& arrival : example.queued_) {
      state = Offer(std::move(state), arrival, At(1)).state_;
    }
    const auto step = Offer(std::move(state), example.arrival_, At(2));
    const std::vector<ShedRequest> expected =
      example.shed_ == 0
        ? std::vector<ShedRequest>{}
        : std::vector<ShedRequest>{ { RequestId{ example.shed_ }, Reason::kShedByQueue } };
    cr_assert(step.result_.shed_ == expected, "%s", example.name_);
    cr_assert(step.result_.start_.empty(), "%s", example.name_);
    cr_assert_leq(QueuedCount(step.state_), kMinQueueLength, "%s", example.name_);
  }
}

Test(admission_queue, served_by_class_then_deadline_then_arrival)
{
  AdmissionState state = FullState({ 4, 0, 25 });
  const Arrival arrivals[] = { MakeArrival(1, Importance::kLow, 500),
                               MakeArrival(2, Importance::kHigh, 800),
                               MakeArrival(3, Importance::kHigh, 700),
                               MakeArrival(4, Importance::kHigh, 800) };
  for (const Arrival& arrival : arrivals) {
    state = Offer(std::move(state), arrival, At(1)).state_;
  }
  std::vector<std::uint64_t> order;
  for (std::uint64_t i = 0; i < 4; ++i) {
    auto step = Finish(std::move(state), RequestId{ 1000 + i }, CompletionKind::kSucceeded, At(9));
    state = std::move(step.state_);
    cr_assert_eq(step.result_.start_.size(), 1U);
    order.push_back(step.result_.start_.front().value_);
  }
  cr_assert((order == std::vector<std::uint64_t>{ 3, 2, 4, 1 }));
}

/** Guards against a full queue that sheds one call of each of many root requests, all of which then
 * fail, instead of all calls of a few. Of one class, the highest bucket has the highest rank. */
Test(admission_queue, of_one_class_the_highest_rank_is_shed)
{
  AdmissionState state = FullState({ 1, 0, 25 });
  const auto withBucket = [](std::uint64_t aId, std::uint8_t aBucket) {
    Arrival arrival = MakeArrival(aId, Importance::kNormal, 500);
    arrival.rootRequestBucket_ = aBucket;
    return arrival;
  };
  for (std::uint8_t id = 1; id <= kMinQueueLength; ++id) {
    state = Offer(std::move(state), withBucket(id, id), At(1)).state_;
  }
  auto step = Offer(std::move(state), withBucket(100, 3), At(1));
  cr_assert_eq(step.result_.shed_.size(), 1U);
  cr_expect_eq(step.result_.shed_[0].id_.value_, kMinQueueLength);
  step = Offer(std::move(step.state_), withBucket(101, 50), At(1));
  cr_assert_eq(step.result_.shed_.size(), 1U);
  cr_expect_eq(step.result_.shed_[0].id_.value_, 101U, "the arrival has the highest rank");
}

/** Guards against counting a request at each node it is offered to: an overloaded service would
 * measure a multiple of the callers' load and lower its level too far. */
Test(admission_queue, request_that_another_node_was_offered_is_not_counted_again)
{
  AdmissionState state = FullState({ 2, 0, 25 });
  const AdmissionLevelControl before = state.level_;
  Arrival arrival = MakeArrival(1, Importance::kNormal, 500);
  arrival.offeredBefore_ = true;
  state = Offer(std::move(state), arrival, At(1)).state_;
  cr_expect(state.level_.arrivals_ == before.arrivals_);
  cr_expect(IsQueued(state.queue_, arrival.id_));
}
