#include "Utilities/Policy/Experiments.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int64(seeds, 20, "how many seeds to run");      // NOLINT
DEFINE_int64(first_seed, 1, "the first of the seeds"); // NOLINT
DEFINE_int32(threads, 3, "threads for the seeds");     // NOLINT
DEFINE_string(json, "", "file for the results");       // NOLINT
DEFINE_string(svg, "", "file for a drawing of them");  // NOLINT

namespace fennelline {

namespace {

struct Experiment {
  const char* m_name;
  Report (*m_run)(const ExperimentOptions&);
};

constexpr std::array<Experiment, 6> kExperiments = {{
  {"replicas", RunReplicas},
  {"overload", RunOverload},
  {"fairness", RunFairness},
  {"plans", RunPlans},
  {"exposure", RunExposure},
  {"decision-cost", RunDecisionCost},
}};

const Experiment* FindExperiment(const std::string& aName) {
  for (const Experiment& experiment : kExperiments) {
    if (aName == experiment.m_name) {
      return &experiment;
    }
  }
  return nullptr;
}

/// Writes the text unless there is no path; false where that fails.
bool WriteFile(const std::string& aPath, const std::string& aText) {
  if (aPath.empty()) {
    return true;
  }
  std::ofstream file(aPath);
  file << aText;
  return file.good();
}

int RunExperiment(const std::string& aName) {
  const Experiment* experiment = FindExperiment(aName);
  if (experiment == nullptr) {
    std::cerr << "unknown experiment \"" << aName << "\"; there are:";
    for (const Experiment& known : kExperiments) {
      std::cerr << " " << known.m_name;
    }
    std::cerr << "\n";
    return 2;
  }
  const Report report =
    experiment->m_run({.m_firstSeed = static_cast<std::uint64_t>(FLAGS_first_seed),
                       .m_seeds = static_cast<std::size_t>(FLAGS_seeds),
                       .m_threads = FLAGS_threads});
  std::cout << WriteTable(report);
  const bool written =
    WriteFile(FLAGS_json, WriteJson(report)) && WriteFile(FLAGS_svg, WriteSvg(report));
  return written ? 0 : 1;
}

} // namespace

} // namespace fennelline

int main(int argc, char** argv) {
  gflags::SetUsageMessage("fennelline-policy EXPERIMENT [--seeds N] [--json FILE]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc != 2) {
    std::cerr << gflags::ProgramUsage() << "\n";
    return 2;
  }
  return fennelline::RunExperiment(argv[1]);
}
