#pragma once

#include "rattanroad_core/failure/Failure.h"

#include <cassert>
#include <optional>
#include <utility>

namespace rattanroad {

/** A value, or the failure that explains why there is none.
    Dereferencing a result without a value throws std::bad_optional_access.

    @code
    const Result<SubmissionId> id = SubmissionId::parse(text);
    if (!id)
        return id.lastReason();
    @endcode
*/
template <typename Value> class Result {
public:
    Result(Value value) // NOLINT(google-explicit-constructor)
        : m_value(std::move(value))
    {
    }
    Result(Failure reason) // NOLINT(google-explicit-constructor)
        : m_lastReason(std::move(reason))
    {
    }

    explicit operator bool() const { return m_value.has_value(); }
    const Value& operator*() const { return m_value.value(); }
    Value& operator*() { return m_value.value(); }
    const Value* operator->() const { return &m_value.value(); }
    Value* operator->() { return &m_value.value(); }

    /** Returns the value, or std::nullopt on a failure. */
    const std::optional<Value>& value() const { return m_value; }

    /** Returns why there is no value; must not be called on a success. */
    const Failure& lastReason() const
    {
        assert(!m_value);
        return m_lastReason;
    }

private:
    std::optional<Value> m_value;
    Failure m_lastReason;
};

}
