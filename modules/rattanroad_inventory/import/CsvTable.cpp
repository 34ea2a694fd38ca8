#include "rattanroad_inventory/import/CsvTable.h"

namespace rattanroad {

namespace {

    constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";

    class CsvScanner {
    public:
        CsvScanner(const SourceFile& file, SourceErrors& errors)
            : m_file(file)
            , m_errors(errors)
            , m_text(file.text)
        {
            if (m_text.substr(0, byteOrderMark.size()) == byteOrderMark)
                m_text.remove_prefix(byteOrderMark.size());
        }

        bool isAtEnd() const { return m_offset >= m_text.size(); }

        /** Reads one row and its line break. */
        CsvTable::Row readRow()
        {
            CsvTable::Row row;
            while (true) {
                skipSpaces();
                row.push_back(current() == '"' ? readQuoted() : readUnquoted());
                if (isAtEnd() || current() != ',')
                    break;
                advance();
            }
            if (!isAtEnd())
                advance();
            return row;
        }

    private:
        char current() const { return isAtEnd() ? '\0' : m_text[m_offset]; }

        void advance()
        {
            m_position.advance(current());
            ++m_offset;
        }

        bool isAtFieldEnd() const { return isAtEnd() || current() == ',' || current() == '\n'; }

        void skipSpaces()
        {
            while (!isAtEnd() && (current() == ' ' || current() == '\t'))
                advance();
        }

        CsvTable::Field readUnquoted()
        {
            CsvTable::Field field { "", m_position };
            while (!isAtFieldEnd()) {
                if (current() == '"')
                    m_errors.add(m_file.name, m_position, "a quote inside an unquoted field");
                field.text += current();
                advance();
            }
            field.text.erase(field.text.find_last_not_of(" \t\r") + 1);
            return field;
        }

        CsvTable::Field readQuoted()
        {
            CsvTable::Field field { "", m_position };
            advance();
            while (!isAtEnd()) {
                if (current() == '"') {
                    advance();
                    if (current() != '"')
                        return finishQuoted(std::move(field));
                }
                field.text += current();
                advance();
            }
            m_errors.add(m_file.name, field.position, "the quoted field is not closed");
            return field;
        }

        CsvTable::Field finishQuoted(CsvTable::Field field)
        {
            bool isReported = false;
            while (!isAtFieldEnd()) {
                const bool isSpace = current() == ' ' || current() == '\t' || current() == '\r';
                if (!isSpace && !isReported)
                    m_errors.add(m_file.name, m_position, "text after the end of a quoted field");
                isReported = isReported || !isSpace;
                advance();
            }
            return field;
        }

        const SourceFile& m_file;
        SourceErrors& m_errors;
        std::string_view m_text;
        size_t m_offset { 0 };
        SourcePosition m_position;
    };

    bool isEmptyLine(const CsvTable::Row& row) { return row.size() == 1 && row.front().text.empty(); }

}

CsvTable CsvTable::parse(const SourceFile& file, SourceErrors& errors)
{
    CsvTable table;
    CsvScanner scanner(file, errors);
    while (!scanner.isAtEnd()) {
        auto row = scanner.readRow();
        if (isEmptyLine(row))
            continue;
        if (table.m_header.empty())
            table.m_header = std::move(row);
        else if (row.size() == table.m_header.size())
            table.m_rows.push_back(std::move(row));
        else
            errors.add(file.name, row.front().position,
                "the row has " + std::to_string(row.size()) + " fields, the header has "
                    + std::to_string(table.m_header.size()));
    }
    if (table.m_header.empty())
        errors.add(file.name, {}, "the file has no header row");
    return table;
}

}
