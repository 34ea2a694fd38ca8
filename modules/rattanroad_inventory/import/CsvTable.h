#pragma once

#include "rattanroad_inventory/import/SourceErrors.h"

#include <string>
#include <vector>

namespace rattanroad {

/** Comma-separated values as in RFC 4180, with a header row. Fields may be quoted; a quote inside a quoted field is
    doubled, and quoted fields may contain commas and line breaks. Spaces around unquoted fields and empty lines are
    ignored.
*/
class CsvTable {
public:
    struct Field {
        std::string text;
        SourcePosition position;
    };
    using Row = std::vector<Field>;

    /** Parses @p file. Errors are added to @p errors; rows with more or fewer fields than the header are left out. */
    static CsvTable parse(const SourceFile& file, SourceErrors& errors);

    /** Returns the first row; empty when the file has no rows. */
    const Row& header() const { return m_header; }
    /** Returns the rows after the header. Each has as many fields as the header. */
    const std::vector<Row>& rows() const { return m_rows; }

private:
    Row m_header;
    std::vector<Row> m_rows;
};

}
