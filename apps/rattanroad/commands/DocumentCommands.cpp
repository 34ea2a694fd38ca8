#include "rattanroad/commands/DocumentCommands.h"

#include <fstream>

namespace rattanroad::command {

namespace {

    nlohmann::json countsOf(const Inventory& inventory)
    {
        const auto& parts = inventory.parts();
        return { { "failure_domains", parts.failureDomains.size() }, { "workers", parts.workers.size() },
            { "targets", parts.targets.size() }, { "teams", parts.teams.size() }, { "rules", parts.rules.size() },
            { "entry_hosts", parts.entryHosts.size() }, { "slots", inventory.totalSlots().value() } };
    }

    std::string summaryOf(const nlohmann::json& counts)
    {
        std::string text;
        for (const auto& [key, value] : counts.items())
            text += (text.empty() ? "valid: " : ", ") + value.dump() + " " + key;
        return text;
    }

}

DocumentCommands::DocumentCommands(CommandContext& context, const Reporter& reporter)
    : m_context(context)
    , m_reporter(reporter)
{
}

Result<SourceFile> DocumentCommands::read(const std::string& name)
{
    auto text = readFile(name, m_context);
    if (!text)
        return text.lastReason();
    return SourceFile { name, std::move(*text) };
}

Result<std::shared_ptr<const Inventory>> DocumentCommands::load(const std::string& file)
{
    const auto source = read(file);
    if (!source)
        return source.lastReason();
    RegisterImport import;
    import.addDocument(*source);
    return import.finish();
}

ExitCode DocumentCommands::check(const std::string& file)
{
    const auto inventory = load(file);
    if (!inventory)
        return m_reporter.failure(inventory.lastReason());
    const auto counts = countsOf(**inventory);
    return m_reporter.success(summaryOf(counts), { { "valid", true }, { "counts", counts } });
}

ExitCode DocumentCommands::import(const ImportFiles& files)
{
    RegisterImport import(files.areUnknownColumnsIgnored ? RegisterImport::UnknownColumns::Ignore
                                                         : RegisterImport::UnknownColumns::Report);
    const auto workers = read(files.workers);
    if (!workers)
        return m_reporter.failure(workers.lastReason());
    import.addWorkers(*workers);
    const auto targets = read(files.targets);
    if (!targets)
        return m_reporter.failure(targets.lastReason());
    import.addTargets(*targets);
    for (const auto& name : files.documents) {
        const auto document = read(name);
        if (!document)
            return m_reporter.failure(document.lastReason());
        import.addDocument(*document);
    }
    const auto inventory = import.finish();
    return inventory ? write(**inventory, files.output) : m_reporter.failure(inventory.lastReason());
}

ExitCode DocumentCommands::write(const Inventory& inventory, const std::string& output)
{
    const auto document = nlohmann::json::parse(inventory.json());
    if (output.empty())
        return m_reporter.success(document.dump(2), document);
    std::ofstream file(output, std::ios::binary | std::ios::trunc);
    file << document.dump(2) << "\n";
    file.close();
    if (!file)
        return m_reporter.failure({ FailureCode::MalformedRequest, RunState::NotRun, "cannot write " + output });
    const auto counts = countsOf(inventory);
    return m_reporter.success(summaryOf(counts), { { "output", output }, { "counts", counts } });
}

}
