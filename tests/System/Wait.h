#ifndef MARIGOLDSPOOL_TESTS_SYSTEM_WAIT_H
#define MARIGOLDSPOOL_TESTS_SYSTEM_WAIT_H

#include <chrono>
#include <thread>

namespace marigoldspool::system_tests {

/// Polls until \p holds returns true or \p limit has passed; returns whether it held.
template <class Predicate>
bool waitUntil(std::chrono::milliseconds limit, Predicate holds)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

} // namespace marigoldspool::system_tests

#endif
