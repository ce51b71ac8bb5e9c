#include "marigoldspool/Peer/Messages.h"

#include <limits>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace marigoldspool;
using nlohmann::json;

namespace {

std::string anyText()
{
    return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

template <class Id>
Id anyId()
{
    return Id(anyText());
}

template <class T>
T any()
{
    return *rc::gen::arbitrary<T>();
}

// Longer times are bounded by the decoder.
std::int64_t anyMilliseconds()
{
    constexpr std::int64_t Max = 4'000'000'000'000;
    return *rc::gen::inRange<std::int64_t>(-Max, Max + 1);
}

std::vector<HeaderField> anyHeaders()
{
    std::vector<HeaderField> headers(*rc::gen::inRange<std::size_t>(0, 4));
    for (HeaderField &header : headers) {
        header = {anyText(), anyText()};
    }
    return headers;
}

RefusalReason anyReason()
{
    const auto reasons = allRefusalReasons();
    return reasons[*rc::gen::inRange<std::size_t>(0, reasons.size())];
}

PeerMessage anyMessage()
{
    switch (*rc::gen::inRange(0, 21)) {
    case 0:
        return Heartbeat{anyId<ZoneName>(),    anyText(),  any<std::uint64_t>(), anyMilliseconds(),
                         any<std::uint64_t>(), any<bool>()};
    case 1:
        return ConfigRequest{any<std::uint64_t>()};
    case 2:
        return ConfigTransfer{any<std::uint64_t>(), anyText()};
    case 3:
        return LoanRequest{anyText(), any<std::uint64_t>(), any<double>(), any<double>()};
    case 4:
        return LoanGrant{anyText(), any<std::uint64_t>(), any<double>(), any<double>(),
                         anyMilliseconds()};
    case 5:
        return EpochAck{any<std::uint64_t>(), any<std::uint64_t>(), any<bool>()};
    case 6:
        return ForwardRequest{anyId<RequestId>(), anyId<WorkspaceName>(),
                              anyId<KeyDigest>(), anyId<RouteName>(),
                              anyId<ModelName>(), anyText(),
                              anyText(),          anyText(),
                              anyHeaders(),       anyText(),
                              any<double>(),      anyMilliseconds(),
                              any<bool>(),        any<bool>(),
                              any<bool>()};
    case 7:
        return ForwardHead{anyId<RequestId>(), *rc::gen::inRange(200, 600), anyHeaders(),
                           any<bool>()};
    case 8:
        return ForwardData{anyId<RequestId>(), any<std::uint64_t>(), anyText(), any<bool>()};
    case 9:
        return ForwardRefusal{
            anyId<RequestId>(), anyReason(), any<bool>() ? RanState::No : RanState::Unknown,
            anyText(),          anyText(),   anyMilliseconds()};
    case 10:
        return PromptEvidence{{{anyId<EndpointId>(),
                                anyText(),
                                {anyText(), anyText()},
                                anyText(),
                                any<std::uint64_t>(),
                                anyId<RequestId>()}},
                              {{anyText(), anyText()}},
                              {{anyText(),
                                anyText(),
                                anyMilliseconds(),
                                anyMilliseconds(),
                                any<std::uint64_t>(),
                                {anyText()}}},
                              {{anyText(), anyText(), any<std::uint64_t>(), anyId<RequestId>(),
                                any<bool>(), any<bool>()}}};
    case 11:
        return LeavingEndpoints{{{anyId<EndpointId>(), anyMilliseconds()}}};
    case 12:
        return LimitedEndpoints{{{anyId<EndpointId>(), anyMilliseconds(), any<double>(),
                                  any<bool>(), anyMilliseconds()}}};
    case 13:
        return EndpointLoads{
            {{anyId<EndpointId>(),
              anyMilliseconds(),
              {{anyId<ModelName>(), anyMilliseconds(), anyMilliseconds()}}}},
            {{anyText(), anyId<ModelName>(), anyMilliseconds(), anyMilliseconds(), any<double>()}}};
    case 14:
        return FleetLoads{
            any<std::uint64_t>(),
            any<std::uint64_t>(),
            any<bool>(),
            {{anyId<EndpointId>(), anyMilliseconds(), anyMilliseconds(), anyMilliseconds()}},
            any<bool>(),
            {{anyText(), anyId<ModelName>(), anyMilliseconds(), anyMilliseconds(), any<double>()}}};
    case 15:
        return SilentEndpoints{{{anyId<EndpointId>(), anyMilliseconds(), anyMilliseconds(),
                                 any<bool>(), anyId<InstanceId>()}}};
    case 16:
        return RequestStarts{
            {{anyMilliseconds(), any<bool>(), {{anyId<WorkspaceName>(), any<std::uint64_t>()}}}}};
    case 17:
        return ObjectPartRequest{anyText(), anyText(), any<std::uint64_t>(), any<std::uint64_t>()};
    case 18:
        return ObjectPart{
            anyText(), anyText(), any<std::uint64_t>(), any<std::uint64_t>(), any<std::uint64_t>(),
            anyText()};
    case 19:
        return StreamOriginNotices{{{anyText(), anyText(), any<std::vector<std::uint64_t>>()}}};
    default:
        return ForwardCancel{anyId<RequestId>()};
    }
}

Envelope anyEnvelope()
{
    return {PeerProtocolVersion, anyId<InstanceId>(), any<std::uint64_t>(), any<std::uint64_t>()};
}

json sampleFrame()
{
    const auto bytes = encodeMessage({PeerProtocolVersion, InstanceId("a-1"), 1, 2},
                                     ForwardData{RequestId("r"), 3, "x", true});
    return json::from_cbor(bytes);
}

bool isMalformed(const json &frame)
{
    const auto bytes = json::to_cbor(frame);
    const auto decoded = decodeMessage(bytes);
    return !decoded && decoded.error().kind == ErrorKind::Malformed;
}

} // namespace

// Guards against a field that is omitted, swapped or narrowed by the encoder or the decoder. The
// encoder is deterministic, so re-encoding to equal bytes means equal fields.
TEST_CASE("messages are unchanged after encoding and decoding")
{
    CHECK(rc::check([]() {
        const Envelope envelope = anyEnvelope();
        const PeerMessage message = anyMessage();
        const auto bytes = encodeMessage(envelope, message);
        const auto decoded = decodeMessage(bytes);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->envelope.from == envelope.from);
        RC_ASSERT(decoded->envelope.incarnation == envelope.incarnation);
        RC_ASSERT(decoded->envelope.sequence == envelope.sequence);
        RC_ASSERT(decoded->message.index() == message.index());
        RC_ASSERT(encodeMessage(decoded->envelope, decoded->message) == bytes);
    }));
}

