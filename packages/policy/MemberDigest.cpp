#include "policy/MemberDigest.h"

#include "policy/GossipQueue.h"
#include "policy/MovedIncarnations.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

namespace fulmarway {

namespace {

constexpr char kAskPrefix = '?';
constexpr char kReachPrefix = '!';
constexpr char kBucketPrefix = '#';
/** Buckets of a large failure domain. At 112 nodes the hashes take 0.4 KB and the summaries of one
 * bucket 0.2 KB, against 2.6 KB for the summaries of the whole domain. */
constexpr std::string_view kBucketNames = "0123456789abcdef";
constexpr std::size_t kSummariesPerMessage = 50;
constexpr std::size_t kNodesPerRequest = 120;
/** Limit of failure domains per exchange, so that their summaries leave enough of the allowance for
 * records. */
constexpr std::size_t kDomainsPerExchange = 2;
/** Part of the retention time during which records of dead and left members are offered. */
constexpr int kOfferPercent = 80;

/** Hash of one record; digests sum it over the members that may run. It omits the state: a node
 * that changes its own state raises the sequence, and suspicion stays inside a failure domain. */
std::uint64_t
HashOf(const MemberRecord& aRecord)
{
  std::uint64_t hash = aRecord.identity_.id_.value_ * 0x9E3779B97F4A7C15ULL;
  for (const std::uint64_t part :
       { aRecord.identity_.generation_, std::uint64_t{ aRecord.sequence_ } }) {
    hash = (hash ^ (hash >> 32) ^ part) * 0xBF58476D1CE4E5B9ULL;
  }
  return hash ^ (hash >> 29);
}

using Digests = std::map<std::string, std::uint64_t>;

Digests
DigestsByDomain(const MembershipState& aState)
{
  Digests digests;
  const auto add = [&](const MemberRecord& aRecord) {
    if (MayRun(aRecord.state_)) {
      digests[aRecord.identity_.domain_] += HashOf(aRecord);
    }
  };
  add(aState.self_);
  for (const auto& [id, entry] : aState.members_) {
    add(entry.record_);
  }
  return digests;
}

std::uint64_t
DigestOfAll(const MembershipState& aState)
{
  std::uint64_t sum = MayRun(aState.self_.state_) ? HashOf(aState.self_) : 0;
  for (const auto& [id, entry] : aState.members_) {
    sum += MayRun(entry.record_.state_) ? HashOf(entry.record_) : 0;
  }
  return sum;
}

/** Key of the bucket that holds the record: prefix, bucket name, domain. */
std::string
BucketOf(const MemberRecord& aRecord)
{
  const std::size_t bucket = aRecord.identity_.id_.value_ % kBucketNames.size();
  return std::string{ kBucketPrefix, kBucketNames[bucket] } + aRecord.identity_.domain_;
}

std::string
DomainOfBucket(const std::string& aBucket)
{
  return aBucket.substr(std::min<std::size_t>(2, aBucket.size()));
}

DigestExchange
ListOf(const Digests& aDigests)
{
  DigestExchange list;
  for (const auto& [domain, hash] : aDigests) {
    list.digests_.push_back({ domain, hash });
  }
  return list;
}

RecordSummary
SummaryOf(const MemberRecord& aRecord)
{
  return {
    aRecord.identity_.id_, aRecord.identity_.generation_, aRecord.sequence_, aRecord.state_
  };
}

bool
IsOffered(const MembershipTurn& aTurn, const MemberEntry& aEntry)
{
  return MayRun(aEntry.record_.state_) ||
         aTurn.now_ - aEntry.changedAt_ < aTurn.state_.settings_.forgetAfter_ * kOfferPercent / 100;
}

/** Hashes of the buckets of one domain. A bucket that only holds offered records of dead and left
 * members has the hash 0, so that a node without these records requests them. */
Digests
DigestsByBucket(const MembershipTurn& aTurn, const std::string& aDomain)
{
  Digests digests;
  const auto add = [&](const MemberRecord& aRecord) {
    if (aRecord.identity_.domain_ == aDomain) {
      digests[BucketOf(aRecord)] += MayRun(aRecord.state_) ? HashOf(aRecord) : 0;
    }
  };
  add(aTurn.state_.self_);
  for (const auto& [id, entry] : aTurn.state_.members_) {
    if (IsOffered(aTurn, entry)) {
      add(entry.record_);
    }
  }
  return digests;
}

/** Whether the summaries of the domain need more than one message. */
bool
IsLarge(const MembershipState& aState, const std::string& aDomain)
{
  const auto size =
    std::count_if(aState.members_.begin(), aState.members_.end(), [&](const auto& aMember) {
      return aMember.second.record_.identity_.domain_ == aDomain;
    });
  return static_cast<std::size_t>(size) >= kSummariesPerMessage;
}

/** Sends the summaries of the domains and buckets in aParts. */
void
SendSummaries(MembershipTurn& aTurn,
              const std::string& aAddress,
              const std::set<std::string>& aParts)
{
  std::vector<RecordSummary> summaries;
  const auto isAsked = [&](const MemberRecord& aRecord) {
    return aParts.contains(aRecord.identity_.domain_) || aParts.contains(BucketOf(aRecord));
  };
  if (isAsked(aTurn.state_.self_)) {
    summaries.push_back(SummaryOf(aTurn.state_.self_));
  }
  for (const auto& [id, entry] : aTurn.state_.members_) {
    if (isAsked(entry.record_) && IsOffered(aTurn, entry)) {
      summaries.push_back(SummaryOf(entry.record_));
    }
  }
  for (std::size_t from = 0; from < summaries.size(); from += kSummariesPerMessage) {
    const std::size_t to = std::min(from + kSummariesPerMessage, summaries.size());
    GossipMessage message =
      MakeMessage(aTurn.state_,
                  SummaryExchange{ { summaries.begin() + static_cast<std::ptrdiff_t>(from),
                                     summaries.begin() + static_cast<std::ptrdiff_t>(to) } });
    if (!TakeTableBytes(aTurn, EstimateBytes(message))) {
      return;
    }
    SendMessage(aTurn, aAddress, std::move(message));
  }
}

void
AnswerDigestOfAll(MembershipTurn& aTurn, const GossipMessage& aMessage, std::uint64_t aHash)
{
  MembershipState& state = aTurn.state_;
  const bool equal = DigestOfAll(state) == aHash;
  const auto sender = state.members_.find(aMessage.sender_);
  const bool sameDomain = sender != state.members_.end() &&
                          sender->second.record_.identity_.domain_ == state.self_.identity_.domain_;
  if (equal && sender != state.members_.end()) {
    const auto domain = state.domains_.find(sender->second.record_.identity_.domain_);
    if (domain != state.domains_.end()) {
      domain->second.agreedAt_ = aTurn.now_;
      domain->second.agreedHash_ = aHash;
    }
  }
  if (!equal && MayReconcile(aTurn)) {
    SendMessage(aTurn, aMessage.senderAddress_, MakeMessage(state, ListOf(DigestsByDomain(state))));
  }
  if (sameDomain && state.delegateSince_) {
    SendReach(aTurn, aMessage.senderAddress_);
  } else if (equal || !MayReconcile(aTurn)) {
    SendMessage(aTurn, aMessage.senderAddress_, MakeMessage(state, CarrierOf(state)));
  }
}

/** Domains or buckets whose hash differs or that only one side has. */
std::vector<std::string>
DifferingParts(const Digests& aOwn, const Digests& aTheirs)
{
  std::vector<std::string> differing;
  for (const auto& [domain, hash] : aTheirs) {
    const auto mine = aOwn.find(domain);
    if (mine == aOwn.end() || mine->second != hash) {
      differing.push_back(domain);
    }
  }
  for (const auto& [domain, hash] : aOwn) {
    if (!aTheirs.contains(domain)) {
      differing.push_back(domain);
    }
  }
  return differing;
}

/** Selects up to kDomainsPerExchange domains that differ: the local one first, others at random. */
std::set<std::string>
DomainsToReconcile(MembershipState& aState, const Digests& aOwn, const Digests& aTheirs)
{
  const std::vector<std::string> differing = DifferingParts(aOwn, aTheirs);
  std::set<std::string> chosen;
  const std::string& ownDomain = aState.self_.identity_.domain_;
  if (std::find(differing.begin(), differing.end(), ownDomain) != differing.end()) {
    chosen.insert(ownDomain);
  }
  while (chosen.size() < std::min(kDomainsPerExchange, differing.size())) {
    chosen.insert(differing[NextRandom(aState) % differing.size()]);
  }
  return chosen;
}

/** Sends the summaries of the parts to the sender and requests its summaries of the same parts. */
void
ExchangeSummaries(MembershipTurn& aTurn,
                  const GossipMessage& aMessage,
                  const std::set<std::string>& aParts,
                  const Digests& aTheirs)
{
  DigestExchange ask;
  for (const std::string& part : aParts) {
    if (aTheirs.contains(part)) {
      ask.digests_.push_back({ kAskPrefix + part, 0 });
    }
  }
  if (!ask.digests_.empty()) {
    SendMessage(aTurn, aMessage.senderAddress_, MakeMessage(aTurn.state_, std::move(ask)));
  }
  SendSummaries(aTurn, aMessage.senderAddress_, aParts);
}

void
CompareDomains(MembershipTurn& aTurn, const GossipMessage& aMessage, const Digests& aTheirs)
{
  if (!MayReconcile(aTurn)) {
    return;
  }
  const Digests own = DigestsByDomain(aTurn.state_);
  const std::set<std::string> chosen = DomainsToReconcile(aTurn.state_, own, aTheirs);
  std::set<std::string> whole;
  for (const std::string& domain : chosen) {
    if (aTheirs.contains(domain) && IsLarge(aTurn.state_, domain)) {
      DigestExchange buckets = ListOf(DigestsByBucket(aTurn, domain));
      SendMessage(aTurn, aMessage.senderAddress_, MakeMessage(aTurn.state_, std::move(buckets)));
    } else {
      whole.insert(domain);
    }
  }
  ExchangeSummaries(aTurn, aMessage, whole, aTheirs);
}

void
CompareBuckets(MembershipTurn& aTurn, const GossipMessage& aMessage, const Digests& aTheirs)
{
  if (!MayReconcile(aTurn)) {
    return;
  }
  std::set<std::string> domains;
  for (const auto& [bucket, hash] : aTheirs) {
    domains.insert(DomainOfBucket(bucket));
  }
  Digests own;
  for (const std::string& domain : domains) {
    own.merge(DigestsByBucket(aTurn, domain));
  }
  const std::vector<std::string> differing = DifferingParts(own, aTheirs);
  ExchangeSummaries(aTurn, aMessage, { differing.begin(), differing.end() }, aTheirs);
}

void
AdoptReach(MembershipTurn& aTurn, const GossipMessage& aMessage, const Digests& aUnreachable)
{
  MembershipState& state = aTurn.state_;
  const std::vector<NodeId> delegates = DelegatesOf(state, state.self_.identity_.domain_);
  if (state.delegateSince_ ||
      std::find(delegates.begin(), delegates.end(), aMessage.sender_) == delegates.end()) {
    return;
  }
  for (auto& [domain, reach] : state.domains_) {
    const auto listed = aUnreachable.find(domain);
    reach.reported_ = MemberState::kAlive;
    if (listed != aUnreachable.end()) {
      reach.reported_ = listed->second == static_cast<std::uint64_t>(MemberState::kDead)
                          ? MemberState::kDead
                          : MemberState::kSuspect;
    }
  }
  for (auto& [id, entry] : state.members_) {
    RefreshView(aTurn, entry);
  }
}

/** Records to send to the peer and ids to request from it, after comparing its summaries. */
struct SummaryAnswer
{
  std::vector<MemberRecord> push_;
  std::vector<NodeId> ask_;
};

void
AnswerOwnSummary(MembershipTurn& aTurn, const RecordSummary& aSummary)
{
  MemberRecord seen = aTurn.state_.self_;
  seen.identity_.generation_ = aSummary.generation_;
  seen.sequence_ = aSummary.sequence_;
  seen.state_ = aSummary.state_;
  MergeRecord(aTurn, seen, RecordSource::kTable);
}

void
CompareSummary(MembershipTurn& aTurn, const RecordSummary& aSummary, SummaryAnswer& aAnswer)
{
  MembershipState& state = aTurn.state_;
  if (aSummary.node_ == state.self_.identity_.id_) {
    AnswerOwnSummary(aTurn, aSummary);
    return;
  }
  const auto known = state.members_.find(aSummary.node_);
  if (known == state.members_.end()) {
    if (aSummary.state_ != MemberState::kDead) {
      aAnswer.ask_.push_back(aSummary.node_);
    }
    return;
  }
  const MemberRecord& record = known->second.record_;
  const auto mine = std::tie(record.identity_.generation_, record.sequence_, record.state_);
  const auto theirs = std::tie(aSummary.generation_, aSummary.sequence_, aSummary.state_);
  if (mine > theirs) {
    aAnswer.push_.push_back(CurrentRecord(state, known->second, aTurn.now_));
  } else if (mine < theirs) {
    const bool failed =
      aSummary.state_ == MemberState::kSuspect || aSummary.state_ == MemberState::kDead;
    if (failed && aSummary.generation_ == record.identity_.generation_) {
      MemberRecord changed = record;
      changed.sequence_ = aSummary.sequence_;
      changed.state_ = aSummary.state_;
      MergeRecord(aTurn, changed, RecordSource::kTable);
    } else {
      aAnswer.ask_.push_back(aSummary.node_);
    }
  }
}

} // namespace

void
SendDigest(MembershipTurn& aTurn, const std::string& aAddress)
{
  DigestExchange digest{ { { "", DigestOfAll(aTurn.state_) } } };
  SendMessage(aTurn, aAddress, MakeMessage(aTurn.state_, std::move(digest)));
}

bool
HasAgreed(const MembershipTurn& aTurn, const DomainReach& aDomain, Duration aWithin)
{
  return aDomain.agreedAt_ && aTurn.now_ - *aDomain.agreedAt_ < aWithin &&
         DigestOfAll(aTurn.state_) == aDomain.agreedHash_;
}

void
SendReach(MembershipTurn& aTurn, const std::string& aAddress)
{
  DigestExchange list{ { { std::string(1, kReachPrefix), 0 } } };
  for (const auto& [domain, unused] : aTurn.state_.domains_) {
    const MemberState reach = ReachOf(aTurn.state_, domain, aTurn.now_);
    if (reach != MemberState::kAlive) {
      list.digests_.push_back({ kReachPrefix + domain, static_cast<std::uint64_t>(reach) });
    }
  }
  SendMessage(aTurn, aAddress, MakeMessage(aTurn.state_, std::move(list)));
}

void
HandleDigests(MembershipTurn& aTurn, const GossipMessage& aMessage, const DigestExchange& aBody)
{
  Digests byDomain;
  Digests byBucket;
  Digests unreachable;
  std::set<std::string> asked;
  bool hasReach = false;
  for (const DomainDigest& digest : aBody.digests_) {
    if (digest.domain_.empty()) {
      AnswerDigestOfAll(aTurn, aMessage, digest.hash_);
    } else if (digest.domain_.front() == kAskPrefix) {
      asked.insert(digest.domain_.substr(1));
    } else if (digest.domain_.front() == kReachPrefix) {
      hasReach = true;
      unreachable[digest.domain_.substr(1)] = digest.hash_;
    } else if (digest.domain_.front() == kBucketPrefix) {
      byBucket[digest.domain_] = digest.hash_;
    } else {
      byDomain[digest.domain_] = digest.hash_;
    }
  }
  if (hasReach) {
    AdoptReach(aTurn, aMessage, unreachable);
  }
  if (!byDomain.empty()) {
    CompareDomains(aTurn, aMessage, byDomain);
  }
  if (!byBucket.empty()) {
    CompareBuckets(aTurn, aMessage, byBucket);
  }
  if (!asked.empty() && MayReconcile(aTurn)) {
    SendSummaries(aTurn, aMessage.senderAddress_, asked);
  }
}

void
HandleSummaries(MembershipTurn& aTurn, const GossipMessage& aMessage, const SummaryExchange& aBody)
{
  SummaryAnswer answer;
  for (const RecordSummary& summary : aBody.summaries_) {
    CompareSummary(aTurn, summary, answer);
  }
  SendRecords(aTurn, aMessage.senderAddress_, answer.push_);
  for (std::size_t from = 0; from < answer.ask_.size(); from += kNodesPerRequest) {
    const std::size_t to = std::min(from + kNodesPerRequest, answer.ask_.size());
    SendMessage(
      aTurn,
      aMessage.senderAddress_,
      MakeMessage(aTurn.state_,
                  RecordsRequest{ { answer.ask_.begin() + static_cast<std::ptrdiff_t>(from),
                                    answer.ask_.begin() + static_cast<std::ptrdiff_t>(to) } }));
  }
}

void
HandleRecordsRequest(MembershipTurn& aTurn,
                     const GossipMessage& aMessage,
                     const RecordsRequest& aBody)
{
  const MembershipState& state = aTurn.state_;
  std::vector<MemberRecord> records;
  for (const NodeId id : aBody.nodes_) {
    const auto member = state.members_.find(id);
    if (id == aMessage.sender_) {
      // A node that may have missed planned stops requests the record of its own id.
      const std::vector<MemberRecord> moves = MovesToOffer(state, aTurn.now_);
      records.insert(records.end(), moves.begin(), moves.end());
    } else if (id == state.self_.identity_.id_) {
      records.push_back(state.self_);
    } else if (member != state.members_.end()) {
      records.push_back(CurrentRecord(state, member->second, aTurn.now_));
    }
  }
  SendRecords(aTurn, aMessage.senderAddress_, records);
}

} // namespace fulmarway
