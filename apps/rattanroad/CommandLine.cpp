#include "rattanroad/CommandLine.h"

#include "rattanroad/commands/ConfigurationCommands.h"
#include "rattanroad/commands/DocumentCommands.h"
#include "rattanroad/commands/ExplainCommand.h"
#include "rattanroad/commands/HostCommands.h"
#include "rattanroad/commands/JobCommands.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdlib>

namespace rattanroad::command {

namespace {

    constexpr const char* footer
        = "Exit status: 0 success; 1 the job or change failed; 2 wrong usage or invalid input; "
          "3 conflict with another change;\n4 no server answered, nothing was changed; "
          "5 outcome unknown, the work or change may have been carried out.";

    constexpr std::size_t maximumIdCount = 10'000;

    struct Options {
        std::vector<std::string> servers { "http://127.0.0.1:8080" };
        bool isJson { false };
        std::string file;
        DocumentCommands::ImportFiles importFiles;
        std::uint64_t baseRevision { 0 };
        ConfigurationCommands::Change change;
        std::uint32_t waitSeconds { 0 };
        std::vector<std::string> targets;
        bool isHostDrain { false };
        std::size_t limit { 20 };
        std::size_t idCount { 1 };
        JobCommands::Submission submission;
        std::string jobId;
        std::string explainedJob;
        std::vector<std::string> logFiles;
    };

    /** Validator for CLI11: returns an error message, or an empty string when @p text is a valid HTTP header value. */
    std::string validateHeaderValue(const std::string& text)
    {
        constexpr unsigned char firstPrintable = 0x20;
        const auto isControl = [](char character) {
            return static_cast<unsigned char>(character) < firstPrintable || character == 0x7f;
        };
        if (text.empty() || std::any_of(text.begin(), text.end(), isControl))
            return "must not be empty or have control characters";
        return "";
    }

    std::string defaultAuthor()
    {
        const char* user = std::getenv("USER");
        return user && *user ? user : "unknown";
    }

    /** Declares the options and subcommands and stores their values in Options. */
    class Parser {
    public:
        explicit Parser(Options& options)
            : app("Operates rattanroad, a dispatcher for sub-second tasks.", "rattanroad")
            , m_options(options)
        {
            app.require_subcommand(1);
            app.fallthrough();
            app.footer(footer);
            app.add_option("--server", options.servers,
                   "URL of an entry host, like http://192.0.2.10:8080; repeat it to name others to try on failure")
                ->envname("RATTANROAD_SERVER")
                ->delimiter(',')
                ->allow_extra_args(false)
                ->capture_default_str();
            app.add_flag("--json", options.isJson, "Print one JSON object instead of text");
            addDocumentCommands();
            addConfigurationCommands();
            addHostCommands();
            addJobCommands();
        }

        CLI::App app;
        CLI::Option* baseOption { nullptr };

    private:
        void addFileArgument(CLI::App* command, const char* description)
        {
            command->add_option("file", m_options.file, description)->required();
        }

        void addDocumentCommands()
        {
            auto* check = app.add_subcommand("check", "Check an inventory document without a server");
            addFileArgument(check, "Inventory document (JSON), or - for standard input");

            auto* import = app.add_subcommand("import",
                "Build an inventory document from an asset register.\nCSV columns of workers: id, failure_domain, "
                "rack, "
                "cores, memory_mb, accelerators (optional).\nCSV columns of targets: id, worker, address, path, kinds "
                "(separated by ';'), slots, connections, state (optional), not_run_statuses (optional).");
            auto& files = m_options.importFiles;
            import->add_option("--workers", files.workers, "Workers: .csv, or JSON array")->required();
            import->add_option("--targets", files.targets, "Targets: .csv, or JSON array")->required();
            import
                ->add_option(
                    "--rules", files.documents, "JSON with failure_domains, teams, rules and entry_hosts; repeatable")
                ->required();
            import->add_option("--output", files.output, "File to write; standard output by default");
            import->add_flag("--ignore-unknown-columns", files.areUnknownColumnsIgnored,
                "Skip CSV columns that the inventory does not have");
        }

        void addChangeOptions(CLI::App* command)
        {
            command
                ->add_option("--change-id", m_options.change.changeId,
                    "Identity of the change; repeating a change with the same id applies it once. Random by default")
                ->check(validateHeaderValue);
            command->add_option("--author", m_options.change.author, "Name for the history")
                ->check(validateHeaderValue)
                ->capture_default_str();
            command
                ->add_option("--wait", m_options.waitSeconds,
                    "Seconds to wait until the change is in force on all given servers; 0 for no wait")
                ->capture_default_str();
        }

        void addConfigurationCommands()
        {
            auto* diff = app.add_subcommand("diff", "Compare a document with the configuration in force");
            addFileArgument(diff, "Inventory document (JSON), or - for standard input");

            auto* apply = app.add_subcommand("apply", "Bring a document into force");
            addFileArgument(apply, "Inventory document (JSON), or - for standard input");
            baseOption = apply->add_option("--base", m_options.baseRevision,
                "Revision that the document started from; the change is refused if another one came first. The "
                "revision in force by default, which overwrites changes made since the document was written");
            addChangeOptions(apply);

            auto* drain = app.add_subcommand("drain", "Let targets, or one entry host, finish and take no new work");
            auto* targets = drain->add_option("target", m_options.targets, "Targets to set leaving by a change");
            drain->add_flag("--host", m_options.isHostDrain, "Drain the entry host given by --server")
                ->excludes(targets);
            addChangeOptions(drain);

            auto* history = app.add_subcommand("history", "List accepted changes");
            history->add_option("--limit", m_options.limit, "Number of changes to list")->capture_default_str();
        }

