// Objects described by tables of fields, so that one table serves to read, to
// check and to write them.

#ifndef MARJORAMSLIP_JSON_FIELDS_H_
#define MARJORAMSLIP_JSON_FIELDS_H_

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "marjoramslip/base/time.h"
#include "marjoramslip/json/document.h"

namespace marjoramslip::json {

using Poco::Dynamic::Var;

/// How a value is read, checked and written.
template <typename value>
struct codec {
  std::function<void(const Var&, const place&, value&)> read;
  std::function<Var(const value&)> write;
};

/// Whether a key must be there.
enum class presence : std::uint8_t { kOptional, kRequired };

/// What becomes of keys that a shape does not have, and of optional keys whose
/// value is null.
enum class other_keys : std::uint8_t {
  kRefused,
  kIgnored,  ///< Null counts as absent, for documents of other writers.
};

/// One key of an object.
template <typename object>
struct field {
  std::string_view key;
  presence need = presence::kOptional;
  std::function<void(const Var&, const place&, object&)> read;
  std::function<Var(const object&)> write;
};

/// All keys of an object.
template <typename object>
using shape = std::vector<field<object>>;

/// Makes a field of a member.
template <typename object, typename value>
field<object> Field(std::string_view key, value object::*member,
                    codec<value> how, presence need = presence::kOptional) {
  auto read = [member, from = how.read](const Var& var, const place& at,
                                        object& into) {
    from(var, at, into.*member);
  };
  auto write = [member, to = how.write](const object& from) {
    return to(from.*member);
  };
  return {key, need, std::move(read), std::move(write)};
}

// The parts that do not depend on types.

/// The object in `var`; null, with a fault, if it is none.
Poco::JSON::Object::Ptr AsObject(const Var& var, const place& at);
/// The array in `var`; null, with a fault, if it is none.
Poco::JSON::Array::Ptr AsArray(const Var& var, const place& at);
/// Refuses the keys of `object` that are not in `known`.
void RefuseUnknown(const Poco::JSON::Object& object,
                   const std::vector<std::string_view>& known, const place& at);
/// Reads a whole number within a range.
void ReadInteger(const Var& var, const place& at, std::uint64_t min,
                 std::uint64_t max, std::uint64_t& into);
/// Reads "300ms" and the like, in whole multiples of `unit`.
void ReadDuration(const Var& var, const place& at, duration min, duration max,
                  duration unit, duration& into);
/// "300ms" and the like, in the greatest unit that is exact.
std::string FormatDuration(duration value);
/// The index of the text among `names`; -1, with a fault, if it is none.
int ReadChoice(const Var& var, const place& at,
               const std::vector<std::string_view>& names);

/// A text of `min` to `max` bytes.
codec<std::string> Text(std::size_t min, std::size_t max);
/// A name: 1 to 63 of letters, digits, '.', '_' and '-'.
codec<std::string> Name();
/// A text that `fault` finds nothing wrong with: it returns what is allowed.
codec<std::string> CheckedText(
    std::function<std::string(const std::string&)> fault);
/// Any text, the empty one too.
codec<std::string> AnyText();
/// A finite number that is not negative.
codec<double> Amount();
/// A length of time as a whole number of milliseconds up to `max`.
codec<duration> Milliseconds(std::chrono::milliseconds max);
codec<bool> Boolean();
/// 64 bits as 16 hexadecimal digits.
codec<std::uint64_t> Hexadecimal();
/// Names to names.
codec<std::map<std::string, std::string, std::less<>>> NameMap();

/// A whole number within a range.
template <typename integer>
codec<integer> Integer(
    std::type_identity_t<integer> min = 0,
    std::type_identity_t<integer> max = std::numeric_limits<integer>::max()) {
  auto read = [min, max](const Var& var, const place& at, integer& into) {
    std::uint64_t number = into;
    ReadInteger(var, at, min, max, number);
    into = static_cast<integer>(number);
  };
  auto write = [](const integer& from) {
    return Var(static_cast<Poco::UInt64>(from));
  };
  return {read, write};
}

/// A length of time such as "300ms"; units are us, ms, s and min.
template <typename length = duration>
codec<length> Duration(duration min, duration max) {
  auto read = [min, max](const Var& var, const place& at, length& into) {
    duration value = into;
    ReadDuration(var, at, min, max, length(1), value);
    into = std::chrono::duration_cast<length>(value);
  };
  auto write = [](const length& from) { return Var(FormatDuration(from)); };
  return {read, write};
}

/// One of a few names.
template <typename choice>
codec<choice> Choice(std::vector<std::pair<std::string_view, choice>> choices) {
  auto read = [choices](const Var& var, const place& at, choice& into) {
    std::vector<std::string_view> names;
    names.reserve(choices.size());
    for (const auto& [name, value] : choices) {
      names.push_back(name);
    }
    const int index = ReadChoice(var, at, names);
    if (index >= 0) {
      into = choices[static_cast<std::size_t>(index)].second;
    }
  };
  auto write = [choices](const choice& from) {
    for (const auto& [name, value] : choices) {
      if (value == from) {
        return Var(std::string(name));
      }
    }
    return Var();
  };
  return {read, write};
}

/// Reads an object whole: missing, unknown and malformed members are faults.
template <typename object>
void ReadObject(const shape<object>& fields, const Var& var, const place& at,
                object& into, other_keys others = other_keys::kRefused) {
  const Poco::JSON::Object::Ptr source = AsObject(var, at);
  if (!source) {
    return;
  }
  std::vector<std::string_view> known;
  known.reserve(fields.size());
  for (const field<object>& one : fields) {
    known.push_back(one.key);
    const std::string key(one.key);
    const bool ignored = others == other_keys::kIgnored &&
                         one.need == presence::kOptional && source->isNull(key);
    if (source->has(key) && !ignored) {
      one.read(source->get(key), at.Member(key), into);
    } else if (one.need == presence::kRequired) {
      at.Member(key).Fault("is missing; it is required");
    }
  }
  if (others == other_keys::kRefused) {
    RefuseUnknown(*source, known, at);
  }
}

/// Writes an object with all its members but those whose value is empty.
template <typename object>
Var WriteObject(const shape<object>& fields, const object& from) {
  Poco::JSON::Object::Ptr target =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const field<object>& one : fields) {
    Var value = one.write(from);
    if (!value.isEmpty()) {
      target->set(std::string(one.key), value);
    }
  }
  return target;
}

