// Names of PostgreSQL that bear on how a statement is handled.

#ifndef MARJORAMSLIP_SQL_KNOWN_NAMES_H_
#define MARJORAMSLIP_SQL_KNOWN_NAMES_H_

#include <string_view>

namespace marjoramslip::sql {

/// True for functions that have no side effects.
bool IsPureFunction(std::string_view name);

/// True for functions that change the state of their connection, or that
/// belong to the control of a group.
bool IsForbiddenFunction(std::string_view name);

/// True for operators that PostgreSQL itself defines.
bool IsKnownOperator(std::string_view name);

/// True for types that PostgreSQL itself defines.
bool IsKnownType(std::string_view name);

/// True for nodes of a parse tree that can be part of a plain read.
bool IsReadNode(std::string_view name);

/// True for statements that take effect as a whole or not at all.
bool IsAtomicStatement(std::string_view node);

/// True for statements that change the state of their connection beyond the
/// end of a transaction.
bool IsSessionStatement(std::string_view node);

}  // namespace marjoramslip::sql

#endif  // MARJORAMSLIP_SQL_KNOWN_NAMES_H_
