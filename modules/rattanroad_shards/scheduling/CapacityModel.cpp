#include "rattanroad_shards/scheduling/CapacityModel.h"

#include <algorithm>
#include <cmath>

namespace rattanroad::shards {

void CapacityModel::passEnded(TimePoint now, const Pass& pass)
{
    if (m_shortSince && now - *m_shortSince <= m_settings.maximumInterval && pass.usableMillicores > 0) {
        if (!m_lastSample || now - *m_lastSample > m_settings.sampleLifetime) {
            m_offeredWork
                = static_cast<double>(pass.usableMillicores) * static_cast<double>(m_settings.initialWeight.count());
            m_startedWork = m_offeredWork;
        }
        const std::chrono::duration<double, std::milli> elapsed = now - *m_shortSince;
        const double decay = std::exp(-elapsed.count() / static_cast<double>(m_settings.memory.count()));
        m_startedWork = m_startedWork * decay + static_cast<double>(pass.startedWork);
        m_offeredWork = m_offeredWork * decay + static_cast<double>(pass.usableMillicores) * elapsed.count();
        m_lastSample = now;
    }
    m_shortSince = pass.isRoomShort ? std::optional<TimePoint>(now) : std::nullopt;
}

void CapacityModel::reset()
{
    m_shortSince.reset();
    m_lastSample.reset();
}

double CapacityModel::ratio(TimePoint now) const
{
    if (!m_lastSample || now - *m_lastSample > m_settings.sampleLifetime || m_offeredWork <= 0)
        return 1;
    return std::clamp(m_startedWork / m_offeredWork, m_settings.minimumRatio, m_settings.maximumRatio);
}

}
