#include "marigoldspool/Operator/Explain.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace marigoldspool;

TEST_CASE("names with any bytes round-trip through the query of an explain request")
{
    CHECK(rc::check([] {
        const ExplainRequest request{WorkspaceName(*rc::gen::arbitrary<std::string>()),
                                     "/" + *rc::gen::arbitrary<std::string>(),
                                     ModelName(*rc::gen::arbitrary<std::string>())};
        const std::string target = formatExplainTarget(request);
        RC_ASSERT(target.find_first_of(" \r\n#") == std::string::npos);
        const Expected<ExplainRequest> read = parseExplainTarget(target);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->workspace == request.workspace);
        RC_ASSERT(read->path == request.path);
        RC_ASSERT(read->model == request.model);
    }));
}

TEST_CASE("an explain request with a misspelt, repeated or broken parameter is refused")
{
    CHECK(parseExplainTarget("/explain?path=/a&&workspace="));
    for (const char *target :
         {"/explain", "/explain?", "/explain?model=m", "/explain?path=a", "/explain?path=/a&x=1",
          "/explain?path=/a&path=/b", "/explain?path=/%", "/explain?path=/%4", "/explain?path=/%zz",
          "/explain?path"}) {
        CAPTURE(target);
        const Expected<ExplainRequest> read = parseExplainTarget(target);
        REQUIRE_FALSE(read);
        CHECK(read.error().kind == ErrorKind::InvalidArgument);
    }
}

TEST_CASE("a serialized explanation is parsed without loss")
{
    ExplainAnswer answer;
    answer.instance = InstanceId("i-1");
    answer.configVersion = 3;
    answer.outcome = ExplainOutcome::Refused;
    answer.reason = RefusalReason::ModelNotAllowed;
    answer.message = "no";
    answer.remedy = "ask";
    answer.route = RouteName("chat");
    answer.cost = 256;
    answer.home = InstanceId("i-2");
    answer.steps = {{"route", true, "chat"}, {"model", false, "not in this zone"}};
    answer.endpoints = {{EndpointId("e"), ZoneName("a"), false, "leaving"}};
    const std::string json = serializeExplanation(answer);
    const Expected<ExplainAnswer> read = parseExplanation(json);
    REQUIRE(read);
    CHECK(serializeExplanation(*read) == json);
    CHECK(read->reason == RefusalReason::ModelNotAllowed);
    CHECK(read->steps.size() == 2);
    CHECK_FALSE(read->steps[1].passed);
    answer.outcome = ExplainOutcome::Served;
    answer.reason.reset();
    CHECK_FALSE(parseExplanation(serializeExplanation(answer))->reason.has_value());
    CHECK(parseExplanation("{}").error().kind == ErrorKind::Malformed);
}
