#include "base/digest.h"
#include "explain/explanation.h"
#include "explain/query.h"
#include "explain/text.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("a question is parsed as ctl writes it")
{
    std::string reason;
    const std::vector<std::string> words { "host=App.example", "path=/stream/a b&c", "account=team 1", "priority=2", "time_left_ms=4000", "prompt_tokens=700", "max_output_tokens=300", "estimated_output_tokens=200", "parts=sys:40,tool:x:60" };
    const auto target = makeExplainTarget(words, reason);
    REQUIRE(target);
    const auto query = parseExplainQuery(*target, reason);
    REQUIRE_MESSAGE(query, reason);
    CHECK(query->host == "app.example");
    CHECK(query->path == "/stream/a b&c");
    CHECK(query->account == "team 1");
    CHECK(query->priority == 2);
    CHECK(query->timeLeft == Millis(4000));
    CHECK(query->size.promptTokens == 700);
    CHECK(query->size.maxOutputTokens == 300);
    CHECK(query->size.estimatedOutputTokens == 200);
    CHECK(query->parts == std::vector<PromptPart> { { hash64("sys"), 40 }, { hash64("tool:x"), 60 } });
}

TEST_CASE("a wrong question is refused with a message that names the parameter")
{
    const std::vector<std::pair<std::string, std::string>> wrong {
        { "/explain", "parameter \"host\" is missing" },
        { "/explain?host=a", "parameter \"path\" is missing" },
        { "/explain?host=a&path=b", "invalid value of \"path\"" },
        { "/explain?host=a&path=/&priority=-1", "invalid value of \"priority\"" },
        { "/explain?host=a&path=/&time_left_ms=1e3", "invalid value of \"time_left_ms\"" },
        { "/explain?host=a&path=/&prompt_tokens=99999999999999999999", "invalid value of \"prompt_tokens\"" },
        { "/explain?host=a&path=/%4", "invalid value of \"path\"" },
        { "/explain?host=a&path=/&parts=sys", "invalid value of \"parts\"" },
        { "/explain?host=a&path=/&parts=a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1", "invalid value of \"parts\"" },
        { "/explain?host=a&path=/&path=/b", "parameter \"path\" is given twice" },
        { "/explain?host=a&path=/&key=k&account=b", "give either \"key\" or \"account\"" }
    };
    for (const auto& question : wrong) {
        std::string reason;
        CAPTURE(question.first);
        CHECK_FALSE(parseExplainQuery(question.first, reason));
        CHECK(reason == question.second);
    }
    std::string reason;
    CHECK_FALSE(parseExplainQuery("/explain?hots=a", reason));
    CHECK(reason.starts_with("unknown parameter \"hots\"; expected one of account, "));
    CHECK_FALSE(makeExplainTarget(std::vector<std::string> { "host" }, reason));
    CHECK(reason == "\"host\" is not of the form NAME=VALUE");
}

TEST_CASE("an explanation is printed with its decision, its candidates and their obstacles")
{
    ExplainAnswer answer;
    answer.instance = "entry-1";
    answer.route = "stream";
    Explanation explanation;
    explanation.service = "model";
    explanation.decision = "refused";
    explanation.reason = Reason::QueueTooLong;
    explanation.retryAfter = Millis(850);
    explanation.candidates.emplace_back();
    explanation.candidates.back().endpoint = "rank-1";
    explanation.candidates.back().obstacles = { "full", "tried before" };
    answer.services.emplace_back(1, explanation);
    const auto text = explanationText(explanationJson(answer));
    REQUIRE(text);
    for (const char* part : { "entry entry-1", "decision: refused", "reason queue-too-long", "room in 850 ms", "rank-1", "full; tried before" })
        CHECK_MESSAGE(text->find(part) != std::string::npos, part, " is missing in ", *text);
    for (const char* other : { "", "[]", "{}", "{\"services\":7}", "{\"services\":[7,{\"candidates\":[1]}]}" })
        CHECK_NOTHROW(explanationText(other));
    CHECK_FALSE(explanationText("{}"));
}
