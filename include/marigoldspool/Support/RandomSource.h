#ifndef MARIGOLDSPOOL_SUPPORT_RANDOMSOURCE_H
#define MARIGOLDSPOOL_SUPPORT_RANDOMSOURCE_H

#include <cstdint>
#include <random>
#include <string>

namespace marigoldspool {

/// Source of random numbers, passed in so that a test run can be repeated from its seed.
class RandomSource
{
public:
    virtual ~RandomSource();
    virtual std::uint64_t next() = 0;
    /// Uniformly distributed in [0, \p bound); \p bound must be positive.
    std::uint64_t below(std::uint64_t bound);
    /// Uniformly distributed in [0, 1).
    double uniform();
    /// \p digits random hexadecimal digits, for identifiers.
    std::string hex(std::size_t digits);
};

/// A Mersenne Twister with a given seed.
class SeededRandomSource final : public RandomSource
{
public:
    explicit SeededRandomSource(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

/// A seed from the operating system's entropy source.
std::uint64_t entropySeed();

} // namespace marigoldspool

#endif
