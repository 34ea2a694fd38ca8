#include "platform/AnsweringServer.h"
#include "platform/TargetHttpClient.h"
#include "rattanroad_core/random/PcgRandomSource.h"
#include "support/MutatedText.h"

#include <nlohmann/json.hpp>

using namespace rattanroad;
using namespace rattanroad::shards;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** A target that answers each request with the same body. */
class AnsweringTarget {
public:
    explicit AnsweringTarget(std::string body) { setBody(std::move(body)); }

    void setBody(std::string body) { m_server.setBody(std::move(body)); }
    PollReply poll()
    {
        return m_server.await<PollReply>([this](std::function<void(const PollReply&)> callback) {
            m_calls.poll({ TargetId("target"), m_server.address(), FencingToken(1), 0, std::nullopt, 0ms, 5000ms },
                std::move(callback));
        });
    }
    TargetReply start()
    {
        return m_server.await<TargetReply>([this](std::function<void(const TargetReply&)> callback) {
            m_calls.start({ TargetId("target"), m_server.address(), { JobId("a"), 0, 0 }, 1, "", 1000, FencingToken(1),
                              "", 5000ms },
                std::move(callback));
        });
    }

private:
    AnsweringServer m_server;
    adapter::TargetHttpClient m_client { m_server.client() };
    TargetCalls m_calls { m_client.targetCalls() };
};

json listOf(std::size_t completions)
{
    json finished = json::array();
    for (std::size_t i = 1; i <= completions; ++i)
        finished.push_back({ i, "5c0e7a21d94b36f8.0.0." + std::to_string(i), 1, "done", "" });
    return { { "clockMs", 482113 }, { "born", 1796506282379 }, { "running", json::array() }, { "finished", finished } };
}

}

// A list of completions that was cut off was taken for a complete one, and done tasks started again.
TEST_CASE("a list of as many completions as a target lists at a time may be cut off")
{
    CHECK_FALSE(AnsweringTarget(listOf(0).dump()).poll().mayHaveMoreCompletions);
    CHECK_FALSE(AnsweringTarget(listOf(499).dump()).poll().mayHaveMoreCompletions);
    const PollReply full = AnsweringTarget(listOf(500).dump()).poll();
    CHECK(full.completions.size() == 500);
    CHECK(full.mayHaveMoreCompletions);
}

// An entry that cannot be read takes a place in the list all the same.
TEST_CASE("a list with an unreadable completion may be cut off")
{
    json list = listOf(499);
    list["finished"].push_back("odd");
    CHECK(AnsweringTarget(list.dump()).poll().mayHaveMoreCompletions);
}

// A confirmed start was taken for a reply of an earlier incarnation, which has a lower number.
TEST_CASE("a reply to a start names no incarnation and confirms the start")
{
    const TargetReply reply = AnsweringTarget(R"({"clockMs":482113})").start();
    CHECK(reply.result == TargetCallResult::Done);
    CHECK(reply.clockMs == 482113U);
    CHECK(reply.incarnationMs == 0);
}

// An exception in the callback of a reply would end the process.
TEST_CASE("replies of a target that were changed at random are read or ignored")
{
    json list = listOf(3);
    list["running"].push_back({ "5c0e7a21d94b36f8.0.1.17", 2, "00000bb87a21d94b", 41 });
    const std::string valid = list.dump();
    PcgRandomSource random(33);
    AnsweringTarget target(valid);
    REQUIRE(target.poll().running.size() == 1);
    for (int round = 0; round < 2000; ++round) {
        target.setBody(mutatedText(valid, random));
        const PollReply reply = target.poll();
        REQUIRE(reply.result == TargetCallResult::Done);
        REQUIRE(reply.completions.size() <= 4);
        target.setBody(mutatedText(R"({"clockMs":482113,"reason":"fence"})", random));
        REQUIRE(target.start().result == TargetCallResult::Done);
    }
}
