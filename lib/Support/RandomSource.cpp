#include "marigoldspool/Support/RandomSource.h"

#include <cassert>

namespace marigoldspool {

RandomSource::~RandomSource() = default;

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    assert(bound > 0 && "the range must not be empty");
    return next() % bound;
}

double RandomSource::uniform()
{
    // 53 bits fill the mantissa of a double exactly.
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

std::string RandomSource::hex(std::size_t digits)
{
    static constexpr char HexDigits[] = "0123456789abcdef";
    std::string text;
    text.reserve(digits);
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < digits; ++i) {
        if (i % 16 == 0) {
            bits = next();
        }
        text.push_back(HexDigits[bits & 0xF]);
        bits >>= 4;
    }
    return text;
}

SeededRandomSource::SeededRandomSource(std::uint64_t seed)
    : m_engine(seed)
{ }

std::uint64_t SeededRandomSource::next()
{
    return m_engine();
}

std::uint64_t entropySeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace marigoldspool
