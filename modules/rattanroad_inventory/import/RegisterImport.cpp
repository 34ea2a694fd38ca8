#include "rattanroad_inventory/import/RegisterImport.h"

#include "rattanroad_inventory/import/CsvTable.h"
#include "rattanroad_inventory/import/JsonPositions.h"
#include "rattanroad_inventory/inventory/InventoryDocument.h"
#include "rattanroad_inventory/inventory/InventoryValidator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>

namespace rattanroad {

namespace {

    using Json = nlohmann::json;

    enum class ColumnType {
        Text,
        Integer,
        TextList,
        IntegerList,
    };

    struct Column {
        const char* name;
        ColumnType type;
        bool isRequired;
    };

    const std::vector<Column> workerColumns { { "id", ColumnType::Text, true },
        { "failure_domain", ColumnType::Text, true }, { "rack", ColumnType::Text, true },
        { "cores", ColumnType::Integer, true }, { "memory_mb", ColumnType::Integer, true },
        { "accelerators", ColumnType::Integer, false } };

    const std::vector<Column> targetColumns { { "id", ColumnType::Text, true }, { "worker", ColumnType::Text, true },
        { "address", ColumnType::Text, true }, { "path", ColumnType::Text, true },
        { "kinds", ColumnType::TextList, true }, { "slots", ColumnType::Integer, true },
        { "connections", ColumnType::Integer, true }, { "state", ColumnType::Text, false },
        { "not_run_statuses", ColumnType::IntegerList, false } };

    /** Returns the integer in @p text, or the text itself, which validation then reports as a wrong type. */
    Json integerOrText(const std::string& text)
    {
        std::uint64_t number = 0;
        const auto* end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, number);
        return error == std::errc() && stop == end ? Json(number) : Json(text);
    }

    Json parseList(const std::string& text, ColumnType type)
    {
        auto list = Json::array();
        const char* separators = "; \t\r\n";
        auto begin = text.find_first_not_of(separators);
        while (begin != std::string::npos) {
            const auto end = std::min(text.find_first_of(separators, begin), text.size());
            const auto item = text.substr(begin, end - begin);
            list.push_back(type == ColumnType::IntegerList ? integerOrText(item) : Json(item));
            begin = text.find_first_not_of(separators, end);
        }
        return list;
    }

    Json parseValue(const std::string& text, ColumnType type)
    {
        if (type == ColumnType::Text)
            return text;
        return type == ColumnType::Integer ? integerOrText(text) : parseList(text, type);
    }

}

class RegisterImport::Impl {
public:
    explicit Impl(UnknownColumns unknownColumns)
        : m_unknownColumns(unknownColumns)
    {
    }

    void addRegister(const SourceFile& file, const char* list, const std::vector<Column>& columns);
    void addDocument(const SourceFile& file);
    Result<std::shared_ptr<const Inventory>> finish();

private:
    /** The file that the values of one list were read from, and their positions in it. */
    struct Origin {
        std::string file;
        /** Positions by path in the merged document; used for CSV files. */
        std::map<std::string, SourcePosition> csv;
        /** Positions by path in the file; used for JSON files. */
        std::shared_ptr<const JsonPositions> json;
        /** Path of the list in the JSON file: the list's name, or empty when the file itself is the list. */
        std::string jsonPrefix;
    };

    void addCsv(const SourceFile& file, const std::string& list, const std::vector<Column>& columns);
    std::vector<const Column*> matchHeader(
        const SourceFile& file, const CsvTable& table, const std::vector<Column>& columns);
    std::optional<Json> parseJson(const SourceFile& file, std::shared_ptr<const JsonPositions>& positions);
    void addList(const SourceFile& file, const std::string& list, Json values, Origin origin, SourcePosition position);
    void reportAtSource(const ValidationErrors::Error& error);
    static SourcePosition findCsvPosition(const Origin& origin, std::string path);

    UnknownColumns m_unknownColumns;
    Json m_document = Json::object();
    std::map<std::string, Origin> m_origins;
    /** The file for which errors outside all known lists are reported. */
    std::string m_lastFile;
    SourceErrors m_errors;
};

std::optional<Json> RegisterImport::Impl::parseJson(
    const SourceFile& file, std::shared_ptr<const JsonPositions>& positions)
{
    m_lastFile = file.name;
    Json value;
    try {
        value = Json::parse(file.text);
    } catch (const Json::parse_error& error) {
        const auto offset = error.byte ? error.byte - 1 : 0;
        m_errors.add(file.name, SourcePosition::ofOffset(file.text, offset), "is not valid JSON");
        return std::nullopt;
    }
    positions = std::make_shared<const JsonPositions>(file.text);
    for (const auto& [path, position] : positions->duplicates())
        m_errors.add(file.name, position, path + ": occurs twice in one object");
    return value;
}

void RegisterImport::Impl::addRegister(const SourceFile& file, const char* list, const std::vector<Column>& columns)
{
    if (file.isCsv())
        return addCsv(file, list, columns);
    std::shared_ptr<const JsonPositions> positions;
    auto value = parseJson(file, positions);
    if (!value)
        return;
    if (value->is_array())
        return addList(file, list, std::move(*value), { file.name, {}, positions, "" }, {});
    if (value->is_object() && value->size() == 1 && value->contains(list))
        return addList(file, list, std::move((*value)[list]), { file.name, {}, positions, list }, {});
    m_errors.add(file.name, {}, "must be an array, or an object with \"" + std::string(list) + "\" only");
}

