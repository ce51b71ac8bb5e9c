#include "CborReader.h"

#include <vector>

namespace marigoldspool {

namespace {

using nlohmann::json;

// The parser recurses once per level, so unbounded nesting would overflow the stack. Valid
// peer messages nest four levels deep.
constexpr std::size_t MaxNestingDepth = 16;

/// Builds the value and stops the parser on excessive nesting and on parse errors, where
/// from_cbor() would recurse further or throw.
class BoundedBuilder final : public nlohmann::json_sax<json>
{
public:
    json takeRoot() { return std::move(m_root); }

    // The names of these functions are the library's.
    // NOLINTBEGIN(readability-identifier-naming)
    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override { return add(value); }
    bool number_float(number_float_t value, const string_t & /*text*/) override
    {
        return add(value);
    }
    bool string(string_t &value) override { return add(std::move(value)); }
    bool binary(binary_t &value) override { return add(json::binary(std::move(value))); }
    bool key(string_t &name) override
    {
        m_key = std::move(name);
        return true;
    }
    bool start_object(std::size_t /*size*/) override { return open(json::object()); }
    bool start_array(std::size_t /*size*/) override { return open(json::array()); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }
    // NOLINTEND(readability-identifier-naming)

private:
    bool add(json value)
    {
        insert(std::move(value));
        return true;
    }

    bool open(json container)
    {
        if (m_openContainers.size() >= MaxNestingDepth) {
            return false;
        }
        m_openContainers.push_back(insert(std::move(container)));
        return true;
    }

    bool close()
    {
        m_openContainers.pop_back();
        return true;
    }

    json *insert(json value)
    {
        if (m_openContainers.empty()) {
            m_root = std::move(value);
            return &m_root;
        }
        // Only the innermost container grows while it is open, so the pointers stay valid.
        json &parent = *m_openContainers.back();
        if (parent.is_array()) {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        json &slot = parent[m_key];
        slot = std::move(value);
        return &slot;
    }

    json m_root;
    std::vector<json *> m_openContainers;
    std::string m_key;
};

} // namespace

std::optional<json> readCbor(gsl::span<const std::uint8_t> bytes)
{
    BoundedBuilder builder;
    if (!json::sax_parse(bytes.data(), bytes.data() + bytes.size(), &builder,
                         json::input_format_t::cbor)) {
        return std::nullopt;
    }
    return builder.takeRoot();
}

} // namespace marigoldspool
