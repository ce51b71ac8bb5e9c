#include "marigoldspool/Support/JsonText.h"

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        text += part;
    }
    return text;
}

} // namespace

// Text that cannot be parsed as a value must not change where the other parts end.
TEST_CASE("JSON text is split without parsing the values")
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::string values[] = {"1",        "-1e999",       "null",
                                  "{}",       "[]",           R"("")",
                                  "[1, [2]]", R"("\"]},{[")", R"({"a": ["}", "\\"]})",
                                  "\"\xff\"", "not a value",  deep};
    for (const std::string &first : values) {
        for (const std::string &second : values) {
            const std::string array = joined({" [ ", first, " ,\n", second, " ] "});
            const auto items = splitJsonArray(array);
            REQUIRE(items);
            CHECK(*items == std::vector<std::string_view>{first, second});
            const std::string object =
                joined({R"({"x":)", first, R"( , "\u0079" : )", second, "}"});
            const auto members = splitJsonObject(object);
            REQUIRE(members);
            CHECK(findMember(*members, "x") == first);
            CHECK(findMember(*members, "y") == second);
            CHECK(findMember(*members, "z").empty());
        }
    }
    for (const char *text :
         {"", "[", "[1", "[1,]", "[1}", "[1] 2", "[\"\\\"]", "{", "{}", "{\"a\"}", "1"}) {
        CHECK_FALSE_MESSAGE(splitJsonArray(text), text);
    }
    for (const char *text :
         {"", "{", "{\"a\"}", "{\"a\":}", "{\"a\":1", "{\"a\":1]", "{\"a\":1,}", "{a:1}", "[]"}) {
        CHECK_FALSE_MESSAGE(splitJsonObject(text), text);
    }
    CHECK(splitJsonArray("[]")->empty());
    CHECK(findMember(*splitJsonObject(R"({"a":1,"a":2})"), "a") == "2");
}

TEST_CASE("JSON that nests too deeply is discarded before it is parsed")
{
    const auto nested = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    CHECK(parseJson(nested(MaxJsonDepth)).is_array());
    CHECK(isReadableJson(nested(MaxJsonDepth)));
    CHECK(parseJson("\"" + nested(MaxJsonDepth + 1) + "\"").is_string());
    for (const std::string &text : {nested(MaxJsonDepth + 1), nested(1'000'000),
                                    std::string("1e999"), std::string("\"\xff\""), std::string()}) {
        CHECK(parseJson(text).is_discarded());
        CHECK_FALSE(isReadableJson(text));
    }
}
