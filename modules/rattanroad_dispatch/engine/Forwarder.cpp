#include "rattanroad_dispatch/engine/Forwarder.h"

#include <algorithm>

namespace rattanroad {

namespace {

    constexpr Duration firstResendInterval = std::chrono::milliseconds(250);
    constexpr Duration maximumResendInterval = std::chrono::seconds(2);
    // Once the deciding host has shown that it knows the request, only a lost answer needs another message.
    constexpr Duration acknowledgedResendInterval = std::chrono::seconds(2);

    JobAnswer answerFromMessage(const protocol::ForwardedAnswer& message)
    {
        JobAnswer answer;
        if (const auto id = SubmissionId::parse(message.submission_id()))
            answer.submissionId = *id;
        answer.isComplete = message.complete();
        answer.isInProgress = message.in_progress();
        answer.results.assign(message.results().begin(), message.results().end());
        if (!answer.isComplete)
            answer.failure = protocol::fromMessage(message.failure());
        return answer;
    }

}

Forwarder::Forwarder(Clock& clock, Hooks hooks)
    : m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

void Forwarder::forward(const HostId& host, Request request)
{
    const auto number = ++m_lastNumber;
    Pending pending;
    pending.host = host;
    pending.request = std::move(request);
    pending.interval = firstResendInterval;
    pending.nextSend = m_clock.now() + pending.interval;
    const auto inserted = m_pending.emplace(number, std::move(pending)).first;
    send(number, inserted->second);
}

void Forwarder::send(std::uint64_t number, const Pending& pending)
{
    protocol::Envelope envelope;
    const auto& request = pending.request;
    const auto id = request.job.submissionId ? request.job.submissionId->text() : std::string();
    const auto fill = [&](auto* message) {
        message->set_request(number);
        message->set_submission_id(id);
        message->set_hops(request.hops + 1);
    };
    if (request.kind == Kind::Query) {
        fill(envelope.mutable_forwarded_query());
    } else if (request.kind == Kind::Cancel) {
        fill(envelope.mutable_forwarded_cancel());
    } else {
        auto* message = envelope.mutable_forwarded_submission();
        fill(message);
        *message->mutable_job() = request.job.job;
        message->set_asynchronous(request.kind == Kind::AsynchronousSubmission);
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(request.deadline - m_clock.now());
        message->mutable_job()->set_deadline_left_ms(
            static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1)));
    }
    m_hooks.send(pending.host, std::move(envelope));
}

void Forwarder::answerReceived(const protocol::ForwardedAnswer& message)
{
    const auto found = m_pending.find(message.request());
    if (found == m_pending.end())
        return;
    auto& pending = found->second;
    if (message.in_progress() && pending.request.kind == Kind::Submission) {
        pending.isAcknowledged = true;
        pending.nextSend = m_clock.now() + acknowledgedResendInterval;
        return;
    }
    const auto answer = std::move(pending.request.answer);
    m_pending.erase(found);
    answer(answerFromMessage(message));
}

void Forwarder::setLiveHosts(const std::set<HostId>& liveHosts)
{
    std::vector<Request> orphaned;
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        if (liveHosts.count(entry->second.host)) {
            ++entry;
            continue;
        }
        orphaned.push_back(std::move(entry->second.request));
        entry = m_pending.erase(entry);
    }
    for (auto& request : orphaned)
        m_hooks.reroute(std::move(request));
}

void Forwarder::tick()
{
    const auto now = m_clock.now();
    std::vector<Request> expired;
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        auto& pending = entry->second;
        if (now >= pending.request.deadline) {
            expired.push_back(std::move(pending.request));
            entry = m_pending.erase(entry);
            continue;
        }
        if (now >= pending.nextSend) {
            pending.interval = pending.isAcknowledged ? acknowledgedResendInterval
                                                      : std::min(pending.interval * 2, maximumResendInterval);
            pending.nextSend = now + pending.interval;
            send(entry->first, pending);
        }
        ++entry;
    }
    for (auto& request : expired) {
        JobAnswer answer;
        answer.submissionId = request.job.submissionId;
        answer.failure = { FailureCode::OutcomeUnknown, RunState::OutcomeUnknown,
            "the host that decides about the submission did not answer before the deadline" };
        request.answer(answer);
    }
}

TimePoint Forwarder::nextWakeup() const
{
    auto next = TimePoint::max();
    for (const auto& [number, pending] : m_pending)
        next = std::min({ next, pending.nextSend, pending.request.deadline });
    return next;
}

}
