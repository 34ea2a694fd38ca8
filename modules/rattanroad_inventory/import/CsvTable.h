#pragma once

#include "rattanroad_inventory/import/SourceFaults.h"

#include <string>
#include <vector>

namespace rattanroad {

/** Comma-separated values as in RFC 4180, with a header row: fields may be quoted, a quote inside is doubled, quoted
    fields may hold commas and line breaks. Spaces around unquoted fields and empty lines are dropped.
*/
class CsvTable {
public:
    struct Field {
        std::string text;
        SourcePosition position;
    };
    using Row = std::vector<Field>;

    /** Reads @p file; faults are added to @p faults, and faulty rows are left out. */
    static CsvTable parse(const SourceFile& file, SourceFaults& faults);

    /** Empty when the file has no rows. */
    const Row& header() const { return m_header; }
    /** Each row has as many fields as the header. */
    const std::vector<Row>& rows() const { return m_rows; }

private:
    Row m_header;
    std::vector<Row> m_rows;
};

}
