/** \file
 * Command-line parsing and the main function of the stand-ins. Include it only from a Main.cpp,
 * because only the executables link cxxopts.
 */
#pragma once

// Keeps cxxopts from splitting list options at commas, which the values of --kind and --peers
// contain.
#define CXXOPTS_VECTOR_DELIMITER '\0'

#include <Poco/Exception.h>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace fulmarway::standins {

/** The values of a repeated option; empty when it is absent. */
inline std::vector<std::string>
OptionValues(const cxxopts::ParseResult& aParsed, const char* aName)
{
  return aParsed.count(aName) > 0 ? aParsed[aName].as<std::vector<std::string>>()
                                  : std::vector<std::string>{};
}

/** Adds the option --help, parses the command line, and prints the help text or calls aRun. Returns
 * the exit status: 2, with one line on standard error, when aRun or the parser throws. */
template<typename Run>
int
RunProgram(cxxopts::Options aOptions, int aCount, char** aArguments, Run aRun)
{
  constexpr int kExitBadSettings = 2;
  try {
    aOptions.add_options()("help", "print this text");
    const cxxopts::ParseResult parsed = aOptions.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << aOptions.help() << '\n';
    } else {
      aRun(parsed);
    }
    return 0;
  } catch (const Poco::Exception& error) {
    std::cerr << aOptions.program() << ": " << error.displayText() << '\n';
  } catch (const std::exception& error) {
    std::cerr << aOptions.program() << ": " << error.what() << '\n';
  }
  return kExitBadSettings;
}

} // namespace fulmarway::standins
