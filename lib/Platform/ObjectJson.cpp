#include "ObjectJson.h"

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using nlohmann::json;

Error malformedError(std::string_view what)
{
    return makeError(ErrorKind::Malformed, "the store's answer has no valid " + std::string(what),
                     "check that the address belongs to the platform's object API");
}

class JsonObjectReader
{
public:
    explicit JsonObjectReader(const json &value)
        : m_value(value)
    { }

    std::string text(const char *name)
    {
        const json *field = find(name);
        if (field == nullptr || !field->is_string()) {
            return markInvalid<std::string>(name);
        }
        return field->get<std::string>();
    }

    std::uint64_t number(const char *name)
    {
        const json *field = find(name);
        if (field == nullptr || !field->is_number_unsigned()) {
            return markInvalid<std::uint64_t>(name);
        }
        return field->get<std::uint64_t>();
    }

    bool flag(const char *name)
    {
        const json *field = find(name);
        if (field == nullptr || !field->is_boolean()) {
            return markInvalid<bool>(name);
        }
        return field->get<bool>();
    }

    const json &array(const char *name)
    {
        static const json none = json::array();
        const json *field = find(name);
        if (field == nullptr || !field->is_array()) {
            markInvalid<bool>(name);
            return none;
        }
        return *field;
    }

    /// The first field that was missing or had the wrong type; empty if there was none.
    const std::string &invalidField() const { return m_invalidField; }

private:
    const json *find(const char *name) const
    {
        const auto it = m_value.is_object() ? m_value.find(name) : m_value.end();
        return it == m_value.end() ? nullptr : &*it;
    }

    template <class T>
    T markInvalid(const char *name)
    {
        if (m_invalidField.empty()) {
            m_invalidField = name;
        }
        return {};
    }

    const json &m_value;
    std::string m_invalidField;
};

template <class T>
Expected<T> valueOrMalformed(const JsonObjectReader &reader, T value)
{
    if (!reader.invalidField().empty()) {
        return tl::unexpected<Error>(malformedError(reader.invalidField()));
    }
    return value;
}

json parse(std::string_view body)
{
    return json::parse(body, nullptr, false);
}

Expected<StoredObject> readStored(const json &value)
{
    JsonObjectReader reader(value);
    StoredObject object;
    object.key = reader.text("key");
    object.version = reader.number("version");
    object.value = reader.text("value");
    object.writeId = WriteId(reader.text("write_id"));
    return valueOrMalformed(reader, std::move(object));
}

Expected<WatchEvent> readEvent(const json &value)
{
    JsonObjectReader reader(value);
    WatchEvent event;
    event.key = reader.text("key");
    event.version = reader.number("version");
    event.deleted = reader.flag("deleted");
    event.value = reader.text("value");
    return valueOrMalformed(reader, std::move(event));
}

Expected<PlatformInstance> readInstance(const json &value)
{
    JsonObjectReader reader(value);
    PlatformInstance instance;
    instance.id = reader.text("id");
    instance.zone = reader.text("zone");
    instance.address = reader.text("address");
    const std::string state = reader.text("state");
    if (state != "live" && state != "leaving") {
        return tl::unexpected<Error>(malformedError("state"));
    }
    instance.state = state == "live" ? PlatformState::Live : PlatformState::Leaving;
    return valueOrMalformed(reader, std::move(instance));
}

template <class T>
Expected<std::vector<T>> readAll(const json &array, Expected<T> (*read)(const json &))
{
    std::vector<T> items;
    items.reserve(array.size());
    for (const json &value : array) {
        Expected<T> item = read(value);
        if (!item) {
            return tl::unexpected<Error>(item.error());
        }
        items.push_back(std::move(*item));
    }
    return items;
}

} // namespace

Expected<StoredObject> readObject(std::string_view body)
{
    return readStored(parse(body));
}

Expected<std::uint64_t> readVersion(std::string_view body)
{
    const json value = parse(body);
    JsonObjectReader reader(value);
    const std::uint64_t version = reader.number("version");
    return valueOrMalformed(reader, version);
}

Expected<ListResult> readList(std::string_view body)
{
    const json value = parse(body);
    JsonObjectReader reader(value);
    ListResult result;
    result.revision = reader.number("revision");
    auto objects = readAll(reader.array("objects"), readStored);
    if (!objects) {
        return tl::unexpected<Error>(objects.error());
    }
    result.objects = std::move(*objects);
    return valueOrMalformed(reader, std::move(result));
}

Expected<WatchBatch> readWatchBatch(std::string_view body)
{
    const json value = parse(body);
    JsonObjectReader reader(value);
    WatchBatch batch;
    batch.revision = reader.number("revision");
    batch.gap = reader.flag("gap");
    auto events = readAll(reader.array("events"), readEvent);
    if (!events) {
        return tl::unexpected<Error>(events.error());
    }
    batch.events = std::move(*events);
    return valueOrMalformed(reader, std::move(batch));
}

Expected<std::vector<PlatformInstance>> readInstances(std::string_view body)
{
    const json value = parse(body);
    JsonObjectReader reader(value);
    const json &array = reader.array("instances");
    if (!reader.invalidField().empty()) {
        return tl::unexpected<Error>(malformedError(reader.invalidField()));
    }
    return readAll(array, readInstance);
}

Expected<std::string> writePutBody(std::uint64_t expectedVersion, std::string_view value,
                                   const WriteId &writeId)
{
    const json body{{"expected_version", expectedVersion},
                    {"write_id", writeId.str()},
                    {"value", std::string(value)}};
    try {
        return body.dump();
    } catch (const json::type_error &) {
        return unexpectedError(ErrorKind::InvalidArgument, "the value to write is not UTF-8",
                               "encode binary data as text before writing it");
    }
}

std::string percentEncode(std::string_view text, bool query)
{
    static constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool isLiteral = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~'
            || (c == '/' && !query);
        if (isLiteral) {
            encoded.push_back(c);
            continue;
        }
        encoded.push_back('%');
        encoded.push_back(Digits[byte >> 4U]);
        encoded.push_back(Digits[byte & 15U]);
    }
    return encoded;
}

} // namespace marigoldspool
