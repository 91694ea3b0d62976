// Tracks connections to one endpoint that instances lend to each other.

#ifndef MARJORAMSLIP_LIB_CORE_LOAN_BOOK_H_
#define MARJORAMSLIP_LIB_CORE_LOAN_BOOK_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// Duration of a loan. The borrower counts it from sending its request.
inline constexpr duration kLoanDuration = std::chrono::seconds(1);
/// The lender does not use lent connections for this much longer than the loan,
/// counted from sending its grant.
inline constexpr duration kLenderMargin = std::chrono::milliseconds(300);
/// Nothing new is sent on borrowed connections this long before the loan ends.
inline constexpr duration kLoanWindDown = std::chrono::milliseconds(200);
/// A loan request is abandoned after this time without an answer.
inline constexpr duration kLoanRequestTimeout = std::chrono::milliseconds(100);
/// Shortest time between two loan requests for one endpoint.
inline constexpr duration kLoanRequestInterval = std::chrono::milliseconds(20);

/// A loan: the temporary transfer of part of an instance's share of connections
/// to another instance. `peer` is the other instance of the loan.
struct loan_entry {
  instance_id peer;
  std::uint64_t loan_id = 0;
  std::uint32_t connections = 0;
  instant ends_at;
};

/// A loan request that has not been answered.
struct pending_loan_request {
  instance_id peer;
  std::uint64_t loan_id = 0;
  instant sent_at;
};

/// Connections lent and borrowed for one endpoint.
class loan_book {
 public:
  // Lender's side.

  /// Returns the number of connections that borrowers may hold now.
  std::uint32_t Lent(instant now) const;
  bool HasLent(instance_id borrower, std::uint64_t loan_id) const;
  /// Records a loan whose grant is sent at `now`.
  void Lend(instance_id borrower, std::uint64_t loan_id,
            std::uint32_t connections, instant now);
  void OnReturn(instance_id borrower, std::uint64_t loan_id);

  // Borrower's side.

  /// Returns the number of borrowed connections that may be held now.
  std::uint32_t Borrowed(instant now) const;
  /// Returns the number of borrowed connections on which statements may begin
  /// now.
  std::uint32_t Usable(instant now) const;
  /// Returns true if no request is pending and the last one is old enough.
  bool MayRequest(instant now) const;
  void OnRequested(instance_id peer, std::uint64_t loan_id, instant now);
  /// Records a grant of `length`. Returns false, and ignores the grant, if it
  /// does not answer the pending request or would end within kLoanWindDown.
  bool OnGranted(instance_id lender, std::uint64_t loan_id,
                 std::uint32_t connections, duration length, instant now);
  /// Removes and returns all borrowed loans, ended ones included.
  std::vector<loan_entry> TakeBorrowed();
  /// Removes all loans from a lender that has left the cluster.
  void DropLender(instance_id lender);

  /// Removes loans that have ended and a request that has timed out.
  void Expire(instant now);
  /// Returns the next time after `now` at which a loan, the use of a loan or
  /// the pending request ends.
  std::optional<instant> NextChange(instant now) const;

 private:
  std::vector<loan_entry> lent_;
  std::vector<loan_entry> borrowed_;
  std::optional<pending_loan_request> pending_request_;
  instant next_request_at_{};
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_LOAN_BOOK_H_
