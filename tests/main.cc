// main() of all test programs. Test cases that KNOWN-RED.txt lists are printed and left out.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <fstream>
#include <iostream>
#include <string>

// Commas separate the values of a filter.
static std::string escapeCommas(const std::string& text)
{
    std::string escaped;
    for (const char character : text) {
        if (character == ',')
            escaped += '\\';
        escaped += character;
    }
    return escaped;
}

int main(int argc, char** argv)
{
    doctest::Context context(argc, argv);
    std::ifstream list(ORIOLETRAIL_SOURCE_DIR "/KNOWN-RED.txt");
    const std::string prefix = "test: ";
    for (std::string line; std::getline(list, line);) {
        if (line.compare(0, prefix.size(), prefix) != 0)
            continue;
        const std::string name = line.substr(prefix.size());
        std::cout << "known red, left out: " << name << '\n';
        context.addFilter("test-case-exclude", escapeCommas(name).c_str());
    }
    return context.run();
}
