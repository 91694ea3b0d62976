// Names of the ways in which answers do not fit.

#include "marjoramslip/runtime/endpoint_links.h"

namespace marjoramslip::shell {

std::string_view NameOf(answer_mismatch mismatch) {
  switch (mismatch) {
    case answer_mismatch::kUnrequested:
      return "unrequested";
    case answer_mismatch::kRepeated:
      return "repeated";
    case answer_mismatch::kUnsigned:
      return "unsigned";
    case answer_mismatch::kOutOfStep:
      return "out of step";
    case answer_mismatch::kMalformed:
      break;
  }
  return "malformed";
}

}  // namespace marjoramslip::shell
