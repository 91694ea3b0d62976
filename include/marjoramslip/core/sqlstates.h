// The SQLSTATEs with which this instance itself fails requests.

#ifndef MARJORAMSLIP_CORE_SQLSTATES_H_
#define MARJORAMSLIP_CORE_SQLSTATES_H_

namespace marjoramslip::sqlstate {

/// The service is not declared.
inline constexpr char kUnknownService[] = "3D000";
/// The caller's key belongs to no client account.
inline constexpr char kUnknownKey[] = "28000";
/// The caller's client account is at its limit.
inline constexpr char kAccountLimit[] = "53410";
/// The instance is shutting down.
inline constexpr char kShutdown[] = "57P01";
/// No primary accepted the write before the deadline, or all retries were used.
inline constexpr char kNotReady[] = "57P03";
/// The deadline passed before the statement was sent, or the caller cancelled
/// the statement.
inline constexpr char kCancelled[] = "57014";
/// Too many requests are queued, or the wait would exceed the deadline.
inline constexpr char kOverloaded[] = "53400";
/// A write of the session was lost in a change of primary, so that its floor
/// cannot be reached.
inline constexpr char kFloorLost[] = "72L01";
/// Whether the write took effect durably is unknown.
inline constexpr char kOutcomeUnknown[] = "08007";
/// The connection broke while the answer to a read was forwarded.
inline constexpr char kConnectionLost[] = "08006";
/// The transaction's connection was lost; the transaction is rolled back.
inline constexpr char kTransactionLost[] = "40001";
/// The statement followed the loss of its transaction. Statements fail until
/// the caller sends ROLLBACK.
inline constexpr char kTransactionAborted[] = "25P02";
/// The caller violated the protocol by sending a statement while another is in
/// progress.
inline constexpr char kProtocolViolation[] = "08P01";
/// The instance does not carry the statement's group.
inline constexpr char kNotCarrier[] = "72C01";
/// An internal invariant of the instance is violated.
inline constexpr char kInternalError[] = "XX000";

}  // namespace marjoramslip::sqlstate

#endif  // MARJORAMSLIP_CORE_SQLSTATES_H_
