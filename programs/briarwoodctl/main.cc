#include <iostream>
#include <string>
#include <vector>

#include "briarwood/cli/briarwoodctl.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(briarwood::cli::RunBriarwoodctl(
      arguments, BRIARWOOD_VERSION, briarwood::cli::SystemEnvironment(), std::cout, std::cerr));
}