TEST_CASE("encoding and decoding does not swap fields")
{
    const ForwardRefusal refusal{
        RequestId("r1"), RefusalReason::QueueFull, RanState::No, "message", "remedy", 1500};
    const auto bytes = encodeMessage({PeerProtocolVersion, InstanceId("a-1"), 7, 9}, refusal);
    const auto decoded = decodeMessage(bytes);
    REQUIRE(decoded);
    const auto &back = std::get<ForwardRefusal>(decoded->message);
    CHECK(back.id == RequestId("r1"));
    CHECK(back.reason == RefusalReason::QueueFull);
    CHECK(back.ran == RanState::No);
    CHECK(back.message == "message");
    CHECK(back.remedy == "remedy");
    CHECK(back.retryAfterMs == 1500);
    CHECK(messageName(decoded->message) == "forward_refusal");
}

// Guards against crashes and partially decoded messages when a frame is truncated.
TEST_CASE("every truncation of every message is malformed")
{
    CHECK(rc::check([]() {
        const auto bytes = encodeMessage(anyEnvelope(), anyMessage());
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            const auto decoded = decodeMessage(gsl::span<const std::uint8_t>(bytes.data(), n));
            RC_ASSERT(!decoded.has_value());
            RC_ASSERT(decoded.error().kind == ErrorKind::Malformed);
        }
    }));
}

TEST_CASE("random and corrupted bytes never crash the decoder")
{
    CHECK(rc::check([]() {
        const auto noise = any<std::vector<std::uint8_t>>();
        const auto first = decodeMessage(noise);
        RC_ASSERT(first || first.error().kind == ErrorKind::Malformed);
        auto bytes = encodeMessage(anyEnvelope(), anyMessage());
        for (int i = 0; i < 20; ++i) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = any<std::uint8_t>();
            const auto second = decodeMessage(bytes);
            RC_ASSERT(second || second.error().kind == ErrorKind::Malformed);
        }
    }));
}

