// Results of operations that can fail, carried by Boost.LEAF.

#ifndef MARJORAMSLIP_BASE_RESULT_H_
#define MARJORAMSLIP_BASE_RESULT_H_

#include <boost/leaf.hpp>
#include <string>

namespace marjoramslip {

namespace leaf = boost::leaf;

/// A value or an error. Errors carry one `error` object.
template <typename value>
using result = leaf::result<value>;

/// What kind of thing went wrong.
enum class error_kind : std::uint8_t {
  kInvalid,      ///< The input is malformed or out of range.
  kUnavailable,  ///< The other side could not be reached; nothing happened.
  kUnknown,      ///< The request may have taken effect.
  kConflict,     ///< A precondition did not hold; nothing happened.
  kInternal,     ///< A library failed in a way that is not expected.
};

/// The error object that travels with a failed `result`.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string message;
};

/// Makes a failed result.
inline leaf::error_id Fail(error_kind kind, std::string message) {
  return leaf::new_error(error{kind, std::move(message)});
}

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_BASE_RESULT_H_
