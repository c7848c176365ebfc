#include "policy/MemberDigest.h"

#include "policy/GossipQueue.h"
#include "policy/MovedIncarnations.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace fulmarway {

namespace {

constexpr char kAskPrefix = '?';
constexpr char kReachPrefix = '!';
constexpr std::size_t kSummariesPerMessage = 50;
constexpr std::size_t kNodesPerRequest = 120;
/** Failure domains that one exchange reconciles, so that their summaries leave enough of the
 * allowance for records. */
constexpr std::size_t kDomainsPerExchange = 2;
/** Share of the keeping time during which records of nodes that left are offered to others. */
constexpr int kOfferPercent = 80;

/** Records of nodes that may run count; the state is left out, because every change that a node
 * makes to its own state raises the sequence, and suspicion stays inside a failure domain. */
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

void
SendSummaries(MembershipTurn& aTurn,
              const std::string& aAddress,
              const std::set<std::string>& aDomains)
{
  std::vector<RecordSummary> summaries;
  if (aDomains.contains(aTurn.state_.self_.identity_.domain_)) {
    summaries.push_back(SummaryOf(aTurn.state_.self_));
  }
  for (const auto& [id, entry] : aTurn.state_.members_) {
    if (aDomains.contains(entry.record_.identity_.domain_) && IsOffered(aTurn, entry)) {
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
  if (!equal && MayReconcile(aTurn)) {
    SendMessage(aTurn, aMessage.senderAddress_, MakeMessage(state, ListOf(DigestsByDomain(state))));
  }
  if (sameDomain && state.delegateSince_) {
    SendReach(aTurn, aMessage.senderAddress_);
  } else if (equal || !MayReconcile(aTurn)) {
    SendMessage(aTurn, aMessage.senderAddress_, MakeMessage(state, CarrierOf(state)));
  }
}

/** Domains whose hash differs or that one side lacks, the own one first, then drawn at random. */
std::set<std::string>
DomainsToReconcile(MembershipState& aState, const Digests& aOwn, const Digests& aTheirs)
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

void
CompareDomains(MembershipTurn& aTurn, const GossipMessage& aMessage, const Digests& aTheirs)
{
  if (!MayReconcile(aTurn)) {
    return;
  }
  const Digests own = DigestsByDomain(aTurn.state_);
  const std::set<std::string> chosen = DomainsToReconcile(aTurn.state_, own, aTheirs);
  DigestExchange ask;
  for (const std::string& domain : chosen) {
    if (aTheirs.contains(domain)) {
      ask.digests_.push_back({ kAskPrefix + domain, 0 });
    }
  }
  if (!ask.digests_.empty()) {
    SendMessage(aTurn, aMessage.senderAddress_, MakeMessage(aTurn.state_, std::move(ask)));
  }
  SendSummaries(aTurn, aMessage.senderAddress_, chosen);
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

/** What to do about one summary of a peer. */
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
      // A node that may have missed planned stops asks for its own id.
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
