#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/time.h"

namespace briarwood::soak {

/// Times at which faults affected the parts of the system: processes, backend servers and links.
class DisturbanceLog {
 public:
  /// Records a fault without duration.
  void Add(const std::string& part, common::Time at);
  void Begin(const std::string& part, common::Time at);
  /// Ends the earliest fault of the part that has not ended.
  void End(const std::string& part, common::Time at);

  /// \returns true if a fault affected the part at any time from `from` to `to`.
  [[nodiscard]] bool Affected(const std::string& part, common::Time from, common::Time to) const;

 private:
  struct Interval {
    common::Time from;
    std::optional<common::Time> to;
  };

  std::map<std::string, std::vector<Interval>> intervals_;
};

}  // namespace briarwood::soak
