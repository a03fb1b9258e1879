#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// Parts of the review cases: stand-ins for clients, engines and the platform, and the processes
/// under test. Everything uses blocking sockets and one thread per connection.
namespace briarwood::review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// The case cannot run; the program exits with kCannotRun.
class RigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCannotRun = 2;

/// \returns false if the environment variable TROUBLE is "0".
[[nodiscard]] bool WithTrouble();

/// Writes one line per event with the milliseconds since the start. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& file_name);
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record();

  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::FILE* file_;
  Clock::time_point start_ = Clock::now();
};

/// Head of an HTTP message. Header names are in lower case.
struct Head {
  std::string first_line;
  std::map<std::string, std::string> headers;

  [[nodiscard]] std::string Find(const std::string& name) const;
  /// \returns word `index` of the first line: method, target and version, or version and status.
  [[nodiscard]] std::string Word(std::size_t index) const;
};

/// TCP connection with blocking calls.
class Channel {
 public:
  explicit Channel(int descriptor) : descriptor_(descriptor) {}
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel();

  /// \returns nullptr if the connection is not established in time.
  static std::unique_ptr<Channel> Connect(const std::string& address, milliseconds timeout);

  void SetTimeout(milliseconds timeout) const;
  [[nodiscard]] std::optional<Head> ReadHead();
  [[nodiscard]] std::optional<std::string> ReadBytes(std::size_t count);
  /// Reads up to and including "\r\n" and returns the text before it.
  [[nodiscard]] std::optional<std::string> ReadLine();
  /// Reads a body with a length, in chunks or up to the end of the connection.
  [[nodiscard]] std::optional<std::string> ReadBody(const Head& head);
  bool Write(std::string_view bytes) const;
  /// Ends all calls in progress.
  void Shutdown() const;
  /// Closes the connection with a reset.
  void Reset() const;

 private:
  bool Fill();

  int descriptor_;
  std::string buffer_;
};

/// Accepts connections and runs `handler` for each on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Channel&)>;

  Listener(const std::string& address, Handler handler);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener();

 private:
  void Run();

  int descriptor_;
  Handler handler_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::vector<std::shared_ptr<Channel>> channels_;
  std::thread thread_;
};

struct Reply {
  /// 0 if there was no complete answer.
  int status = 0;
  Head head;
  std::string body;
};

/// Sends one request on a new connection.
Reply Call(const std::string& address, const std::string& method, const std::string& target,
           const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body,
           milliseconds timeout);

/// Counts the runs of each request at the engines. Thread-safe.
class Runs {
 public:
  void Add(const std::string& attempt_id);
  [[nodiscard]] int Of(const std::string& attempt_id) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
};

/// Sound engine of a plain service: runs each request for 20 ms. `status_of` chooses the status of
/// its answer.
void ServePlain(Channel& channel, Runs& runs,
                const std::function<std::string(const Head&)>& status_of);

[[nodiscard]] std::string Join(std::initializer_list<std::string_view> parts);

/// \returns the outcome of a request for the record.
[[nodiscard]] std::string Describe(const std::string& attempt_id, int status, int runs);

/// \returns 16 hexadecimal digits.
[[nodiscard]] std::string NewAttemptId();

/// One process under test.
class Process {
 public:
  Process(std::string program, std::string settings, std::string log);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { Kill(); }

  void Start();
  void Kill();
  void Signal(int signal) const;
  /// \returns true if the process is running.
  [[nodiscard]] bool Running();
  /// \returns the resident memory, or 0 if the process has ended.
  [[nodiscard]] std::size_t MemoryMb() const;

 private:
  std::string program_;
  std::string settings_;
  std::string log_;
  pid_t id_ = 0;
};

/// Three machines with a control member and an entry each, and the platform.
class Deployment {
 public:
  static constexpr std::size_t kMachines = 3;

  explicit Deployment(Record& record);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment();

  /// Starts all processes for the first time.
  void Start();
  /// Adds an engine to the platform's list. \returns its address.
  std::string AddEngine(const std::string& id, const std::string& service, unsigned slots);
  /// Sends a desired state as the operator does: to the next member after a failure.
  /// \returns the status, or 0 if there was no clear response.
  int PutConfiguration(const std::string& content);
  /// \returns the response to a read of the desired state at one member.
  [[nodiscard]] Reply ReadConfiguration(std::size_t machine) const;
  /// Waits until all entries report that they are ready.
  void AwaitReady();

  [[nodiscard]] std::string Front(std::size_t machine) const;
  [[nodiscard]] Process& entry(std::size_t machine) { return *entries_.at(machine); }
  [[nodiscard]] Process& member(std::size_t machine) { return *members_.at(machine); }
  /// Writes the settings of a member for a later start.
  void WriteMemberSettings(std::size_t machine, bool bootstrap) const;

 private:
  [[nodiscard]] std::string Ip(std::size_t machine) const;
  [[nodiscard]] std::string Settings(const std::string& file, std::size_t machine,
                                     bool bootstrap) const;
  void ServePlatform(Channel& channel);

  Record& record_;
  std::string folder_;
  std::string network_;
  int first_port_ = 0;
  std::mutex mutex_;
  std::string instances_;
  unsigned engines_ = 0;
  std::unique_ptr<Listener> platform_;
  std::vector<std::unique_ptr<Process>> members_;
  std::vector<std::unique_ptr<Process>> entries_;
};

/// \returns a desired state with the route /u/ (unsafe) of the service "app" and `more_routes`
/// further
///   ones. `tenants` is the JSON text of the list of tenants.
[[nodiscard]] std::string MakeState(unsigned version, const std::string& tenants,
                                    unsigned more_routes = 0);

/// Sends a booking, which must not be repeated, with the key to an entry.
Reply Book(const std::string& front, const std::string& key, const std::string& attempt_id);

/// Runs a case and turns its result and errors into an exit status.
int RunCase(const std::function<bool(Record& record)>& rule_held, int argc, char** argv);

}  // namespace briarwood::review
