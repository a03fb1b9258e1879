#include "briarwood/cli/briarwoodctl.h"

#include <openssl/rand.h>

#include <ostream>

#include "briarwood/common/digest.h"
#include "cli/impl/admin_client.h"
#include "cli/impl/ctl_commands.h"
#include "cli/impl/ctl_error.h"
#include "cli/impl/ctl_options.h"

namespace briarwood::cli {
namespace {

constexpr int kOperationIdBytes = 16;
constexpr int kKeyBytes = 32;

std::string RandomHex(int bytes) {
  std::string random(static_cast<std::size_t>(bytes), '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(random.data()), bytes) != 1) {
    throw impl::CtlError(ExitCode::kFailure, "the random number generator failed");
  }
  return common::ToHex(random);
}

ExitCode Run(const std::vector<std::string>& arguments, const std::string& version,
             const CtlEnvironment& environment, std::ostream& out, std::ostream& err) {
  const impl::CtlOptions options = impl::ReadOptions(arguments);
  if (options.help) {
    out << impl::HelpText();
    return ExitCode::kOk;
  }
  if (options.version) {
    out << "briarwoodctl " << version << "\n";
    return ExitCode::kOk;
  }
  impl::AdminClient client(options, err);
  if (options.check_settings) {
    out << "settings are valid\n";
    return ExitCode::kOk;
  }
  return impl::CtlCommands(options, environment, client, out).Run();
}

}  // namespace

CtlEnvironment SystemEnvironment() {
  return {.make_operation_id = [] { return RandomHex(kOperationIdBytes); },
          .make_key = [] { return "bw-" + RandomHex(kKeyBytes); }};
}

ExitCode RunBriarwoodctl(const std::vector<std::string>& arguments, const std::string& version,
                         const CtlEnvironment& environment, std::ostream& out, std::ostream& err) {
  try {
    return Run(arguments, version, environment, out, err);
  } catch (const impl::CtlError& error) {
    err << "briarwoodctl: " << error.what() << "\n";
    return error.code();
  } catch (const std::exception& error) {
    err << "briarwoodctl: " << error.what() << "\n";
    return ExitCode::kFailure;
  }
}

}  // namespace briarwood::cli
