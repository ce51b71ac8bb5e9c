#ifndef MARIGOLDSPOOL_LIB_OPERATOR_JSONNAMES_H
#define MARIGOLDSPOOL_LIB_OPERATOR_JSONNAMES_H

#include "marigoldspool/Support/Error.h"

#include <cassert>
#include <stdexcept>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace marigoldspool {

/// An enumerator and its name in JSON.
template <class Value>
struct NamedValue {
    Value value;
    std::string_view name;
};

template <class Value, std::size_t N>
std::string_view enumName(const NamedValue<Value> (&table)[N], Value value)
{
    for (const NamedValue<Value> &entry : table) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    assert(false && "the table has every value");
    return table[0].name;
}

/// Throws std::invalid_argument on an unknown name, for readJson().
template <class Value, std::size_t N>
Value enumFromName(const NamedValue<Value> (&table)[N], const std::string &name)
{
    for (const NamedValue<Value> &entry : table) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    throw std::invalid_argument("unknown value " + name);
}

/// Parses \p text and turns exceptions of \p read into an error that names \p what.
template <class Value, class Read>
Expected<Value> readJson(std::string_view what, std::string_view text, Read read)
{
    try {
        return read(nlohmann::json::parse(text));
    } catch (const std::exception &e) {
        // Exceptions of nlohmann::json and std::invalid_argument from enumFromName().
        return unexpectedError(ErrorKind::Malformed,
                               "the " + std::string(what)
                                   + " of the instance cannot be read: " + e.what(),
                               "check that the address is that of an instance of this version");
    }
}

} // namespace marigoldspool

#endif
