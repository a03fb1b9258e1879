#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/common/time.h"
#include "briarwood/control/admin_backend.h"
#include "briarwood/http/server.h"

namespace briarwood::control {

struct AdminOptions {
  /// "ip:port"; port 0 selects a free port.
  std::string listen;
  std::string certificate_file;
  std::string private_key_file;
  /// Read for each request, so that calls of a removed operator are rejected immediately.
  std::string operators_file;
  /// Threads that execute calls; a call blocks its thread until its command is committed.
  unsigned threads = 4;
  std::size_t max_queued_calls = 256;
  std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
};

/// Administration API over HTTP; docs/api.md lists its calls and errors.
class AdminApi {
 public:
  /// \param backend  must outlive the API
  /// \returns the running API, or an error that describes why it cannot start.
  static common::Result<std::unique_ptr<AdminApi>> Start(AdminOptions options,
                                                         AdminBackend& backend);

  /// Completes the queued calls, then closes the listener.
  ~AdminApi();
  AdminApi(const AdminApi&) = delete;
  AdminApi& operator=(const AdminApi&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return server_->port(); }

 private:
  struct Job {
    std::shared_ptr<http::Exchange> exchange;
    /// Earliest execution time; a call that waits for a change to be in force polls at intervals.
    common::Time due;
    common::Time deadline;
  };

  AdminApi(AdminOptions options, AdminBackend& backend);
  void Enqueue(const std::shared_ptr<http::Exchange>& exchange);
  void RunWorker();
  bool TakeDueJob(std::unique_lock<std::mutex>& lock, Job& job);
  void Execute(Job job);

  AdminOptions options_;
  AdminBackend& backend_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace briarwood::control
