#include "LibBase/Log.h"
#include "Utilities/Load/LoadReport.h"
#include "Utilities/Load/SvgPlot.h"

#include <array>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <spdlog/spdlog.h>
#include <sstream>

// NOLINTBEGIN(readability-identifier-naming,readability-redundant-declaration)
DEFINE_string(experiment, "", "experiment file, see docs/operating/start.md");
DEFINE_string(entries, "", "comma-separated IP:PORT of entries to query for addresses");
DEFINE_bool(direct, false, "send to the stand-ins directly, to measure the baseline");
DEFINE_string(engine, "", "with --direct: IP:PORT of an engine");
DEFINE_string(service, "", "with --direct: IP:PORT of a plain service");
DEFINE_string(report, "", "file for the JSON report; standard output if empty");
DEFINE_string(plot, "", "file for an SVG plot of latency");
DEFINE_double(requests_per_second, 0.0, "overrides the experiment's rate");
DEFINE_int64(length_ms, 0, "overrides the experiment's length");
DEFINE_int64(seed, -1, "overrides the experiment's seed");
// NOLINTEND(readability-identifier-naming,readability-redundant-declaration)

namespace {

using namespace fennelline;

constexpr int kUsageError = 2;

Result<Experiment> ReadExperiment() {
  std::ifstream file(FLAGS_experiment);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return MakeError(ErrorCode::Io, "cannot read \"" + FLAGS_experiment + "\"");
  }
  Experiment experiment = TRY(ParseExperiment(text.str()));
  if (FLAGS_requests_per_second > 0.0) {
    experiment.m_requestsPerSecond = FLAGS_requests_per_second;
  }
  if (FLAGS_length_ms > 0) {
    experiment.m_length = Milliseconds(FLAGS_length_ms);
  }
  if (FLAGS_seed >= 0) {
    experiment.m_seed = static_cast<std::uint64_t>(FLAGS_seed);
  }
  return experiment;
}

Result<LoadTargets> ReadTargets() {
  LoadTargets targets;
  std::istringstream stream(FLAGS_entries);
  std::string address;
  while (std::getline(stream, address, ',')) {
    targets.m_entries.push_back(address);
  }
  targets.m_directEngine = FLAGS_engine;
  targets.m_directService = FLAGS_service;
  if (FLAGS_direct != targets.m_entries.empty()) {
    return MakeError(ErrorCode::InvalidField, "give either --entries or --direct");
  }
  return targets;
}

Plot LatencyPlot(const Experiment& aExperiment, const std::vector<KindFigures>& aFigures) {
  constexpr std::array<double, 6> kShares = {0.5, 0.75, 0.9, 0.95, 0.99, 0.999};
  Plot plot{.m_title = aExperiment.m_name + ": latency from the due time, by percentile",
            .m_yLabel = "ms",
            .m_xLabels = {"50", "75", "90", "95", "99", "99.9"}};
  for (const KindFigures& figures : aFigures) {
    PlotLine line{.m_name = figures.m_name};
    for (std::size_t position = 0; position < kShares.size(); ++position) {
      line.m_points.emplace_back(static_cast<double>(position),
                                 Percentile(figures.m_latencies, kShares[position]));
    }
    plot.m_lines.push_back(line);
  }
  return plot;
}

bool WriteFile(const std::string& aPath, const std::string& aText) {
  std::ofstream file(aPath);
  file << aText;
  file.close();
  return static_cast<bool>(file);
}

Result<void> WriteResults(const Experiment& aExperiment, const std::vector<KindFigures>& aFigures) {
  const std::string report = WriteReport(aExperiment, aFigures);
  if (FLAGS_report.empty()) {
    std::cout << report;
  } else if (!WriteFile(FLAGS_report, report)) {
    return MakeError(ErrorCode::Io, "cannot write " + FLAGS_report);
  }
  if (!FLAGS_plot.empty() && !WriteFile(FLAGS_plot, WriteSvg(LatencyPlot(aExperiment, aFigures)))) {
    return MakeError(ErrorCode::Io, "cannot write " + FLAGS_plot);
  }
  return {};
}

Result<void> RunProgram() {
  const Experiment experiment = TRY(ReadExperiment());
  const LoadTargets targets = TRY(ReadTargets());
  const std::vector<PlannedRequest> requests = MakeSchedule(experiment);
  MakeLogger("load")->info("sending {} requests", requests.size());
  const std::vector<LoadResult> results = RunLoad(experiment, targets, requests);
  TRY(WriteResults(experiment, Summarize(experiment, results)));
  return {};
}

} // namespace

int main(int aCount, char** aArguments) {
  gflags::SetUsageMessage("Sends an open-loop load to entries and reports the results.");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const Result<void> result = RunProgram();
  if (result.IsError()) {
    std::cerr << "fennelline-load: " << result.GetError().m_detail << "\n";
    const bool isIo = result.GetError().m_code == make_error_code(ErrorCode::Io);
    return isIo ? 1 : kUsageError;
  }
  return 0;
}
