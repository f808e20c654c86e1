#include "Utilities/StandinPlatform/LaggingVmList.h"

namespace fennelline {

void LaggingVmList::Set(std::string aText, Time aNow) {
  const bool isFirst = m_texts.size() == 1 && m_texts.front().first == Time{};
  if (isFirst) {
    m_texts.clear();
  }
  m_texts.emplace_back(aNow, std::move(aText));
}

const std::string& LaggingVmList::Get(Duration aLag, Time aNow) {
  while (m_texts.size() > 1 && m_texts[1].first + aLag <= aNow) {
    m_texts.pop_front();
  }
  return m_texts.front().second;
}

} // namespace fennelline