void RegisterImport::Impl::addDocument(const SourceFile& file)
{
    std::shared_ptr<const JsonPositions> positions;
    auto value = parseJson(file, positions);
    if (!value)
        return;
    if (!value->is_object())
        return m_errors.add(file.name, positions->find(""), "must be an object");
    for (auto& [key, list] : value->items())
        addList(file, key, std::move(list), { file.name, {}, positions, key }, positions->find(key));
}

void RegisterImport::Impl::addList(
    const SourceFile& file, const std::string& list, Json values, Origin origin, SourcePosition position)
{
    const auto [entry, isNew] = m_origins.emplace(list, std::move(origin));
    if (isNew)
        m_document[list] = std::move(values);
    else
        m_errors.add(file.name, position, list + ": is also in " + entry->second.file);
}

std::vector<const Column*> RegisterImport::Impl::matchHeader(
    const SourceFile& file, const CsvTable& table, const std::vector<Column>& columns)
{
    std::vector<const Column*> matched;
    std::set<std::string> seen;
    for (const auto& field : table.header()) {
        const auto column = std::find_if(
            columns.begin(), columns.end(), [&](const Column& candidate) { return field.text == candidate.name; });
        matched.push_back(column == columns.end() ? nullptr : &*column);
        if (!seen.insert(field.text).second)
            m_errors.add(file.name, field.position, "column " + field.text + " occurs twice");
        else if (column == columns.end() && m_unknownColumns == UnknownColumns::Report)
            m_errors.add(file.name, field.position, "unknown column " + field.text);
    }
    for (const auto& column : columns) {
        if (column.isRequired && !seen.count(column.name) && !table.header().empty())
            m_errors.add(file.name, {}, "column " + std::string(column.name) + " is missing");
    }
    return matched;
}

void RegisterImport::Impl::addCsv(const SourceFile& file, const std::string& list, const std::vector<Column>& columns)
{
    m_lastFile = file.name;
    const auto table = CsvTable::parse(file, m_errors);
    const auto matched = matchHeader(file, table, columns);
    Origin origin { file.name, {}, nullptr, "" };
    auto values = Json::array();
    for (const auto& row : table.rows()) {
        const auto path = list + "[" + std::to_string(values.size()) + "]";
        origin.csv[path] = row.front().position;
        auto object = Json::object();
        for (size_t index = 0; index < row.size(); ++index) {
            if (!matched[index])
                continue;
            origin.csv[path + "." + matched[index]->name] = row[index].position;
            if (!row[index].text.empty())
                object[matched[index]->name] = parseValue(row[index].text, matched[index]->type);
        }
        values.push_back(std::move(object));
    }
    addList(file, list, std::move(values), std::move(origin), {});
}

SourcePosition RegisterImport::Impl::findCsvPosition(const Origin& origin, std::string path)
{
    while (!path.empty()) {
        const auto found = origin.csv.find(path);
        if (found != origin.csv.end())
            return found->second;
        const auto end = path.find_last_of(".[");
        path.resize(end == std::string::npos ? 0 : end);
    }
    return {};
}

void RegisterImport::Impl::reportAtSource(const ValidationErrors::Error& error)
{
    const auto list = error.path.substr(0, error.path.find_first_of("[."));
    const auto origin = m_origins.find(list);
    const auto text = error.path + ": " + error.reason;
    if (origin == m_origins.end())
        return m_errors.add(m_lastFile, {}, text);
    const auto& source = origin->second;
    const auto position = source.json ? source.json->find(source.jsonPrefix + error.path.substr(list.size()))
                                      : findCsvPosition(source, error.path);
    m_errors.add(source.file, position, text);
}

Result<std::shared_ptr<const Inventory>> RegisterImport::Impl::finish()
{
    if (!m_errors.isEmpty())
        return m_errors.failure();
    ValidationErrors errors;
    // Invalid UTF-8 in a CSV file is replaced; validation then reports it as forbidden characters.
    auto parts = InventoryDocument::parse(m_document.dump(-1, ' ', false, Json::error_handler_t::replace), errors);
    InventoryValidator(parts, errors).run();
    for (const auto& error : errors.errors())
        reportAtSource(error);
    if (!m_errors.isEmpty())
        return m_errors.failure();
    return Inventory::create(std::move(parts));
}

RegisterImport::RegisterImport(UnknownColumns unknownColumns)
    : m_impl(std::make_unique<Impl>(unknownColumns))
{
}

RegisterImport::~RegisterImport() = default;

void RegisterImport::addWorkers(const SourceFile& file) { m_impl->addRegister(file, "workers", workerColumns); }

void RegisterImport::addTargets(const SourceFile& file) { m_impl->addRegister(file, "targets", targetColumns); }

void RegisterImport::addDocument(const SourceFile& file) { m_impl->addDocument(file); }

Result<std::shared_ptr<const Inventory>> RegisterImport::finish() { return m_impl->finish(); }

}
