#include "marigoldspool/Peer/Messages.h"

#include "CborReader.h"
#include "MessageFields.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <type_traits>
#include <utility>

namespace marigoldspool {

namespace {

using nlohmann::json;

// The kind number on the wire is the index of the alternative in PeerMessage, so new kinds may only
// be appended.
constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> KindNames{
    "heartbeat",         "config_request",  "config_transfer",
    "loan_request",      "loan_grant",      "epoch_ack",
    "forward_request",   "forward_head",    "forward_data",
    "forward_refusal",   "forward_cancel",  "demand_report",
    "placement",         "objects_request", "objects",
    "usage_report",      "usage_totals",    "load_forecasts",
    "revision_beacon",   "prompt_evidence", "leaving_endpoints",
    "limited_endpoints", "endpoint_loads",  "fleet_loads",
    "silent_endpoints",  "request_starts",  "object_part_request",
    "object_part",       "stream_origins"};

class Encoder
{
public:
    template <class T>
    void operator()(const char *name, const T &value)
    {
        m_fields[name] = toJson(value);
    }

    template <class T>
    void optional(const char *name, const T &value)
    {
        (*this)(name, value);
    }

    void finalStatus(const char *name, int value) { (*this)(name, value); }

    void bytes(const char *name, const std::string &value)
    {
        m_fields[name] = json::binary({value.begin(), value.end()});
    }

    // Numbers that use all 64 bits take nine bytes each as CBOR integers.
    void packed(const char *name, const std::vector<std::uint64_t> &values, std::size_t /*max*/)
    {
        std::string text;
        text.reserve(values.size() * sizeof(std::uint64_t));
        for (const std::uint64_t value : values) {
            for (int shift = 56; shift >= 0; shift -= 8) {
                text.push_back(static_cast<char>((value >> shift) & 0xFF));
            }
        }
        bytes(name, text);
    }

    json take() { return std::move(m_fields); }

private:
    template <class T>
    static std::enable_if_t<std::is_arithmetic_v<T>, json> toJson(T value)
    {
        return value;
    }

    static json toJson(const std::string &text) { return text; }

    template <class Tag>
    static json toJson(const Identifier<Tag> &id)
    {
        return id.str();
    }

    static json toJson(RefusalReason reason) { return std::string(refusalCode(reason)); }
    static json toJson(RanState ran) { return std::string(ranStateName(ran)); }

    static json toJson(const std::vector<HeaderField> &headers)
    {
        json list = json::array();
        for (const HeaderField &header : headers) {
            list.push_back(json::array({header.name, header.value}));
        }
        return list;
    }

    static json toJson(const std::vector<std::string> &texts) { return texts; }

    static json toJson(const LeaseAnnouncement &lease)
    {
        Encoder fields;
        visitFields(fields, lease);
        return fields.take();
    }

    template <class T>
    static json toJson(const std::vector<T> &items)
    {
        json list = json::array();
        for (const T &item : items) {
            Encoder fields;
            visitFields(fields, item);
            list.push_back(fields.take());
        }
        return list;
    }

    json m_fields = json::object();
};

// 126 years: as good as endless, and less than half of what a time in nanoseconds can represent.
constexpr std::int64_t MaxMilliseconds = 4'000'000'000'000;

/// Reads the fields of a map and records the name of the first one that is missing or mistyped.
class Decoder
{
public:
    explicit Decoder(const json &fields)
        : m_fields(fields)
    { }

    template <class T>
    void operator()(const char *name, T &value)
    {
        const json *field = find(name);
        if (field == nullptr || !read(*field, value)) {
            markInvalid(name);
        }
    }

    /// A field that instances of an older version do not send; it keeps its default then.
    template <class T>
    void optional(const char *name, T &value)
    {
        if (find(name) != nullptr) {
            (*this)(name, value);
        }
    }

    // The writer of the answer asserts that its status is a final one.
    void finalStatus(const char *name, int &value)
    {
        constexpr int First = 200;
        constexpr int Last = 599;
        (*this)(name, value);
        if (value < First || value > Last) {
            markInvalid(name);
        }
    }

