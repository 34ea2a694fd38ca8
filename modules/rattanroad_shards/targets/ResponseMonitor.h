#pragma once

#include "rattanroad_shards/targets/TargetCalls.h"

namespace rattanroad::shards {

/** Records when a target answered and when it left a call unanswered, and derives the timeout of calls from it. */
class ResponseMonitor {
public:
    struct Settings {
        std::chrono::milliseconds callTimeout { 0 };
        std::chrono::milliseconds silenceTimeout { 0 };
        /** A target that left a call unanswered counts as lossy for this long while it answers others. */
        Duration lossWindow { 0 };
        /** Timeout of a call to a lossy target: the recent response time multiplied by lossyTimeoutFactor plus this
            margin, up to maximumLossyTimeout. */
        std::chrono::milliseconds lossyTimeoutMargin { 0 };
        double lossyTimeoutFactor { 0 };
        std::chrono::milliseconds maximumLossyTimeout { 0 };
        /** The recent response time falls by smoothing over this many samples. */
        int responseTimeSamples { 1 };
    };

    ResponseMonitor(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
    {
    }

    /** The present incarnation has answered. */
    void answered() { m_lastResponseAt = m_clock.now(); }
    /** Records the reply to a start or a stop, which the target sends without waiting. */
    void recordResponse(const TargetReply& reply, TimePoint sentAt);
    /** Records that a call was left unanswered, if it was. */
    void recordLoss(const TargetReply& reply);

    /** Returns whether the target has left calls unanswered recently while it answered others. */
    bool isLossy() const;
    /** Returns whether the target has answered nothing since a call to it was left unanswered. */
    bool isSilent() const { return m_lastLoss > m_lastResponseAt; }
    /** Returns whether the last response is older than the silence timeout. */
    bool isSilenceTimeoutOver() const { return m_clock.now() - m_lastResponseAt >= m_settings.silenceTimeout; }
    std::chrono::milliseconds callTimeout() const;

private:
    Settings m_settings;
    const Clock& m_clock;
    TimePoint m_lastResponseAt { distantPast };
    TimePoint m_lastLoss { distantPast };
    /** Recent response time of starts and stops; rises at once and falls slowly. */
    Duration m_responseTime { 0 };
};

}
