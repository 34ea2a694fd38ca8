#include "rattanroad_inventory/import/JsonPositions.h"

#include <cctype>

namespace rattanroad {

namespace {

    /** Scans a valid JSON text without recursion, so that deep nesting cannot overflow the stack. */
    class Scanner {
    public:
        explicit Scanner(std::string_view text)
            : m_text(text)
        {
        }

        /** Calls @p found(path, position) for each value. */
        template <typename Found> void run(Found found)
        {
            while (skipToToken()) {
                const char token = m_text[m_offset];
                if (token == '}' || token == ']') {
                    m_openContainers.pop_back();
                    advance();
                } else if (token == ',' || token == ':') {
                    advance();
                } else if (isAtKey(token)) {
                    m_openContainers.back().key = readString();
                    m_openContainers.back().isKeyRead = true;
                } else {
                    readValue(token, found);
                }
            }
        }

    private:
        struct Container {
            std::string path;
            bool isObject { false };
            bool isKeyRead { false };
            std::string key;
            size_t index { 0 };
        };

        bool isAtKey(char token) const
        {
            return token == '"' && !m_openContainers.empty() && m_openContainers.back().isObject
                && !m_openContainers.back().isKeyRead;
        }

        template <typename Found> void readValue(char token, Found found)
        {
            const auto path = nextPath();
            found(path, m_position);
            if (token == '{' || token == '[') {
                m_openContainers.push_back({ path, token == '{', false, "", 0 });
                advance();
            } else if (token == '"') {
                readString();
            } else {
                while (m_offset < m_text.size()
                    && std::string_view(",]} \t\r\n").find(m_text[m_offset]) == std::string_view::npos)
                    advance();
            }
        }

        /** Returns the path of the value that begins here and advances its container to the next value. */
        std::string nextPath()
        {
            if (m_openContainers.empty())
                return "";
            auto& container = m_openContainers.back();
            if (!container.isObject)
                return container.path + "[" + std::to_string(container.index++) + "]";
            container.isKeyRead = false;
            return container.path.empty() ? container.key : container.path + "." + container.key;
        }

        std::string readString()
        {
            std::string content;
            advance();
            while (m_offset < m_text.size() && m_text[m_offset] != '"') {
                if (m_text[m_offset] == '\\')
                    content += takeCharacter();
                content += takeCharacter();
            }
            advance();
            return content;
        }

        char takeCharacter()
        {
            const char character = m_offset < m_text.size() ? m_text[m_offset] : '\0';
            advance();
            return character;
        }

        bool skipToToken()
        {
            while (m_offset < m_text.size() && std::isspace(static_cast<unsigned char>(m_text[m_offset])))
                advance();
            return m_offset < m_text.size();
        }

        void advance()
        {
            if (m_offset >= m_text.size())
                return;
            m_position.advance(m_text[m_offset]);
            ++m_offset;
        }

        std::string_view m_text;
        size_t m_offset { 0 };
        SourcePosition m_position;
        std::vector<Container> m_openContainers;
    };

}

JsonPositions::JsonPositions(std::string_view text)
{
    Scanner(text).run([this](const std::string& path, SourcePosition position) {
        if (!m_positions.emplace(path, position).second)
            m_duplicates.emplace_back(path, position);
    });
}

SourcePosition JsonPositions::find(std::string path) const
{
    while (true) {
        const auto found = m_positions.find(path);
        if (found != m_positions.end())
            return found->second;
        const auto end = path.find_last_of(".[");
        if (end == std::string::npos)
            return path.empty() ? SourcePosition() : find("");
        path.resize(end);
    }
}

}
