#!/usr/bin/env bash
# Fails when the pages disagree with the source:
# - an error kind without a row in docs/ERRORS.md, or a row there with another
#   status or `ran` than the table in the source;
# - a path in a page that is not in the tree;
# - an identifier in backticks that occurs nowhere in the source. Not checked in
#   docs/MEASUREMENTS.md, which records names as they were at the time.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'P'
import glob, os, re, sys

def read(path):
    with open(path, encoding="utf-8", errors="replace") as file:
        return file.read()

source = read("src/common/error_kind.cpp")
rows = re.findall(r'\{\w+,\s*"(\w+)",\s*(\d+),\s*Ran(\w+),', source)
docs = dict((k, (s, r)) for k, s, r in
            re.findall(r"^\| (\w+) \| (\d+) \| (\w+) \|", read("docs/ERRORS.md"), re.M))
bad = [k for k, s, r in rows if docs.get(k) != (s, r.lower())]
bad += [k for k in docs if k not in {row[0] for row in rows}]
if not rows or bad:
    sys.exit(f"docs/ERRORS.md disagrees with the source: {bad}")
print(f"docs/ERRORS.md: {len(rows)} kinds agree")

Folders = ["src", "platform", "tests", "scripts", "deploy", "examples", "cmake"]
words = set(re.findall(r"\w+", read("CMakeLists.txt")))
for folder in Folders:
    for path in glob.glob(folder + "/**/*", recursive=True):
        if os.path.isfile(path) and path != "scripts/check_docs.sh":
            words.update(re.findall(r"\w+", path + " " + read(path)))

PathToken = re.compile(r"(?<![\w./-])(?:%s|docs)/[\w./*-]*" % "|".join(Folders))
Identifier = re.compile(r"(?<!\w)(?:[a-z][a-z0-9]*(?:_[a-z0-9]+)+|[a-z]+[A-Z][A-Za-z0-9]*)(?!\w)")
pages = ["README.md"] + sorted(glob.glob("docs/**/*.md", recursive=True))
paths = names = 0
missing = []
for page in pages:
    text = read(page)
    for match in PathToken.finditer(text):
        path = match.group().rstrip(".")
        paths += 1
        if not any(glob.glob(path + suffix) for suffix in ("", ".h", ".cpp")):
            missing.append(f"{page}: no such file: {path}")
    if page == "docs/MEASUREMENTS.md":
        continue
    for quoted in re.findall(r"`([^`]+)`", re.sub(r"^```.*?^```", "", text, flags=re.M | re.S)):
        for name in Identifier.findall(quoted):
            names += 1
            if name not in words:
                missing.append(f"{page}: not in the source: {name}")
if missing or not paths or not names:
    sys.exit("\n".join(missing or ["no path or no identifier found in the pages"]))
print(f"{len(pages)} pages: {paths} paths and {names} identifiers exist")
P
