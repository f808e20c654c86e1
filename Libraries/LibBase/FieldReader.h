#pragma once

#include "LibBase/Error.h"
#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fennelline {

/// Inclusive bounds of a number.
template<typename Number>
struct Range {
  Number m_min = std::numeric_limits<Number>::lowest();
  Number m_max = std::numeric_limits<Number>::max();
};

/// Parses JSON text. Errors include the byte offset.
Result<std::shared_ptr<const nlohmann::json>> ParseJson(const std::string& aText);

/// Reads and parses a JSON file.
Result<std::shared_ptr<const nlohmann::json>> ReadJsonFile(const std::string& aPath);

/// How to treat fields that a parse function does not read.
enum class UnknownFields { Reject, Ignore };

/// Reads and validates the fields of a JSON object. After the first error it keeps that error and
/// returns default values, so that a parse function can read all fields and check once with
/// Finish(). Finish() also rejects fields that were not read, unless UnknownFields::Ignore is set.
class FieldReader {
public:
  /// aPath locates the object in the document, such as "contracts[2]". It is empty for the root.
  FieldReader(const nlohmann::json& aObject, std::string aPath,
              UnknownFields aUnknown = UnknownFields::Reject);

  bool Has(const std::string& aName) const;

  std::string String(const std::string& aName);
  std::string String(const std::string& aName, std::string aDefault);
  std::int64_t Integer(const std::string& aName, Range<std::int64_t> aRange);
  std::int64_t Integer(const std::string& aName, Range<std::int64_t> aRange, std::int64_t aDefault);
  double Number(const std::string& aName, Range<double> aRange);
  double Number(const std::string& aName, Range<double> aRange, double aDefault);
  bool Boolean(const std::string& aName, bool aDefault);
  /// Reads an integral number of milliseconds.
  Duration DurationMs(const std::string& aName, Range<std::int64_t> aRangeMs);
  Duration DurationMs(const std::string& aName, Range<std::int64_t> aRangeMs, Duration aDefault);
  /// Reads a number of milliseconds that may have a fractional part.
  Duration FractionalMs(const std::string& aName, Range<double> aRangeMs);
  Duration FractionalMs(const std::string& aName, Range<double> aRangeMs, Duration aDefault);
  /// Reads an array of strings. A missing field is read as an empty array.
  std::vector<std::string> Strings(const std::string& aName);

  template<typename Enumeration, std::size_t Count>
  Enumeration Enum(const std::string& aName, const NameTable<Enumeration, Count>& aTable) {
    const std::string word = String(aName);
    return Lookup(aName, aTable, word);
  }
  template<typename Enumeration, std::size_t Count>
  Enumeration Enum(const std::string& aName, const NameTable<Enumeration, Count>& aTable,
                   Enumeration aDefault) {
    const std::string word = String(aName, std::string(NameOf(aTable, aDefault)));
    return Lookup(aName, aTable, word);
  }

  /// Calls aRead for each object of an array. A missing field is read as an empty array.
  void Objects(const std::string& aName, const std::function<void(FieldReader&)>& aRead);
  /// Calls aRead for a nested object. Does nothing if the field is missing.
  void Object(const std::string& aName, const std::function<void(FieldReader&)>& aRead);

  /// Records an error for a field, unless an error has already been recorded.
  void Fail(const std::string& aName, const std::string& aReason);
  const std::string& Path() const { return m_path; }

  /// Returns the first error. If there is none, checks that every field of the object was read.
  Result<void> Finish();

private:
  template<typename Enumeration, std::size_t Count>
  Enumeration Lookup(const std::string& aName, const NameTable<Enumeration, Count>& aTable,
                     const std::string& aWord) {
    const std::optional<Enumeration> value = ValueOf(aTable, aWord);
    if (!value) {
      Fail(aName, "\"" + aWord + "\" is not one of: " + NamesOf(aTable));
      return aTable[0].first;
    }
    return *value;
  }
  const nlohmann::json* Find(const std::string& aName);
  const nlohmann::json* Require(const std::string& aName);
  void FailWith(ErrorCode aCode, const std::string& aName, const std::string& aReason);
  std::string PathOf(const std::string& aName) const;

  const nlohmann::json& m_object;
  std::string m_path;
  UnknownFields m_unknown;
  std::vector<std::string> m_requestedNames;
  std::optional<Error> m_error;
};

} // namespace fennelline
