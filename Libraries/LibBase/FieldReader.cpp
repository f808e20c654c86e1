#include "LibBase/FieldReader.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace fennelline {

using nlohmann::json;

Result<std::shared_ptr<const json>> ParseJson(const std::string& aText) {
  try {
    return std::shared_ptr<const json>(std::make_shared<json>(json::parse(aText)));
  } catch (const json::parse_error& error) {
    return MakeError(ErrorCode::InvalidJson,
                     "not valid JSON at byte " + std::to_string(error.byte));
  } catch (const json::exception& error) {
    // A number that no type can hold.
    return MakeError(ErrorCode::InvalidJson, error.what());
  }
}

Result<std::shared_ptr<const json>> ReadJsonFile(const std::string& aPath) {
  std::ifstream file(aPath);
  if (!file) {
    return MakeError(ErrorCode::NotFound, "cannot read " + aPath);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseJson(text.str());
}

FieldReader::FieldReader(const json& aObject, std::string aPath, UnknownFields aUnknown)
  : m_object(aObject)
  , m_path(std::move(aPath))
  , m_unknown(aUnknown) {
  if (!m_object.is_object()) {
    m_error = MakeError(ErrorCode::InvalidField,
                        (m_path.empty() ? "the document" : m_path) + ": must be an object");
  }
}

std::string FieldReader::PathOf(const std::string& aName) const {
  return m_path.empty() ? aName : m_path + "." + aName;
}

void FieldReader::FailWith(ErrorCode aCode, const std::string& aName, const std::string& aReason) {
  if (!m_error) {
    m_error = MakeError(aCode, PathOf(aName) + ": " + aReason);
  }
}

void FieldReader::Fail(const std::string& aName, const std::string& aReason) {
  FailWith(ErrorCode::InvalidField, aName, aReason);
}

bool FieldReader::Has(const std::string& aName) const {
  return m_object.is_object() && m_object.contains(aName);
}

const json* FieldReader::Find(const std::string& aName) {
  m_requestedNames.push_back(aName);
  return Has(aName) ? &m_object.at(aName) : nullptr;
}

const json* FieldReader::Require(const std::string& aName) {
  const json* value = Find(aName);
  if (value == nullptr) {
    FailWith(ErrorCode::MissingField, aName, "is required");
  }
  return value;
}

std::string FieldReader::String(const std::string& aName) {
  const json* value = Require(aName);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    Fail(aName, "must be a string");
    return {};
  }
  return value->get<std::string>();
}

std::string FieldReader::String(const std::string& aName, std::string aDefault) {
  return Has(aName) ? String(aName) : (Find(aName), std::move(aDefault));
}

std::int64_t FieldReader::Integer(const std::string& aName, Range<std::int64_t> aRange) {
  const json* value = Require(aName);
  if (value == nullptr) {
    return aRange.m_min;
  }
  if (!value->is_number_integer() || value->get<std::int64_t>() < aRange.m_min ||
      value->get<std::int64_t>() > aRange.m_max) {
    Fail(aName, "must be a whole number from " + std::to_string(aRange.m_min) + " to " +
                  std::to_string(aRange.m_max));
    return aRange.m_min;
  }
  return value->get<std::int64_t>();
}

std::int64_t FieldReader::Integer(const std::string& aName, Range<std::int64_t> aRange,
                                  std::int64_t aDefault) {
  return Has(aName) ? Integer(aName, aRange) : (Find(aName), aDefault);
}

double FieldReader::Number(const std::string& aName, Range<double> aRange) {
  const json* value = Require(aName);
  if (value == nullptr) {
    return aRange.m_min;
  }
  if (!value->is_number() || value->get<double>() < aRange.m_min ||
      value->get<double>() > aRange.m_max) {
    std::ostringstream reason;
    reason << "must be a number from " << aRange.m_min << " to " << aRange.m_max;
    Fail(aName, reason.str());
    return aRange.m_min;
  }
  return value->get<double>();
}

double FieldReader::Number(const std::string& aName, Range<double> aRange, double aDefault) {
  return Has(aName) ? Number(aName, aRange) : (Find(aName), aDefault);
}

bool FieldReader::Boolean(const std::string& aName, bool aDefault) {
  const json* value = Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    Fail(aName, "must be true or false");
    return aDefault;
  }
  return value->get<bool>();
}

Duration FieldReader::DurationMs(const std::string& aName, Range<std::int64_t> aRangeMs) {
  return Milliseconds(Integer(aName, aRangeMs));
}

Duration FieldReader::DurationMs(const std::string& aName, Range<std::int64_t> aRangeMs,
                                 Duration aDefault) {
  return Milliseconds(Integer(aName, aRangeMs, InMilliseconds(aDefault)));
}

Duration FieldReader::FractionalMs(const std::string& aName, Range<double> aRangeMs) {
  const std::chrono::duration<double, std::milli> value(Number(aName, aRangeMs));
  return std::chrono::duration_cast<Duration>(value);
}

Duration FieldReader::FractionalMs(const std::string& aName, Range<double> aRangeMs,
                                   Duration aDefault) {
  return Has(aName) ? FractionalMs(aName, aRangeMs) : (Find(aName), aDefault);
}

std::vector<std::string> FieldReader::Strings(const std::string& aName) {
  const json* value = Find(aName);
  if (value == nullptr) {
    return {};
  }
  const bool valid =
    value->is_array() &&
    std::all_of(value->begin(), value->end(), [](const json& aItem) { return aItem.is_string(); });
  if (!valid) {
    Fail(aName, "must be an array of strings");
    return {};
  }
  return value->get<std::vector<std::string>>();
}

void FieldReader::Objects(const std::string& aName,
                          const std::function<void(FieldReader&)>& aRead) {
  const json* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    Fail(aName, "must be an array of objects");
    return;
  }
  for (std::size_t index = 0; index < value->size(); ++index) {
    FieldReader reader(value->at(index), PathOf(aName) + "[" + std::to_string(index) + "]",
                       m_unknown);
    aRead(reader);
    Result<void> outcome = reader.Finish();
    if (outcome.IsError() && !m_error) {
      m_error = outcome.TakeError();
    }
  }
}

void FieldReader::Object(const std::string& aName, const std::function<void(FieldReader&)>& aRead) {
  const json* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  FieldReader reader(*value, PathOf(aName), m_unknown);
  aRead(reader);
  Result<void> outcome = reader.Finish();
  if (outcome.IsError() && !m_error) {
    m_error = outcome.TakeError();
  }
}

Result<void> FieldReader::Finish() {
  if (m_error) {
    return *m_error;
  }
  if (m_unknown == UnknownFields::Ignore) {
    return {};
  }
  for (const auto& field : m_object.items()) {
    if (std::find(m_requestedNames.begin(), m_requestedNames.end(), field.key()) !=
        m_requestedNames.end()) {
      continue;
    }
    std::string allowed;
    for (const std::string& name : m_requestedNames) {
      allowed += (allowed.empty() ? "" : ", ") + name;
    }
    return MakeError(ErrorCode::UnknownField,
                     PathOf(field.key()) + ": unknown field; allowed are: " + allowed);
  }
  return {};
}

} // namespace fennelline
