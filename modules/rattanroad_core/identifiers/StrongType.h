#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace rattanroad {

/** Wraps a @p Value so that the compiler rejects mixing it with values of the same representation but another meaning.

    Comparison, hashing and stream output follow the wrapped value; arithmetic is omitted on purpose.
    @see Identifiers.h, Units.h
*/
template <typename Value, typename Tag> class StrongType {
public:
    StrongType() = default;
    explicit StrongType(Value value)
        : m_value(std::move(value))
    {
    }

    /** Returns the wrapped value. */
    const Value& value() const { return m_value; }

    friend bool operator==(const StrongType& left, const StrongType& right) { return left.m_value == right.m_value; }
    friend bool operator!=(const StrongType& left, const StrongType& right) { return left.m_value != right.m_value; }
    friend bool operator<(const StrongType& left, const StrongType& right) { return left.m_value < right.m_value; }
    friend bool operator>(const StrongType& left, const StrongType& right) { return right < left; }
    friend bool operator<=(const StrongType& left, const StrongType& right) { return !(right < left); }
    friend bool operator>=(const StrongType& left, const StrongType& right) { return !(left < right); }
    friend std::ostream& operator<<(std::ostream& stream, const StrongType& strong) { return stream << strong.m_value; }

private:
    Value m_value {};
};

}

namespace std {

template <typename Value, typename Tag> struct hash<rattanroad::StrongType<Value, Tag>> {
    size_t operator()(const rattanroad::StrongType<Value, Tag>& strong) const { return hash<Value> {}(strong.value()); }
};

}
