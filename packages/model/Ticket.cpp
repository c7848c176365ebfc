#include "model/Ticket.h"

#include <limits>
#include <vector>

namespace fulmarway {

namespace {

constexpr std::string_view kTextPrefix = "t1";

std::string
FormatWithoutMac(const Ticket& aTicket)
{
  std::string text(kTextPrefix);
  text += '.';
  text += ToHex(aTicket.executor_.value_);
  text += '.';
  text += ToHex(aTicket.incarnation_);
  text += '.';
  text += ToHex(std::uint64_t{ aTicket.epoch_ });
  text += '.';
  text += ToHex(aTicket.nonce_);
  return text;
}

Bits128
TicketMac(const ClusterKey& aKey, TicketScope aScope, const Ticket& aTicket)
{
  std::string message = FormatWithoutMac(aTicket);
  message += '\n';
  message += aScope.service_;
  message += '\n';
  message += aScope.kind_;
  return ComputeMac(aKey, message);
}

std::vector<std::string_view>
SplitFields(std::string_view aText)
{
  std::vector<std::string_view> fields;
  for (std::size_t dot = aText.find('.'); dot != std::string_view::npos; dot = aText.find('.')) {
    fields.push_back(aText.substr(0, dot));
    aText.remove_prefix(dot + 1);
  }
  fields.push_back(aText);
  return fields;
}

tl::unexpected<UserError>
MakeParseError(std::string_view aField)
{
  return tl::unexpected(UserError{ "ticket", "cannot parse " + std::string(aField) });
}

} // namespace

Ticket
IssueTicket(const ClusterKey& aKey,
            TicketScope aScope,
            NodeId aExecutor,
            Incarnation aIncarnation,
            std::uint32_t aEpoch,
            Bits128 aNonce)
{
  Ticket ticket{ aExecutor, aIncarnation, aEpoch, aNonce, {} };
  ticket.mac_ = TicketMac(aKey, aScope, ticket);
  return ticket;
}

Bits128
ChildNonce(const ClusterKey& aKey,
           const Ticket& aParent,
           std::uint32_t aCallIndex,
           std::uint32_t aAttempt)
{
  return ComputeMac(aKey,
                    "child\n" + FormatTicket(aParent) + '\n' + std::to_string(aCallIndex) + '\n' +
                      std::to_string(aAttempt));
}

bool
IsAuthentic(const ClusterKey& aKey, TicketScope aScope, const Ticket& aTicket)
{
  return MacEquals(TicketMac(aKey, aScope, aTicket), aTicket.mac_);
}

std::string
FormatTicket(const Ticket& aTicket)
{
  return FormatWithoutMac(aTicket) + '.' + ToHex(aTicket.mac_);
}

tl::expected<Ticket, UserError>
ParseTicket(std::string_view aText)
{
  constexpr std::size_t kFieldCount = 6;
  const auto fields = SplitFields(aText);
  if (fields.size() != kFieldCount || fields[0] != kTextPrefix) {
    return MakeParseError("ticket; expected t1.executor.incarnation.epoch.nonce.mac");
  }
  const auto executor = ParseHex64(fields[1]);
  const auto incarnation = ParseHex128(fields[2]);
  const auto epoch = ParseHex64(fields[3]);
  const auto nonce = ParseHex128(fields[4]);
  const auto mac = ParseHex128(fields[5]);
  if (!executor || !incarnation) {
    return MakeParseError(
      "executor or incarnation; expected hexadecimal numbers of 64 and 128 bits");
  }
  if (!epoch || *epoch > std::numeric_limits<std::uint32_t>::max()) {
    return MakeParseError("epoch; expected a hexadecimal number of 32 bits");
  }
  if (!nonce || !mac) {
    return MakeParseError("nonce or mac; expected 32 hexadecimal digits each");
  }
  return Ticket{
    NodeId{ *executor }, *incarnation, static_cast<std::uint32_t>(*epoch), *nonce, *mac
  };
}

} // namespace fulmarway