// Guards against a stack overflow caused by a frame of one million nested arrays.
TEST_CASE("deeply nested frames are malformed")
{
    for (const std::uint8_t opening : {0x81, 0x9f, 0xbf}) {
        const std::vector<std::uint8_t> nested(1U << 20U, opening);
        CHECK_FALSE(decodeMessage(nested).has_value());
    }
    std::vector<std::uint8_t> maps;
    for (int i = 0; i < 100000; ++i) {
        maps.insert(maps.end(), {0xa1, 0x61, 'm'});
    }
    CHECK_FALSE(decodeMessage(maps).has_value());
}

// Guards against allocating memory for a length that a frame declares but does not contain.
TEST_CASE("a frame that declares a length beyond its end is malformed")
{
    for (const std::uint8_t kind : {0x5b, 0x7b, 0x9b, 0xbb}) {
        const std::vector<std::uint8_t> truncated{kind, 0x7f, 0xff, 0xff, 0xff,
                                                  0xff, 0xff, 0xff, 0xff, 0x00};
        CHECK_FALSE(decodeMessage(truncated).has_value());
    }
}

TEST_CASE("missing and mistyped fields are malformed and unknown ones are ignored")
{
    CHECK_FALSE(isMalformed(sampleFrame()));
    json extended = sampleFrame();
    extended["future"] = {1, 2};
    extended["m"]["future"] = "x";
    CHECK_FALSE(isMalformed(extended));
    const json wrong[] = {nullptr, -1, 1.5, "text", json::array(), json::object()};
    for (const char *name : {"v", "f", "i", "s", "k", "m"}) {
        json missing = sampleFrame();
        missing.erase(name);
        CHECK(isMalformed(missing));
        for (const json &value : wrong) {
            json mistyped = sampleFrame();
            mistyped[name] = value;
            CHECK((isMalformed(mistyped) || (std::string(name) == "f" && value.is_string())));
        }
    }
    for (const char *name : {"id", "index", "bytes", "last"}) {
        json missing = sampleFrame();
        missing["m"].erase(name);
        CHECK(isMalformed(missing));
        json mistyped = sampleFrame();
        mistyped["m"][name] = nullptr;
        CHECK(isMalformed(mistyped));
    }
    for (const json &notMap : {json(1), json::array({1, 2}), json("x"), json(nullptr)}) {
        CHECK(isMalformed(notMap));
    }
}

// Guards against instances of two versions that reject each other's reports during an upgrade.
TEST_CASE("a field that older versions do not send may be missing, but not mistyped")
{
    ReportedDemand item;
    item.pool = "p";
    item.model = ModelName("m");
    item.dueInMs = 700;
    const auto bytes =
        encodeMessage({PeerProtocolVersion, InstanceId("a-1"), 1, 2}, DemandReport{1, {item}});
    json frame = json::from_cbor(bytes);
    CHECK_FALSE(isMalformed(frame));
    json mistyped = frame;
    mistyped["m"]["models"][0]["d"] = "text";
    CHECK(isMalformed(mistyped));
    frame["m"]["models"][0].erase("d");
    const auto decoded = decodeMessage(json::to_cbor(frame));
    REQUIRE(decoded);
    CHECK(std::get<DemandReport>(decoded->message).models[0].dueInMs == 0);
}

TEST_CASE("another protocol version and an unknown kind are malformed")
{
    json other = sampleFrame();
    other["v"] = PeerProtocolVersion + 1;
    CHECK(isMalformed(other));
    json unknown = sampleFrame();
    unknown["k"] = 11U;
    CHECK(isMalformed(unknown));
}

// A head with such a status ended the instance that received it, at an assertion of the writer of
// answers.
TEST_CASE("a forwarded head with a status that is no final one is malformed")
{
    for (const int status : {0, -1, 99, 100, 101, 199, 600, 999, 1 << 30}) {
        CAPTURE(status);
        const auto bytes = encodeMessage({}, ForwardHead{RequestId("r"), status, {}, false});
        CHECK_FALSE(decodeMessage(bytes).has_value());
    }
    for (const int status : {200, 599}) {
        const auto bytes = encodeMessage({}, ForwardHead{RequestId("r"), status, {}, false});
        CHECK(decodeMessage(bytes).has_value());
    }
}

