#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "marigoldspool/Support/Invariant.h"

#include <string>

// A violated invariant fails the test in which it happens.
int main(int argc, char **argv)
{
    marigoldspool::setInvariantHandler([](std::string_view name, std::string_view detail) {
        const std::string text = std::string(name) + ": " + std::string(detail);
        FAIL_CHECK("invariant violated: " << text);
    });
    doctest::Context context;
    context.applyCommandLine(argc, argv);
    return context.run();
}
