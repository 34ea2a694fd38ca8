#!/usr/bin/env python3
"""Prints, for each source file given, a hash of the file, of all headers of the tree that it includes, and of the
linter's settings, so that a unit is linted again only when one of them has changed."""
import hashlib
import os
import re
import sys

INCLUDE = re.compile(rb'^\s*#\s*include\s+["<]([^">]+)[">]', re.MULTILINE)
ROOTS = ["modules", "tests", "benchmarks", "apps", "."]
contents = {}


def read(path):
    if path not in contents:
        with open(path, "rb") as file:
            contents[path] = file.read()
    return contents[path]


def included(path):
    for name in INCLUDE.findall(read(path)):
        name = name.decode()
        for root in [os.path.dirname(path), *ROOTS]:
            candidate = os.path.normpath(os.path.join(root, name))
            if os.path.isfile(candidate):
                yield candidate
                break


def closure(path):
    seen = {path}
    pending = [path]
    while pending:
        for header in included(pending.pop()):
            if header not in seen:
                seen.add(header)
                pending.append(header)
    return sorted(seen)


settings = read(".clang-tidy")
for unit in sys.argv[1:]:
    digest = hashlib.sha256(settings)
    for path in closure(unit):
        digest.update(path.encode() + b"\0" + read(path) + b"\0")
    print(digest.hexdigest()[:48], unit)
