#include "LibCoordination/Configuration/ConfigurationHistory.h"

#include "LibBase/Sha256.h"

#include <algorithm>
#include <utility>

namespace fennelline {

namespace {

std::size_t CommonPrefix(const std::string& aOne, const std::string& aOther) {
  const auto [one, other] = std::mismatch(aOne.begin(), aOne.end(), aOther.begin(), aOther.end());
  return static_cast<std::size_t>(one - aOne.begin());
}

std::size_t CommonSuffix(const std::string& aOne, const std::string& aOther, std::size_t aMost) {
  const auto [one, other] =
    std::mismatch(aOne.rbegin(), aOne.rend(), aOther.rbegin(), aOther.rend());
  return std::min(static_cast<std::size_t>(one - aOne.rbegin()), aMost);
}

} // namespace

void ConfigurationHistory::Add(ConfigurationText aDocument) {
  if (m_newest.m_revision != 0) {
    m_past.push_front(std::move(m_newest));
  }
  if (m_past.size() > m_pastDocuments) {
    m_past.pop_back();
  }
  m_newest = std::move(aDocument);
  m_newestHash = Sha256Hex(m_newest.m_text);
}

Message ConfigurationHistory::MakeMessage(Revision aBase) const {
  const ConfigurationText* base = Find(aBase);
  if (base == nullptr || aBase == m_newest.m_revision) {
    return ConfigurationDocument{.m_revision = m_newest.m_revision, .m_text = m_newest.m_text};
  }
  const std::string& text = m_newest.m_text;
  const std::size_t prefix = CommonPrefix(base->m_text, text);
  const std::size_t rest = std::min(base->m_text.size(), text.size()) - prefix;
  const std::size_t suffix = CommonSuffix(base->m_text, text, rest);
  ConfigurationDelta delta;
  delta.m_revision = m_newest.m_revision;
  delta.m_base = aBase;
  delta.m_prefixBytes = prefix;
  delta.m_suffixBytes = suffix;
  delta.m_middle = text.substr(prefix, text.size() - prefix - suffix);
  delta.m_hash = m_newestHash;
  return delta;
}

std::optional<ConfigurationText> ConfigurationHistory::Resolve(
  const ConfigurationDelta& aDelta) const {
  const ConfigurationText* base = Find(aDelta.m_base);
  if (base == nullptr) {
    return std::nullopt;
  }
  const std::string& text = base->m_text;
  const bool fits = aDelta.m_prefixBytes <= text.size() &&
                    aDelta.m_suffixBytes <= text.size() - aDelta.m_prefixBytes;
  if (!fits) {
    return std::nullopt;
  }
  ConfigurationText document;
  document.m_revision = aDelta.m_revision;
  document.m_text = text.substr(0, aDelta.m_prefixBytes) + aDelta.m_middle +
                    text.substr(text.size() - aDelta.m_suffixBytes);
  if (Sha256Hex(document.m_text) != aDelta.m_hash) {
    return std::nullopt;
  }
  return document;
}

const ConfigurationText* ConfigurationHistory::Find(Revision aRevision) const {
  if (aRevision == 0) {
    return nullptr;
  }
  if (aRevision == m_newest.m_revision) {
    return &m_newest;
  }
  const auto found =
    std::find_if(m_past.begin(), m_past.end(), [aRevision](const ConfigurationText& aText) {
      return aText.m_revision == aRevision;
    });
  return found == m_past.end() ? nullptr : &*found;
}

} // namespace fennelline
