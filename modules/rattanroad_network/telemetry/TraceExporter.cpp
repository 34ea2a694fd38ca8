#include "rattanroad_network/telemetry/TraceExporter.h"

#include "rattanroad_network/http/HttpClient.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <fstream>
#include <nlohmann/json.hpp>

using nlohmann::json;

namespace rattanroad {

namespace {
    /** SPAN_KIND_INTERNAL and STATUS_CODE_ERROR of the OTLP specification. */
    constexpr int internalKind = 1;
    constexpr int errorStatus = 2;

    std::string nanoseconds(std::chrono::system_clock::time_point time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
    }

    json attribute(const std::string& key, const std::string& value)
    {
        return { { "key", key }, { "value", { { "stringValue", value } } } };
    }

    json toJson(const Span& span)
    {
        json result { { "traceId", span.traceId }, { "spanId", span.spanId }, { "name", span.name },
            { "kind", internalKind }, { "startTimeUnixNano", nanoseconds(span.begin) },
            { "endTimeUnixNano", nanoseconds(span.end) }, { "attributes", json::array() } };
        if (!span.parentSpanId.empty())
            result["parentSpanId"] = span.parentSpanId;
        for (const auto& entry : span.attributes)
            result["attributes"].push_back(attribute(entry.first, entry.second));
        if (span.isError)
            result["status"] = { { "code", errorStatus } };
        return result;
    }
}

class TraceExporter::Impl {
public:
    Impl(EventLoop& loop, HttpClient& http, Settings settings)
        : m_loop(loop)
        , m_http(http)
        , m_settings(std::move(settings))
    {
        if (!m_settings.file.empty())
            m_file.open(m_settings.file, std::ios::app);
        startTimer();
    }

    ~Impl()
    {
        m_loop.cancelTimer(m_timer);
        *m_isAlive = false;
        writeFile();
    }

    void add(Span&& span)
    {
        if (m_waiting.size() >= m_settings.maximumWaiting)
            ++m_statistics.dropped;
        else
            m_waiting.push_back(std::move(span));
    }

    const Statistics& statistics() const { return m_statistics; }

private:
    void startTimer()
    {
        m_timer = m_loop.addTimer(m_settings.interval, [this] {
            exportBatch();
            startTimer();
        });
    }

    json batch() const
    {
        json spans = json::array();
        for (const Span& span : m_waiting)
            spans.push_back(toJson(span));
        const json resource { { "attributes",
            json::array({ attribute("service.name", "rattanroadd"),
                attribute("service.instance.id", m_settings.serviceInstance) }) } };
        const json scope { { "scope", { { "name", "rattanroad" } } }, { "spans", std::move(spans) } };
        return { { "resourceSpans",
            json::array({ { { "resource", resource }, { "scopeSpans", json::array({ scope }) } } }) } };
    }

    void writeFile()
    {
        if (m_waiting.empty() || !m_file.is_open())
            return;
        m_file << batch().dump() << '\n' << std::flush;
    }

    void exportBatch()
    {
        if (m_waiting.empty())
            return;
        writeFile();
        if (!m_settings.address.empty())
            post();
        m_statistics.exported += m_waiting.size();
        m_waiting.clear();
    }

    void post()
    {
        const std::size_t count = m_waiting.size();
        HttpClientRequest request { "POST", "/v1/traces", { { "content-type", "application/json" } }, batch().dump(),
            std::chrono::seconds(2) };
        m_http.send(m_settings.address, std::move(request), [this, isAlive = m_isAlive, count](HttpResult&& result) {
            if (*isAlive && (result.ending != HttpEnding::Answered || result.status >= 300))
                m_statistics.dropped += count;
        });
    }

    EventLoop& m_loop;
    HttpClient& m_http;
    Settings m_settings;
    std::ofstream m_file;
    std::vector<Span> m_waiting;
    Statistics m_statistics;
    TimerId m_timer;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

TraceExporter::TraceExporter(EventLoop& loop, HttpClient& http, Settings settings)
    : m_impl(std::make_unique<Impl>(loop, http, std::move(settings)))
{
}

TraceExporter::~TraceExporter() = default;

void TraceExporter::add(Span span) { m_impl->add(std::move(span)); }

TraceExporter::Statistics TraceExporter::statistics() const { return m_impl->statistics(); }

}
