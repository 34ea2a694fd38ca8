#include "rattanroad_network/telemetry/StateLog.h"

#include "rattanroad_core/time/Clock.h"

#include <nlohmann/json.hpp>
#include <spdlog/logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace rattanroad {

class StateLog::Impl {
public:
    Impl(const Clock& clock, std::string host, const std::string& file)
        : m_clock(clock)
        , m_host(std::move(host))
        , m_logger("state", sinkFor(file))
    {
        m_logger.set_pattern("%v");
        m_logger.flush_on(spdlog::level::info);
    }

    void write(const char* event, const Fields& fields)
    {
        nlohmann::ordered_json line { { "time", rfc3339(m_clock.wallNow()) }, { "host", m_host }, { "event", event } };
        for (const auto& field : fields)
            line[field.first] = field.second;
        const auto replace = nlohmann::ordered_json::error_handler_t::replace;
        m_logger.info(line.dump(-1, ' ', false, replace));
    }

private:
    static spdlog::sink_ptr sinkFor(const std::string& file)
    {
        if (file.empty())
            return std::make_shared<spdlog::sinks::stderr_sink_st>();
        if (file == "-")
            return std::make_shared<spdlog::sinks::stdout_sink_st>();
        return std::make_shared<spdlog::sinks::basic_file_sink_st>(file);
    }

    const Clock& m_clock;
    std::string m_host;
    spdlog::logger m_logger;
};

StateLog::StateLog(const Clock& clock, std::string host, const std::string& file)
    : m_impl(std::make_unique<Impl>(clock, std::move(host), file))
{
}

StateLog::~StateLog() = default;

void StateLog::write(const char* event, const Fields& fields) { m_impl->write(event, fields); }

std::string rfc3339(std::chrono::system_clock::time_point time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    const auto milliseconds
        = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count() % 1000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", parts.tm_year + 1900, parts.tm_mon + 1,
        parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec, milliseconds);
}

}