    void bytes(const char *name, std::string &value)
    {
        const json *field = find(name);
        if (field == nullptr || !field->is_binary()) {
            markInvalid(name);
            return;
        }
        const auto &binary = field->get_binary();
        value.assign(binary.begin(), binary.end());
    }

    void packed(const char *name, std::vector<std::uint64_t> &values, std::size_t max)
    {
        constexpr std::size_t Size = sizeof(std::uint64_t);
        const json *field = find(name);
        if (field == nullptr || !field->is_binary() || field->get_binary().size() % Size != 0
            || field->get_binary().size() / Size > max) {
            markInvalid(name);
            return;
        }
        const auto &binary = field->get_binary();
        values.assign(binary.size() / Size, 0);
        for (std::size_t i = 0; i < binary.size(); ++i) {
            values[i / Size] = values[i / Size] << 8U | binary[i];
        }
    }

    const std::string &invalidField() const { return m_invalidField; }

private:
    const json *find(const char *name) const
    {
        const auto it = m_fields.is_object() ? m_fields.find(name) : m_fields.end();
        return it == m_fields.end() ? nullptr : &*it;
    }

    void markInvalid(const char *name)
    {
        if (m_invalidField.empty()) {
            m_invalidField = name;
        }
    }

    static bool read(const json &field, bool &value)
    {
        if (!field.is_boolean()) {
            return false;
        }
        value = field.get<bool>();
        return true;
    }

    static bool read(const json &field, std::uint64_t &value)
    {
        if (!field.is_number_unsigned()) {
            return false;
        }
        value = field.get<std::uint64_t>();
        return true;
    }

    static bool read(const json &field, std::uint32_t &value)
    {
        std::uint64_t wide = 0;
        if (!read(field, wide) || wide > std::numeric_limits<std::uint32_t>::max()) {
            return false;
        }
        value = static_cast<std::uint32_t>(wide);
        return true;
    }

    // Most signed fields are times in milliseconds, which the receiver adds to or subtracts from a
    // time in nanoseconds.
    static bool read(const json &field, std::int64_t &value)
    {
        constexpr std::uint64_t MaxValue = std::numeric_limits<std::int64_t>::max();
        if (!field.is_number_integer()
            || (field.is_number_unsigned() && field.get<std::uint64_t>() > MaxValue)) {
            return false;
        }
        value = std::clamp(field.get<std::int64_t>(), -MaxMilliseconds, MaxMilliseconds);
        return true;
    }

    static bool read(const json &field, int &value)
    {
        std::int64_t wide = 0;
        if (!read(field, wide) || wide < std::numeric_limits<int>::min()
            || wide > std::numeric_limits<int>::max()) {
            return false;
        }
        value = static_cast<int>(wide);
        return true;
    }

    static bool read(const json &field, LeaseAnnouncement &value)
    {
        Decoder fields(field);
        visitFields(fields, value);
        return fields.invalidField().empty();
    }

    // NaN and infinity are rejected because later bound checks would not catch them.
    static bool read(const json &field, double &value)
    {
        if (!field.is_number() || !std::isfinite(field.get<double>())) {
            return false;
        }
        value = field.get<double>();
        return true;
    }

    static bool read(const json &field, std::string &value)
    {
        if (!field.is_string()) {
            return false;
        }
        value = field.get_ref<const std::string &>();
        return true;
    }

    template <class Tag>
    static bool read(const json &field, Identifier<Tag> &id)
    {
        std::string text;
        if (!read(field, text)) {
            return false;
        }
        id = Identifier<Tag>(std::move(text));
        return true;
    }

    static bool read(const json &field, RefusalReason &reason)
    {
        const auto known = field.is_string() ? refusalFromCode(field.get_ref<const std::string &>())
                                             : std::nullopt;
        if (!known) {
            return false;
        }
        reason = *known;
        return true;
    }

    static bool read(const json &field, RanState &ran)
    {
        for (const RanState state : {RanState::No, RanState::Unknown}) {
            if (field.is_string() && field.get_ref<const std::string &>() == ranStateName(state)) {
                ran = state;
                return true;
            }
        }
        return false;
    }

