/** \file
 * Formats text for terminals: replaces control characters and aligns tables.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace fulmarway {

/** Replaces each tab by a space and each other control character by `?`. Data from the network
 * therefore cannot send control sequences to the operator's terminal, and columns stay aligned. */
std::string
Printable(std::string_view aText);

enum class Align : unsigned char
{
  kLeft,
  kRight,
};

struct Column
{
  std::string title_;
  Align align_ = Align::kLeft;
};

using Row = std::vector<std::string>;

/** Renders a header line and the rows, with two spaces between columns. Each row must have one cell
 * per column. */
std::string
RenderTable(const std::vector<Column>& aColumns, const std::vector<Row>& aRows);

} // namespace fulmarway
