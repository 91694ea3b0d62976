// Remembers the classes of recent texts.

#include <cassert>
#include <utility>

#include "marjoramslip/sql/classify.h"

namespace marjoramslip::sql {

classifier::classifier(std::size_t entries, std::size_t text_limit)
    : entries_(entries), text_limit_(text_limit) {}

const classification& classifier::Get(std::string_view text) {
  const auto found = index_.find(text);
  if (found != index_.end()) {
    ++hits_;
    order_.splice(order_.begin(), order_, found->second);
    return order_.front().value;
  }
  ++misses_;
  if (text.size() > text_limit_ || entries_ == 0) {
    scratch_ = Classify(text);
    return scratch_;
  }
  if (order_.size() == entries_) {
    index_.erase(order_.back().text);
    order_.pop_back();
  }
  order_.push_front({std::string(text), Classify(text)});
  index_.emplace(order_.front().text, order_.begin());
  assert(index_.size() == order_.size() && "each entry has one index");
  return order_.front().value;
}

}  // namespace marjoramslip::sql
