#include "briarwood/load/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace briarwood::load {
namespace {

constexpr std::uint64_t kBytesPerKib = 1024;
/// Number of fields of /proc/<pid>/stat between the command and the user time.
constexpr int kFieldsBeforeUserTime = 11;

std::optional<double> ReadCpuSeconds(const std::string& folder) {
  std::ifstream stat(folder + "/stat");
  std::string line;
  if (!std::getline(stat, line)) return std::nullopt;
  // The command is in parentheses and may contain spaces.
  const std::size_t command_end = line.rfind(')');
  if (command_end == std::string::npos) return std::nullopt;
  std::istringstream fields(line.substr(command_end + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) fields >> skipped;
  double user_ticks = 0;
  double system_ticks = 0;
  if (!(fields >> user_ticks >> system_ticks)) return std::nullopt;
  return (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace

std::optional<ProcessUsage> ReadProcessUsage(pid_t pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  const std::optional<double> cpu_seconds = ReadCpuSeconds(folder);
  if (!cpu_seconds) return std::nullopt;
  ProcessUsage usage{.cpu_seconds = *cpu_seconds};
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    std::istringstream fields(line);
    std::string name;
    std::uint64_t kib = 0;
    fields >> name >> kib;
    if (name == "VmRSS:") usage.resident_bytes = kib * kBytesPerKib;
    if (name == "VmHWM:") usage.peak_resident_bytes = kib * kBytesPerKib;
  }
  return usage;
}

}  // namespace briarwood::load
