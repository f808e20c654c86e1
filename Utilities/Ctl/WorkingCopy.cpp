#include "Utilities/Ctl/WorkingCopy.h"

#include "LibBase/FieldReader.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

std::string BasePath(const std::string& aPath) {
  return aPath + ".base";
}

Result<void> WriteFile(const std::string& aPath, const std::string& aText) {
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  file << aText;
  file.close();
  if (!file) {
    return MakeError(ErrorCode::Io, "cannot write the file \"" + aPath + "\"");
  }
  return {};
}

} // namespace

Result<void> WriteBase(const std::string& aPath, const WorkingCopyBase& aBase) {
  const nlohmann::json base = {{"revision", aBase.m_revision}, {"text", aBase.m_text}};
  return WriteFile(BasePath(aPath), base.dump() + "\n");
}

Result<void> WriteWorkingCopy(const std::string& aPath, const WorkingCopyBase& aBase) {
  TRY(WriteFile(aPath, aBase.m_text));
  return WriteBase(aPath, aBase);
}

Result<std::optional<WorkingCopyBase>> ReadBase(const std::string& aPath) {
  if (!std::filesystem::exists(BasePath(aPath))) {
    return std::optional<WorkingCopyBase>();
  }
  const std::shared_ptr<const nlohmann::json> document = TRY(ReadJsonFile(BasePath(aPath)));
  FieldReader reader(*document, BasePath(aPath));
  WorkingCopyBase base;
  base.m_revision = static_cast<Revision>(
    reader.Integer("revision", {0, std::numeric_limits<std::int64_t>::max()}));
  base.m_text = reader.String("text");
  TRY(reader.Finish());
  return std::optional<WorkingCopyBase>(base);
}

} // namespace fennelline