// Guards against loans of NaN tokens, which pass every comparison with a bound.
TEST_CASE("NaN and infinite amounts are malformed")
{
    for (const double amount :
         {std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        const auto bytes = encodeMessage({}, LoanRequest{"l", 1, amount, 0.5});
        CHECK_FALSE(decodeMessage(bytes).has_value());
    }
}

TEST_CASE("a frame with trailing bytes is malformed")
{
    auto bytes = encodeMessage({}, ForwardCancel{RequestId("r")});
    bytes.push_back(0);
    CHECK_FALSE(decodeMessage(bytes).has_value());
}

// Guards against times whose conversion to nanoseconds overflows.
TEST_CASE("times out of range are bounded")
{
    for (const std::int64_t time :
         {std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max()}) {
        const auto decoded =
            decodeMessage(encodeMessage({PeerProtocolVersion, InstanceId("a-1"), 1, 2},
                                        LoadForecasts{1, {{ModelName("m"), "a", time}}}));
        REQUIRE(decoded);
        const std::int64_t read = std::get<LoadForecasts>(decoded->message).loading[0].readyInMs;
        CHECK((read < 0) == (time < 0));
        // Added to any time of the clock, it fits into 2^63 ns.
        CHECK(std::abs(read / 1'000) <= 4'000'000'000);
    }
}

// Guards against keys whose bytes are swapped between instances, which would make every stream
// unknown at the others.
TEST_CASE("the keys of streams are packed in network byte order")
{
    const std::vector<std::uint64_t> keys{0, 1, 0x0102030405060708, 0xFFFFFFFFFFFFFFFF};
    const auto bytes = encodeMessage({PeerProtocolVersion, InstanceId("a-1"), 1, 2},
                                     StreamOriginNotices{{{"p", "v1", keys}}});
    const json frame = json::from_cbor(bytes);
    const auto &packed = frame["m"]["streams"][0]["k"].get_binary();
    CHECK(packed.size() == 32);
    CHECK(std::vector<std::uint8_t>(packed.begin() + 16, packed.begin() + 24)
          == std::vector<std::uint8_t>{1, 2, 3, 4, 5, 6, 7, 8});
    const auto decoded = decodeMessage(bytes);
    REQUIRE(decoded);
    const auto &notices = std::get<StreamOriginNotices>(decoded->message);
    REQUIRE(notices.streams.size() == 1);
    CHECK(notices.streams[0].pool == "p");
    CHECK(notices.streams[0].version == "v1");
    CHECK(notices.streams[0].keys == keys);
    CHECK(messageName(decoded->message) == "stream_origins");
}

// Guards against keys read from a part of eight bytes, and against a message that makes its
// receiver store any number of streams.
TEST_CASE("notices of streams with incomplete, mistyped or too many keys are malformed")
{
    const std::vector<std::uint64_t> most(StreamOriginNotice::MaxKeys, 7);
    const json frame = json::from_cbor(encodeMessage({PeerProtocolVersion, InstanceId("a-1"), 1, 2},
                                                     StreamOriginNotices{{{"p", "v1", most}}}));
    CHECK_FALSE(isMalformed(frame));
    const std::size_t size = most.size() * 8;
    for (const std::size_t wrongSize : {size - 1, size - 7, size + 1, size + 8}) {
        CAPTURE(wrongSize);
        json wrong = frame;
        wrong["m"]["streams"][0]["k"] = json::binary(std::vector<std::uint8_t>(wrongSize));
        CHECK(isMalformed(wrong));
    }
    for (const json &value : {json(1), json("12345678"), json::array({1, 2}), json(nullptr)}) {
        json wrong = frame;
        wrong["m"]["streams"][0]["k"] = value;
        CHECK(isMalformed(wrong));
    }
    for (const char *name : {"p", "v", "k"}) {
        json wrong = frame;
        wrong["m"]["streams"][0].erase(name);
        CHECK(isMalformed(wrong));
    }
    json wrong = frame;
    wrong["m"]["streams"] = "text";
    CHECK(isMalformed(wrong));
}
