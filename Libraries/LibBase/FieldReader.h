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

/// Parses JSON text. The error names the byte offset.
Result<std::shared_ptr<const nlohmann::json>> ParseJson(const std::string& aText);

/// Reads a file of JSON text.
Result<std::shared_ptr<const nlohmann::json>> ReadJsonFile(const std::string& aPath);

/// What becomes of fields that a parse function does not ask for.
enum class UnknownFields { Refuse, Ignore };

/// Reads the fields of one JSON object, strictly. It keeps the first error and from then on yields
/// defaults, so that a parse function reads field after field and checks once, with Finish(),
/// which also refuses fields that were never asked for, unless told to ignore them.
class FieldReader {
public:
  /// aPath is the object's place in the document, such as "contracts[2]"; empty for the root.
  FieldReader(const nlohmann::json& aObject, std::string aPath,
              UnknownFields aUnknown = UnknownFields::Refuse);

  bool Has(const std::string& aName) const;

  std::string String(const std::string& aName);
  std::string String(const std::string& aName, std::string aDefault);
  std::int64_t Integer(const std::string& aName, Range<std::int64_t> aRange);
  std::int64_t Integer(const std::string& aName, Range<std::int64_t> aRange, std::int64_t aDefault);
  double Number(const std::string& aName, Range<double> aRange);
  double Number(const std::string& aName, Range<double> aRange, double aDefault);
  bool Boolean(const std::string& aName, bool aDefault);
  /// A whole number of milliseconds.
  Duration DurationMs(const std::string& aName, Range<std::int64_t> aRangeMs);
  Duration DurationMs(const std::string& aName, Range<std::int64_t> aRangeMs, Duration aDefault);
  /// A number of milliseconds, whole or not.
  Duration FractionalMs(const std::string& aName, Range<double> aRangeMs);
  Duration FractionalMs(const std::string& aName, Range<double> aRangeMs, Duration aDefault);
  /// An array of strings; a missing field is an empty array.
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

  /// Calls aRead for each object of an array; a missing field is an empty array.
  void Objects(const std::string& aName, const std::function<void(FieldReader&)>& aRead);
  /// Calls aRead for one nested object; does nothing where the field is missing.
  void Object(const std::string& aName, const std::function<void(FieldReader&)>& aRead);

  /// Records an error about a field, unless there already is one.
  void Fail(const std::string& aName, const std::string& aReason);
  const std::string& Path() const { return m_path; }

  /// The first error, if any; otherwise checks that each field of the object was asked for.
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
  std::vector<std::string> m_asked;
  std::optional<Error> m_error;
};

} // namespace fennelline
