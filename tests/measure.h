//===- measure.h - Resource use of processes, CSV output --------*- C++ -*-===//

#ifndef OLIVEVALVE_TESTS_MEASURE_H
#define OLIVEVALVE_TESTS_MEASURE_H

#include "tests/world.h"
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace olivevalve {

/// Appends rows of experiment, role, size, quantity, value to the file named by
/// OLIVEVALVE_CSV; discards them if the variable is not set.
class csv_file {
public:
  csv_file() {
    const char *Path = std::getenv("OLIVEVALVE_CSV");
    File.open(Path ? Path : "/dev/null", std::ios::app);
  }
  void row(const std::string &Experiment, const std::string &Role, double Size,
           const std::string &Quantity, double Value) {
    File << Experiment << "," << Role << "," << Size << "," << Quantity << ","
         << Value << std::endl;
  }

private:
  std::ofstream File;
};

/// Resource use of one process, from /proc.
struct resource_use {
  double CpuSeconds = 0; ///< User and system time since the process started.
  double ResidentMb = 0; ///< Resident memory in units of 10^6 bytes.
};

inline resource_use resourceUseOf(pid_t Pid) {
  std::string Folder = "/proc/" + std::to_string(Pid);
  std::ifstream Stat(Folder + "/stat");
  std::string Text((std::istreambuf_iterator<char>(Stat)), {});
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::string Field;
  double Ticks = 0;
  for (int I = 3; I <= 15 && Fields >> Field; ++I)
    if (I == 14 || I == 15)
      Ticks += std::atof(Field.c_str());
  std::ifstream Statm(Folder + "/statm");
  double Total = 0;
  double Resident = 0;
  Statm >> Total >> Resident;
  return {Ticks / double(sysconf(_SC_CLK_TCK)),
          Resident * double(sysconf(_SC_PAGESIZE)) / 1e6};
}

inline resource_use resourceUseOf(const daemon_process &Process) {
  return resourceUseOf(Process.pid());
}

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_MEASURE_H
