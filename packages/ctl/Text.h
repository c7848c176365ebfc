/** \file
 * Text for terminals: control characters made harmless, and aligned tables.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace fulmarway {

/** Replaces control characters by one printable character each, so that data from the network
 * cannot steer the operator's terminal and columns stay aligned: tabs by a space, others by `?`. */
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

/** Columns are two spaces apart; each row must have one cell for each column. */
std::string
RenderTable(const std::vector<Column>& aColumns, const std::vector<Row>& aRows);

} // namespace fulmarway
