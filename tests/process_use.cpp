//===- process_use.cpp - Memory and descriptors of a process --------------===//

#include "tests/process_use.h"
#include "boost/test/unit_test.hpp"
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace olivevalve {

namespace {

std::string folderOf(pid_t Process) {
  return "/proc/" + std::to_string(Process);
}

double statusMb([[maybe_unused]] pid_t Process,
                [[maybe_unused]] const std::string &Name) {
#ifdef __SANITIZE_ADDRESS__
  return 0;
#else
  std::ifstream Status(folderOf(Process) + "/status");
  double Kilobytes = 0;
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with(Name))
      Kilobytes = std::atof(Line.c_str() + Name.size());
  BOOST_REQUIRE(Kilobytes > 0);
  return Kilobytes * 1024 / 1e6;
#endif
}

} // namespace

double peakMb(pid_t Process) { return statusMb(Process, "VmHWM:"); }

double residentMb(pid_t Process) { return statusMb(Process, "VmRSS:"); }

size_t openDescriptors(pid_t Process) {
  std::filesystem::directory_iterator Begin(folderOf(Process) + "/fd");
  return size_t(std::distance(Begin, std::filesystem::directory_iterator()));
}

} // namespace olivevalve
