/** \file
 * Immutable text that its copies share. Against long bodies that take the memory of the VM once for
 * each place that refers to them: the request of a caller, each attempt, and the request to the
 * backend server.
 */
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace fulmarway {

class SharedText
{
public:
  SharedText() = default;
  // Implicit, so that it can be used like a string.
  SharedText(std::string aText)
    : text_(aText.empty() ? nullptr : std::make_shared<const std::string>(std::move(aText)))
  {
  }
  SharedText(const char* aText)
    : SharedText(std::string(aText))
  {
  }

  operator std::string_view() const
  {
    return text_ ? std::string_view(*text_) : std::string_view();
  }
  std::size_t size() const { return text_ ? text_->size() : 0; }

  /** Identifies the memory: equal for copies. */
  const void* Id() const { return text_.get(); }

  bool operator==(const SharedText& aOther) const
  {
    return std::string_view(*this) == std::string_view(aOther);
  }

private:
  std::shared_ptr<const std::string> text_;
};

} // namespace fulmarway
