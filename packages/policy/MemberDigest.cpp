#include "policy/MemberDigest.h"

#include "policy/GossipQueue.h"
#include "policy/MovedIncarnations.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

namespace fulmarway {

namespace {

constexpr char kRequestPrefix = '?';
constexpr char kReachabilityPrefix = '!';
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

/** Hash of one record; digests sum it over members that may be running. It omits the state: a node
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
    if (MayBeRunning(aRecord.state_)) {
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
TableDigest(const MembershipState& aState)
{
  std::uint64_t sum = MayBeRunning(aState.self_.state_) ? HashOf(aState.self_) : 0;
  for (const auto& [id, entry] : aState.members_) {
    sum += MayBeRunning(entry.record_.state_) ? HashOf(entry.record_) : 0;
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
MakeDigestExchange(const Digests& aDigests)
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
IsOffered(const MembershipContext& aContext, const MemberEntry& aEntry)
{
  return MayBeRunning(aEntry.record_.state_) ||
         aContext.now_ - aEntry.changedAt_ <
           aContext.state_.settings_.recordRetention_ * kOfferPercent / 100;
}

/** Hashes of the buckets of one domain. A bucket that only holds offered records of dead and left
 * members has the hash 0, so that a node without these records requests them. */
Digests
DigestsByBucket(const MembershipContext& aContext, const std::string& aDomain)
{
  Digests digests;
  const auto add = [&](const MemberRecord& aRecord) {
    if (aRecord.identity_.domain_ == aDomain) {
      digests[BucketOf(aRecord)] += MayBeRunning(aRecord.state_) ? HashOf(aRecord) : 0;
    }
  };
  add(aContext.state_.self_);
  for (const auto& [id, entry] : aContext.state_.members_) {
    if (IsOffered(aContext, entry)) {
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
SendSummaries(MembershipContext& aContext,
              const std::string& aAddress,
              const std::set<std::string>& aParts)
{
  std::vector<RecordSummary> summaries;
  const auto isRequested = [&](const MemberRecord& aRecord) {
    return aParts.contains(aRecord.identity_.domain_) || aParts.contains(BucketOf(aRecord));
  };
  if (isRequested(aContext.state_.self_)) {
    summaries.push_back(SummaryOf(aContext.state_.self_));
  }
  for (const auto& [id, entry] : aContext.state_.members_) {
    if (isRequested(entry.record_) && IsOffered(aContext, entry)) {
      summaries.push_back(SummaryOf(entry.record_));
    }
  }
  for (std::size_t from = 0; from < summaries.size(); from += kSummariesPerMessage) {
    const std::size_t to = std::min(from + kSummariesPerMessage, summaries.size());
    GossipMessage message =
      MakeMessage(aContext.state_,
                  SummaryExchange{ { summaries.begin() + static_cast<std::ptrdiff_t>(from),
                                     summaries.begin() + static_cast<std::ptrdiff_t>(to) } });
    if (!DeductReconciliationBytes(aContext, EstimateBytes(message))) {
      return;
    }
    SendMessage(aContext, aAddress, std::move(message));
  }
}

void
ReplyToTableDigest(MembershipContext& aContext, const GossipMessage& aMessage, std::uint64_t aHash)
{
  MembershipState& state = aContext.state_;
  const bool equal = TableDigest(state) == aHash;
  const auto sender = state.members_.find(aMessage.sender_);
  const bool sameDomain = sender != state.members_.end() &&
                          sender->second.record_.identity_.domain_ == state.self_.identity_.domain_;
  if (equal && sender != state.members_.end()) {
    const auto domain = state.domains_.find(sender->second.record_.identity_.domain_);
    if (domain != state.domains_.end()) {
      domain->second.agreedAt_ = aContext.now_;
      domain->second.agreedHash_ = aHash;
    }
  }
  if (!equal && MayReconcile(aContext)) {
    SendMessage(aContext,
                aMessage.senderAddress_,
                MakeMessage(state, MakeDigestExchange(DigestsByDomain(state))));
  }
  if (sameDomain && state.delegateSince_) {
    SendReachability(aContext, aMessage.senderAddress_);
  } else if (equal || !MayReconcile(aContext)) {
    SendMessage(aContext, aMessage.senderAddress_, MakeMessage(state, MakeCarrierBody(state)));
  }
}

/** Domains or buckets whose hash differs or that only one side has. */
std::vector<std::string>
DifferingParts(const Digests& aLocal, const Digests& aRemote)
{
  std::vector<std::string> differing;
  for (const auto& [domain, hash] : aRemote) {
    const auto local = aLocal.find(domain);
    if (local == aLocal.end() || local->second != hash) {
      differing.push_back(domain);
    }
  }
  for (const auto& [domain, hash] : aLocal) {
    if (!aRemote.contains(domain)) {
      differing.push_back(domain);
    }
  }
  return differing;
}

/** Selects up to kDomainsPerExchange domains that differ: the local one first, others at random. */
std::set<std::string>
DomainsToReconcile(MembershipState& aState, const Digests& aLocal, const Digests& aRemote)
{
  const std::vector<std::string> differing = DifferingParts(aLocal, aRemote);
  std::set<std::string> chosen;
  const std::string& localDomain = aState.self_.identity_.domain_;
  if (std::find(differing.begin(), differing.end(), localDomain) != differing.end()) {
    chosen.insert(localDomain);
  }
  while (chosen.size() < std::min(kDomainsPerExchange, differing.size())) {
    chosen.insert(differing[NextRandom(aState) % differing.size()]);
  }
  return chosen;
}

/** Sends the summaries of the parts to the sender and requests its summaries of the same parts. */
void
ExchangeSummaries(MembershipContext& aContext,
                  const GossipMessage& aMessage,
                  const std::set<std::string>& aParts,
                  const Digests& aRemote)
{
  DigestExchange request;
  for (const std::string& part : aParts) {
    if (aRemote.contains(part)) {
      request.digests_.push_back({ kRequestPrefix + part, 0 });
    }
  }
  if (!request.digests_.empty()) {
    SendMessage(
      aContext, aMessage.senderAddress_, MakeMessage(aContext.state_, std::move(request)));
  }
  SendSummaries(aContext, aMessage.senderAddress_, aParts);
}

void
CompareDomains(MembershipContext& aContext, const GossipMessage& aMessage, const Digests& aRemote)
{
  if (!MayReconcile(aContext)) {
    return;
  }
  const Digests local = DigestsByDomain(aContext.state_);
  const std::set<std::string> chosen = DomainsToReconcile(aContext.state_, local, aRemote);
  std::set<std::string> wholeDomains;
  for (const std::string& domain : chosen) {
    if (aRemote.contains(domain) && IsLarge(aContext.state_, domain)) {
      DigestExchange buckets = MakeDigestExchange(DigestsByBucket(aContext, domain));
      SendMessage(
        aContext, aMessage.senderAddress_, MakeMessage(aContext.state_, std::move(buckets)));
    } else {
      wholeDomains.insert(domain);
    }
  }
  ExchangeSummaries(aContext, aMessage, wholeDomains, aRemote);
}

void
CompareBuckets(MembershipContext& aContext, const GossipMessage& aMessage, const Digests& aRemote)
{
  if (!MayReconcile(aContext)) {
    return;
  }
  std::set<std::string> domains;
  for (const auto& [bucket, hash] : aRemote) {
    domains.insert(DomainOfBucket(bucket));
  }
  Digests local;
  for (const std::string& domain : domains) {
    local.merge(DigestsByBucket(aContext, domain));
  }
  const std::vector<std::string> differing = DifferingParts(local, aRemote);
  ExchangeSummaries(aContext, aMessage, { differing.begin(), differing.end() }, aRemote);
}

void
AdoptReachability(MembershipContext& aContext,
                  const GossipMessage& aMessage,
                  const Digests& aUnreachable)
{
  MembershipState& state = aContext.state_;
  const std::vector<NodeId> delegates = DelegatesOf(state, state.self_.identity_.domain_);
  if (state.delegateSince_ ||
      std::find(delegates.begin(), delegates.end(), aMessage.sender_) == delegates.end()) {
    return;
  }
  for (auto& [domain, reachability] : state.domains_) {
    const auto listed = aUnreachable.find(domain);
    reachability.reported_ = MemberState::kAlive;
    if (listed != aUnreachable.end()) {
      reachability.reported_ = listed->second == static_cast<std::uint64_t>(MemberState::kDead)
                                 ? MemberState::kDead
                                 : MemberState::kSuspect;
    }
  }
  for (auto& [id, entry] : state.members_) {
    RefreshView(aContext, entry);
  }
}

/** Records to send to the peer and ids to request from it, after comparing its summaries. */
struct SummaryComparison
{
  std::vector<MemberRecord> toSend_;
  std::vector<NodeId> toRequest_;
};

void
MergeLocalSummary(MembershipContext& aContext, const RecordSummary& aSummary)
{
  MemberRecord seen = aContext.state_.self_;
  seen.identity_.generation_ = aSummary.generation_;
  seen.sequence_ = aSummary.sequence_;
  seen.state_ = aSummary.state_;
  MergeRecord(aContext, seen, RecordSource::kReconciliation);
}

void
CompareSummary(MembershipContext& aContext,
               const RecordSummary& aSummary,
               SummaryComparison& aComparison)
{
  MembershipState& state = aContext.state_;
  if (aSummary.node_ == state.self_.identity_.id_) {
    MergeLocalSummary(aContext, aSummary);
    return;
  }
  const auto known = state.members_.find(aSummary.node_);
  if (known == state.members_.end()) {
    if (aSummary.state_ != MemberState::kDead) {
      aComparison.toRequest_.push_back(aSummary.node_);
    }
    return;
  }
  const MemberRecord& record = known->second.record_;
  const auto local = std::tie(record.identity_.generation_, record.sequence_, record.state_);
  const auto remote = std::tie(aSummary.generation_, aSummary.sequence_, aSummary.state_);
  if (local > remote) {
    aComparison.toSend_.push_back(CurrentRecord(state, known->second, aContext.now_));
  } else if (local < remote) {
    const bool failed =
      aSummary.state_ == MemberState::kSuspect || aSummary.state_ == MemberState::kDead;
    if (failed && aSummary.generation_ == record.identity_.generation_) {
      MemberRecord changed = record;
      changed.sequence_ = aSummary.sequence_;
      changed.state_ = aSummary.state_;
      MergeRecord(aContext, changed, RecordSource::kReconciliation);
    } else {
      aComparison.toRequest_.push_back(aSummary.node_);
    }
  }
}

} // namespace

void
SendDigest(MembershipContext& aContext, const std::string& aAddress)
{
  DigestExchange digest{ { { "", TableDigest(aContext.state_) } } };
  SendMessage(aContext, aAddress, MakeMessage(aContext.state_, std::move(digest)));
}

bool
HasAgreed(const MembershipContext& aContext, const DomainReachability& aDomain, Duration aWithin)
{
  return aDomain.agreedAt_ && aContext.now_ - *aDomain.agreedAt_ < aWithin &&
         TableDigest(aContext.state_) == aDomain.agreedHash_;
}

void
SendReachability(MembershipContext& aContext, const std::string& aAddress)
{
  DigestExchange list{ { { std::string(1, kReachabilityPrefix), 0 } } };
  for (const auto& [domain, unused] : aContext.state_.domains_) {
    const MemberState reachability = ReachabilityOf(aContext.state_, domain, aContext.now_);
    if (reachability != MemberState::kAlive) {
      list.digests_.push_back(
        { kReachabilityPrefix + domain, static_cast<std::uint64_t>(reachability) });
    }
  }
  SendMessage(aContext, aAddress, MakeMessage(aContext.state_, std::move(list)));
}

void
HandleDigests(MembershipContext& aContext,
              const GossipMessage& aMessage,
              const DigestExchange& aBody)
{
  Digests byDomain;
  Digests byBucket;
  Digests unreachable;
  std::set<std::string> requested;
  bool hasReachability = false;
  for (const DomainDigest& digest : aBody.digests_) {
    if (digest.domain_.empty()) {
      ReplyToTableDigest(aContext, aMessage, digest.hash_);
    } else if (digest.domain_.front() == kRequestPrefix) {
      requested.insert(digest.domain_.substr(1));
    } else if (digest.domain_.front() == kReachabilityPrefix) {
      hasReachability = true;
      unreachable[digest.domain_.substr(1)] = digest.hash_;
    } else if (digest.domain_.front() == kBucketPrefix) {
      byBucket[digest.domain_] = digest.hash_;
    } else {
      byDomain[digest.domain_] = digest.hash_;
    }
  }
  if (hasReachability) {
    AdoptReachability(aContext, aMessage, unreachable);
  }
  if (!byDomain.empty()) {
    CompareDomains(aContext, aMessage, byDomain);
  }
  if (!byBucket.empty()) {
    CompareBuckets(aContext, aMessage, byBucket);
  }
  if (!requested.empty() && MayReconcile(aContext)) {
    SendSummaries(aContext, aMessage.senderAddress_, requested);
  }
}

void
HandleSummaries(MembershipContext& aContext,
                const GossipMessage& aMessage,
                const SummaryExchange& aBody)
{
  SummaryComparison comparison;
  for (const RecordSummary& summary : aBody.summaries_) {
    CompareSummary(aContext, summary, comparison);
  }
  SendRecords(aContext, aMessage.senderAddress_, comparison.toSend_);
  for (std::size_t from = 0; from < comparison.toRequest_.size(); from += kNodesPerRequest) {
    const std::size_t to = std::min(from + kNodesPerRequest, comparison.toRequest_.size());
    SendMessage(
      aContext,
      aMessage.senderAddress_,
      MakeMessage(
        aContext.state_,
        RecordsRequest{ { comparison.toRequest_.begin() + static_cast<std::ptrdiff_t>(from),
                          comparison.toRequest_.begin() + static_cast<std::ptrdiff_t>(to) } }));
  }
}

void
HandleRecordsRequest(MembershipContext& aContext,
                     const GossipMessage& aMessage,
                     const RecordsRequest& aBody)
{
  const MembershipState& state = aContext.state_;
  std::vector<MemberRecord> records;
  for (const NodeId id : aBody.nodes_) {
    const auto member = state.members_.find(id);
    if (id == aMessage.sender_) {
      // A node that may have missed planned stops requests the record of its own id.
      const std::vector<MemberRecord> moves = MovedMemberRecords(state, aContext.now_);
      records.insert(records.end(), moves.begin(), moves.end());
    } else if (id == state.self_.identity_.id_) {
      records.push_back(state.self_);
    } else if (member != state.members_.end()) {
      records.push_back(CurrentRecord(state, member->second, aContext.now_));
    }
  }
  SendRecords(aContext, aMessage.senderAddress_, records);
}

} // namespace fulmarway
