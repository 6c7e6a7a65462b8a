/** @file Entry point of the Catch2 test programs. */
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace
{

/** Reads the names of the test cases of a program from lines of the form
 *  `build/tests/PROGRAM "NAME"`; details are on indented lines. */
std::vector<std::string> known_failing(std::string const& program)
{
    std::vector<std::string> names;
    std::ifstream list(KNOWN_RED_FILE);
    for (std::string line; std::getline(list, line);)
    {
        std::size_t const begin = line.find('"');
        std::size_t const end = line.rfind('"');
        if (line.rfind("build/tests/" + program + " ", 0) == 0 && begin < end)
        {
            names.push_back(line.substr(begin + 1, end - begin - 1));
        }
    }
    return names;
}

} // namespace

/** Passes over the cases that KNOWN-RED.txt lists and prints them, unless an
 *  argument names the case: a part of the cases may be run by a pattern. */
int main(int argc, char* argv[])
{
    Catch::Session session;
    int const parsed = session.applyCommandLine(argc, argv);
    if (parsed != 0)
    {
        return parsed;
    }
    std::string const path = argv[0];
    std::vector<std::string>& chosen = session.configData().testsOrTags;
    for (std::string const& name :
         known_failing(path.substr(path.rfind('/') + 1)))
    {
        if (std::find(chosen.begin(), chosen.end(), name) == chosen.end())
        {
            std::cout << "known to fail, not run: " << name << '\n';
            chosen.push_back("~\"" + name + "\"");
        }
    }
    return session.run();
}
