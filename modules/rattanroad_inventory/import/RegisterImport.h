#pragma once

#include "rattanroad_inventory/import/SourceText.h"
#include "rattanroad_inventory/inventory/Inventory.h"

#include <memory>

namespace rattanroad {

/** Builds one inventory from several files: workers and targets from an asset register (CSV or JSON), the rest from a
    JSON file. Every fault is reported with file, line and column.

    CSV columns of workers: id, failure_domain, rack, cores, memory_mb, accelerators (optional). Columns of targets: id,
    worker, address, path, kinds, slots, connections, state (optional), not_run_statuses (optional); kinds and
    statuses are separated by ';' or spaces. A JSON register is an array of the objects of the inventory document, or
    an object with that array under "workers" or "targets".
*/
class RegisterImport {
public:
    /** What to do with columns of a CSV file that the inventory does not have. */
    enum class UnknownColumns {
        Report,
        Ignore,
    };

    explicit RegisterImport(UnknownColumns unknownColumns = UnknownColumns::Report);
    ~RegisterImport();
    RegisterImport(const RegisterImport&) = delete;
    RegisterImport& operator=(const RegisterImport&) = delete;

    void addWorkers(const SourceFile& file);
    void addTargets(const SourceFile& file);
    /** Adds a JSON document, whole or with some of its lists; a list that occurs in two files is a fault. */
    void addDocument(const SourceFile& file);

    /** Checks everything that was added. Fails with FailureCode::ConfigurationInvalid; the detail has one fault a line.
        Syntax faults are reported first, since they hide the others.
    */
    Result<std::shared_ptr<const Inventory>> finish();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
