// Turns a result into a value or an error at hand, where a caller has to look
// at the error to decide what comes next.

#ifndef MARJORAMSLIP_BASE_ATTEMPT_H_
#define MARJORAMSLIP_BASE_ATTEMPT_H_

#include <optional>
#include <type_traits>
#include <utility>
#include <variant>

#include "marjoramslip/base/result.h"

namespace marjoramslip {

/// A value, or the error in its place.
template <typename value>
struct attempted {
  std::optional<value> got;
  error failure;

  explicit operator bool() const { return got.has_value(); }
  const value& operator*() const { return *got; }
  const value* operator->() const { return &*got; }
  /// True if it failed with an error of this kind.
  bool Failed(error_kind kind) const { return !got && failure.kind == kind; }
};

/// Calls `work`, which returns a result, and hands back what came of it.
/// result<void> gives std::monostate.
template <typename callable>
auto Attempt(callable&& work) {
  using inner = std::decay_t<decltype(work().value())>;
  constexpr bool kVoid = std::is_same_v<decltype(work()), result<void>>;
  using value = std::conditional_t<kVoid, std::monostate, inner>;
  return leaf::try_handle_all(
      [&]() -> result<attempted<value>> {
        if constexpr (kVoid) {
          BOOST_LEAF_CHECK(work());
          return attempted<value>{std::monostate{}, {}};
        } else {
          BOOST_LEAF_AUTO(got, work());
          return attempted<value>{std::move(got), {}};
        }
      },
      [](const error& failure) {
        return attempted<value>{{}, failure};
      },
      [] {
        return attempted<value>{
            {}, {error_kind::kInternal, "an error without a message"}};
      });
}

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_BASE_ATTEMPT_H_
