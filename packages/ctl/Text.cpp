#include "ctl/Text.h"

#include "ctl/Lexer.h"

#include <algorithm>

namespace fulmarway {

namespace {

constexpr unsigned char kAsciiDelete = 0x7F;
/** UTF-8 encoding of the C1 control characters U+0080 to U+009F, which some terminals interpret. */
constexpr unsigned char kC1LeadByte = 0xC2;
constexpr unsigned char kMinC1SecondByte = 0x80;
constexpr unsigned char kMaxC1SecondByte = 0x9F;

std::string
RenderRow(const std::vector<Column>& aColumns,
          const std::vector<std::size_t>& aWidths,
          const Row& aRow)
{
  std::string line;
  for (std::size_t i = 0; i < aColumns.size(); ++i) {
    const std::string padding(aWidths[i] - CountCharacters(aRow[i]), ' ');
    line += i == 0 ? "" : "  ";
    line += aColumns[i].align_ == Align::kRight ? padding + aRow[i] : aRow[i] + padding;
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + '\n';
}

} // namespace

std::string
Printable(std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const auto byte = static_cast<unsigned char>(aText[i]);
    const auto next = static_cast<unsigned char>(i + 1 < aText.size() ? aText[i + 1] : 0);
    if (aText[i] == '\t') {
      text += ' ';
    } else if (byte < ' ' || byte == kAsciiDelete) {
      text += '?';
    } else if (byte == kC1LeadByte && next >= kMinC1SecondByte && next <= kMaxC1SecondByte) {
      text += '?';
      ++i;
    } else {
      text += aText[i];
    }
  }
  return text;
}

std::string
RenderTable(const std::vector<Column>& aColumns, const std::vector<Row>& aRows)
{
  std::vector<Row> rows;
  Row header;
  for (const Column& column : aColumns) {
    header.push_back(column.title_);
  }
  rows.push_back(std::move(header));
  for (const Row& row : aRows) {
    Row& printable = rows.emplace_back();
    std::transform(row.begin(), row.end(), std::back_inserter(printable), [](const auto& aCell) {
      return Printable(aCell);
    });
  }
  std::vector<std::size_t> widths(aColumns.size(), 0);
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], CountCharacters(row[i]));
    }
  }
  std::string text;
  for (const Row& row : rows) {
    text += RenderRow(aColumns, widths, row);
  }
  return text;
}

} // namespace fulmarway
