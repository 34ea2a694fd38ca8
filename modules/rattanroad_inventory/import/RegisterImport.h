#pragma once

#include "rattanroad_inventory/import/SourceText.h"
#include "rattanroad_inventory/inventory/Inventory.h"

#include <memory>

namespace rattanroad {

/** Builds one inventory from several files: workers and targets from an asset register (CSV or JSON), the rest from a
    JSON file. Each error is reported with file, line and column.

    CSV columns of workers: id, failure_domain, rack, cores, memory_mb, accelerators (optional). Columns of targets: id,
    worker, address, path, kinds, slots, connections, state (optional), not_run_statuses (optional); kinds and
    statuses are separated by ';' or spaces. A JSON register is an array of the objects of the inventory document, or
    an object with that array under "workers" or "targets".
*/
class RegisterImport {
public:
    /** How to treat CSV columns that the inventory does not define. */
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
    /** Adds a JSON document with all or some of the lists. A list that occurs in two files is an error. */
    void addDocument(const SourceFile& file);

    /** Validates everything that was added. Fails with FailureCode::ConfigurationInvalid; the detail has one error per
        line. Errors in the syntax or structure of the files are reported alone, since they can hide others.
    */
    Result<std::shared_ptr<const Inventory>> finish();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