/// An object within an object. `fields` must outlive the codec.
template <typename object>
codec<object> Record(const shape<object>& fields) {
  auto read = [&fields](const Var& var, const place& at, object& into) {
    ReadObject(fields, var, at, into);
  };
  auto write = [&fields](const object& from) {
    return WriteObject(fields, from);
  };
  return {read, write};
}

/// A list of `min` to `max` items.
template <typename item>
codec<std::vector<item>> List(codec<item> how, std::size_t min,
                              std::size_t max) {
  auto read = [how, min, max](const Var& var, const place& at,
                              std::vector<item>& into) {
    const Poco::JSON::Array::Ptr source = AsArray(var, at);
    if (!source) {
      return;
    }
    if (source->size() < min || source->size() > max) {
      at.Fault("must have " + std::to_string(min) + " to " +
               std::to_string(max) + " items");
      return;
    }
    into.clear();
    for (std::size_t index = 0; index < source->size(); ++index) {
      item value{};
      how.read(source->get(static_cast<unsigned>(index)), at.Item(index),
               value);
      into.push_back(std::move(value));
    }
  };
  auto write = [how](const std::vector<item>& from) {
    Poco::JSON::Array::Ptr target = new Poco::JSON::Array;
    for (const item& value : from) {
      target->add(how.write(value));
    }
    return Var(target);
  };
  return {read, write};
}

/// Parses and reads a whole document.
template <typename object>
object ReadDocument(const shape<object>& fields, std::string_view text,
                    std::vector<problem>& problems) {
  object value{};
  const Var document = ParseDocument(text, problems);
  if (!document.isEmpty() || problems.empty()) {
    ReadObject(fields, document, place(problems), value);
  }
  return value;
}

}  // namespace marjoramslip::json

#endif  // MARJORAMSLIP_JSON_FIELDS_H_
