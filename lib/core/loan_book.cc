// Tracks loans and their ends.

#include "loan_book.h"

#include <algorithm>
#include <utility>

namespace marjoramslip {
namespace {

/// Returns the number of connections in loans that are in effect at `time`.
std::uint32_t ConnectionsAt(const std::vector<loan_entry>& loans,
                            instant time) {
  std::uint32_t sum = 0;
  for (const loan_entry& loan : loans) {
    sum += time < loan.ends_at ? loan.connections : 0;
  }
  return sum;
}

}  // namespace

std::uint32_t loan_book::Lent(instant now) const {
  return ConnectionsAt(lent_, now);
}

bool loan_book::HasLent(instance_id borrower, std::uint64_t loan_id) const {
  return std::any_of(lent_.begin(), lent_.end(), [&](const loan_entry& loan) {
    return loan.peer == borrower && loan.loan_id == loan_id;
  });
}

void loan_book::Lend(instance_id borrower, std::uint64_t loan_id,
                     std::uint32_t connections, instant now) {
  lent_.push_back(
      {borrower, loan_id, connections, now + kLoanDuration + kLenderMargin});
}

void loan_book::OnReturn(instance_id borrower, std::uint64_t loan_id) {
  std::erase_if(lent_, [&](const loan_entry& loan) {
    return loan.peer == borrower && loan.loan_id == loan_id;
  });
}

std::uint32_t loan_book::Borrowed(instant now) const {
  return ConnectionsAt(borrowed_, now);
}

std::uint32_t loan_book::Usable(instant now) const {
  return ConnectionsAt(borrowed_, now + kLoanWindDown);
}

bool loan_book::MayRequest(instant now) const {
  return !pending_request_.has_value() && now >= next_request_at_;
}

void loan_book::OnRequested(instance_id peer, std::uint64_t loan_id,
                            instant now) {
  pending_request_ = {peer, loan_id, now};
  next_request_at_ = now + kLoanRequestInterval;
}

bool loan_book::OnGranted(instance_id lender, std::uint64_t loan_id,
                          std::uint32_t connections, duration length,
                          instant now) {
  if (!pending_request_.has_value() || pending_request_->peer != lender ||
      pending_request_->loan_id != loan_id) {
    return false;
  }
  const instant ends_at =
      pending_request_->sent_at + std::min(length, kLoanDuration);
  pending_request_.reset();
  if (now + kLoanWindDown >= ends_at) {
    return false;
  }
  if (connections > 0) {
    borrowed_.push_back({lender, loan_id, connections, ends_at});
  }
  return true;
}

std::vector<loan_entry> loan_book::TakeBorrowed() {
  return std::exchange(borrowed_, {});
}

void loan_book::DropLender(instance_id lender) {
  std::erase_if(borrowed_,
                [&](const loan_entry& loan) { return loan.peer == lender; });
}

void loan_book::Expire(instant now) {
  const auto ended = [now](const loan_entry& loan) {
    return now >= loan.ends_at;
  };
  std::erase_if(lent_, ended);
  std::erase_if(borrowed_, ended);
  if (pending_request_.has_value() &&
      now - pending_request_->sent_at >= kLoanRequestTimeout) {
    pending_request_.reset();
  }
}

std::optional<instant> loan_book::NextChange(instant now) const {
  std::optional<instant> next;
  const auto consider = [&](instant time) {
    if (time > now && (!next.has_value() || time < *next)) {
      next = time;
    }
  };
  for (const loan_entry& loan : lent_) {
    consider(loan.ends_at);
  }
  for (const loan_entry& loan : borrowed_) {
    consider(loan.ends_at);
    consider(loan.ends_at - kLoanWindDown);
  }
  if (pending_request_.has_value()) {
    consider(pending_request_->sent_at + kLoanRequestTimeout);
  }
  return next;
}

}  // namespace marjoramslip