        void addHostCommands()
        {
            app.add_subcommand("status", "Print the status of the given servers");
            auto* explain = app.add_subcommand("explain", "Print the way of one job from the logs of entry hosts");
            explain->add_option("job", m_options.explainedJob, "Name of the job")->required();
            explain->add_option("logs", m_options.logFiles, "Log files, or - for standard input")->required();
        }

        void addJobCommands()
        {
            auto* ids = app.add_subcommand("ids", "Fetch submission ids for later use");
            ids->add_option("--count", m_options.idCount, "Number of ids")
                ->check(CLI::Range(std::size_t { 1 }, maximumIdCount))
                ->capture_default_str();

            auto* submit = app.add_subcommand("submit",
                "Run a job and print its results. After a broken connection the same submission is sent again, which "
                "never runs a task twice");
            m_options.submission.job = "-";
            submit->add_option("file", m_options.submission.job, "Job (JSON), or - for standard input")
                ->capture_default_str();
            auto* id = submit->add_option("--id", m_options.submission.id, "Submission id from 'rattanroad ids'");
            submit->add_option("--key", m_options.submission.key, "Own key of the submission, instead of an id")
                ->check(validateHeaderValue)
                ->excludes(id);
            submit->add_flag("--async", m_options.submission.isAsynchronous,
                "Return as soon as the job is accepted; fetch the results with 'rattanroad query'");

            auto* query = app.add_subcommand("query", "Print what is known of a submission");
            query->add_option("id", m_options.jobId, "Submission id")->required();
            auto* cancel = app.add_subcommand("cancel", "Cancel a submission");
            cancel->add_option("id", m_options.jobId, "Submission id")->required();
        }

        Options& m_options;
    };

    /** Runs a subcommand with the parsed options. */
    class SubcommandRunner {
    public:
        SubcommandRunner(Options& options, CommandContext& context)
            : m_options(options)
            , m_context(context)
            , m_reporter(context, options.isJson)
            , m_servers(options.servers, context.transport, context.clock, context.sleep)
        {
        }

        ExitCode run(const std::string& command)
        {
            if (command == "check")
                return DocumentCommands(m_context, m_reporter).check(m_options.file);
            if (command == "import")
                return DocumentCommands(m_context, m_reporter).import(m_options.importFiles);
            if (command == "diff" || command == "apply")
                return runWithDocument(command);
            if (command == "drain")
                return drain();
            if (command == "history")
                return ConfigurationCommands(m_context, m_reporter, m_servers).history(m_options.limit);
            if (command == "status")
                return HostCommands(m_reporter, m_servers).status();
            if (command == "explain")
                return ExplainCommand(m_reporter, m_context).explain(m_options.explainedJob, m_options.logFiles);
            return runJobCommand(command);
        }

    private:
        ExitCode runWithDocument(const std::string& command)
        {
            const auto inventory = DocumentCommands(m_context, m_reporter).load(m_options.file);
            if (!inventory)
                return m_reporter.failure(inventory.lastReason());
            ConfigurationCommands commands(m_context, m_reporter, m_servers);
            return command == "diff" ? commands.diff(**inventory) : commands.apply(**inventory, m_options.change);
        }

        ExitCode drain()
        {
            if (m_options.isHostDrain)
                return HostCommands(m_reporter, m_servers).drain();
            if (m_options.targets.empty())
                return m_reporter.failure(
                    { FailureCode::MalformedRequest, RunState::NotRun, "drain needs the names of targets, or --host" });
            return ConfigurationCommands(m_context, m_reporter, m_servers).drain(m_options.targets, m_options.change);
        }

        ExitCode runJobCommand(const std::string& command)
        {
            JobCommands commands(m_reporter, m_servers);
            if (command == "ids")
                return commands.ids(m_options.idCount);
            if (command == "query")
                return commands.query(m_options.jobId);
            if (command == "cancel")
                return commands.cancel(m_options.jobId);
            auto job = readFile(m_options.submission.job, m_context);
            if (!job)
                return m_reporter.failure(job.lastReason());
            m_options.submission.job = std::move(*job);
            return commands.submit(m_options.submission);
        }

        Options& m_options;
        CommandContext& m_context;
        Reporter m_reporter;
        ServerPool m_servers;
    };

}

int runCommandLine(int argumentCount, const char* const* arguments, CommandContext& context)
{
    Options options;
    options.change.author = defaultAuthor();
    Parser parser(options);
    try {
        parser.app.parse(argumentCount, arguments);
    } catch (const CLI::ParseError& error) {
        const int status = parser.app.exit(error, context.output, context.errors);
        return static_cast<int>(status == 0 ? ExitCode::Success : ExitCode::InvalidInput);
    }
    if (parser.baseOption->count())
        options.change.baseRevision = options.baseRevision;
    options.change.wait = std::chrono::seconds(options.waitSeconds);
    const auto command = parser.app.get_subcommands().front()->get_name();
    return static_cast<int>(SubcommandRunner(options, context).run(command));
}

}