    static bool read(const json &field, std::vector<std::string> &texts)
    {
        if (!field.is_array()) {
            return false;
        }
        texts.resize(field.size());
        for (std::size_t i = 0; i < texts.size(); ++i) {
            if (!read(field[i], texts[i])) {
                return false;
            }
        }
        return true;
    }

    template <class T>
    static bool read(const json &field, std::vector<T> &items)
    {
        if (!field.is_array()) {
            return false;
        }
        items.resize(field.size());
        for (std::size_t i = 0; i < items.size(); ++i) {
            Decoder fields(field[i]);
            visitFields(fields, items[i]);
            if (!fields.invalidField().empty()) {
                return false;
            }
        }
        return true;
    }

    static bool read(const json &field, std::vector<HeaderField> &headers)
    {
        if (!field.is_array()) {
            return false;
        }
        for (const json &pair : field) {
            HeaderField header;
            if (!pair.is_array() || pair.size() != 2 || !read(pair[0], header.name)
                || !read(pair[1], header.value)) {
                return false;
            }
            headers.push_back(std::move(header));
        }
        return true;
    }

    const json &m_fields;
    std::string m_invalidField;
};

tl::unexpected<Error> malformed(const std::string &what)
{
    return unexpectedError(ErrorKind::Malformed, "peer message: " + what,
                           "check that both instances run compatible releases");
}

template <class M>
Expected<PeerMessage> readMessage(const json &fields)
{
    M message;
    Decoder decoder(fields);
    visitFields(decoder, message);
    if (!decoder.invalidField().empty()) {
        return malformed("missing or invalid field " + decoder.invalidField());
    }
    return PeerMessage(std::move(message));
}

using MessageReader = Expected<PeerMessage> (*)(const json &);

template <std::size_t... Kinds>
constexpr std::array<MessageReader, sizeof...(Kinds)>
makeReaders(std::index_sequence<Kinds...> /*kinds*/)
{
    return {&readMessage<std::variant_alternative_t<Kinds, PeerMessage>>...};
}

constexpr auto Readers = makeReaders(std::make_index_sequence<KindNames.size()>());

} // namespace

std::vector<std::uint8_t> encodeMessage(const Envelope &envelope, const PeerMessage &message)
{
    Encoder fields;
    std::visit(
        [&](const auto &m) {
            visitFields(fields, m);
        },
        message);
    Encoder outer;
    outer("v", envelope.protocol);
    outer("f", envelope.from);
    outer("i", envelope.incarnation);
    outer("s", envelope.sequence);
    outer("k", static_cast<std::uint64_t>(message.index()));
    json frame = outer.take();
    frame["m"] = fields.take();
    return json::to_cbor(frame);
}

Expected<DecodedMessage> decodeMessage(gsl::span<const std::uint8_t> bytes)
{
    const std::optional<json> frame = readCbor(bytes);
    if (!frame) {
        return malformed("the frame is not a valid CBOR value");
    }
    Envelope envelope;
    std::uint64_t kind = 0;
    Decoder outer(*frame);
    outer("v", envelope.protocol);
    outer("f", envelope.from);
    outer("i", envelope.incarnation);
    outer("s", envelope.sequence);
    outer("k", kind);
    if (!outer.invalidField().empty()) {
        return malformed("missing or invalid envelope field " + outer.invalidField());
    }
    if (envelope.protocol != PeerProtocolVersion) {
        return malformed("protocol version " + std::to_string(envelope.protocol) + ", expected "
                         + std::to_string(PeerProtocolVersion));
    }
    const auto fields = frame->find("m");
    if (kind >= Readers.size() || fields == frame->end()) {
        return malformed("kind " + std::to_string(kind) + " is unknown or has no fields");
    }
    Expected<PeerMessage> message = Readers[kind](*fields);
    if (!message) {
        return tl::unexpected<Error>(message.error());
    }
    return DecodedMessage{std::move(envelope), std::move(*message)};
}

std::string_view messageName(const PeerMessage &message)
{
    return KindNames[message.index()];
}

} // namespace marigoldspool
