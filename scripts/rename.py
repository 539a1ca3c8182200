#!/usr/bin/env python3
"""Renames identifiers and files over the whole tree, each time as a commit that can be run again.

Usage:
    rename.py run [--in PATH ...] -m SUBJECT [-b BODY] OLD=NEW [OLD=NEW ...]
    rename.py replay BASE BRANCH

OLD and NEW are identifiers (Foo, m_foo, Foo::Bar, .foo) or paths of files (src/core/foo.h). An
identifier is replaced where it stands as a whole word in code; in comments only where it can't be an
ordinary word (it has a capital after the first letter, a digit or an underscore) or follows \\a, \\param,
\\ref, \\c or \\see. String literals and names of gflags stay. A file is moved, and its includes follow.
With --in only files below these paths are touched: for a name that means something else elsewhere.
The changed files are formatted and committed; the body of the commit holds the command.

replay takes the commits of BRANCH since BASE to the current branch, in order: a rename is run again;
another commit is merged file by file, after the renames that only the current branch has were made in
both of its sides. What was taken before is known by its author's date and message, and left out.
"""

import argparse
import os
import re
import shlex
import subprocess
import sys
import tempfile

FOLDERS = ["src", "platform", "standins", "bench", "tests", "CMakeLists.txt"]
TOKENS = re.compile(r"""(?P<include>^[ \t]*\#[ \t]*include[^\n]*)
    |(?P<comment>//(?:[^\n\\]|\\.)*|/\*.*?\*/)
    |(?P<text>R"(?P<d>[^()\\\s]{0,16})\(.*?\)(?P=d)"|"(?:[^"\\\n]|\\.)*")
    |(?P<char>(?<![0-9a-fA-F])'(?:[^'\\\n]|\\.)+')
    |(?P<flag>\bDEFINE_\w+\(\s*\w+)""", re.X | re.S | re.M)
MARK = "    rename.py run "


def git(*arguments, check=True, data=None):
    done = subprocess.run(["git", *arguments], capture_output=True, text=True, input=data)
    if check and done.returncode != 0:
        sys.exit(f"git {' '.join(arguments)}: {done.stderr}")
    return done.stdout


def sources():
    return [p for p in git("ls-files", *FOLDERS).splitlines()
            if ".pb." not in p and p.endswith((".h", ".cpp", ".txt"))]


def isPath(name):
    return "/" in name


def word(name):
    left = r"(?<![\w])" if re.match(r"\w", name) else ""
    return re.compile(left + re.escape(name) + r"(?!\w)")


def marked(name):
    return re.compile(r"(\\(?:a|c|ref|see|param(?:\[\w+\])?)\s+)" + re.escape(name) + r"(?!\w)")


def distinctive(name):
    return re.search(r"[A-Z0-9_]", name[1:]) is not None


def renamedText(text, path, pairs, within=None):
    """The text of a file with the renames made."""
    if within and not any(path == w or path.startswith(w.rstrip("/") + "/") for w in within):
        pairs = [pair for pair in pairs if isPath(pair[0])]
    names = [(word(old), old, new) for old, new in pairs if not isPath(old)]
    files = [(old, new) for old, new in pairs if isPath(old)]

    def code(part):
        for pattern, _, new in names:
            part = pattern.sub(lambda _: new, part)
        return part

    def comment(part):
        for pattern, old, new in names:
            if distinctive(old):
                part = pattern.sub(lambda _: new, part)
            else:
                part = marked(old).sub(lambda m: m.group(1) + new, part)
        return part

    def include(part):
        for old, new in files:
            for root in ("src/", "tests/", "bench/", "standins/", ""):
                if old.startswith(root) and new.startswith(root):
                    part = part.replace('"' + old[len(root):] + '"', '"' + new[len(root):] + '"')
            folder = os.path.dirname(path)
            if os.path.dirname(old) == folder and os.path.dirname(new) == folder:
                part = part.replace('"' + os.path.basename(old) + '"', '"' + os.path.basename(new) + '"')
        return part

    out, at = [], 0
    if path.endswith(".txt"):
        for old, new in files:
            text = text.replace(old, new)
        return text
    for match in TOKENS.finditer(text):
        out.append(code(text[at:match.start()]))
        kind, part = match.lastgroup, match.group(0)
        kind = "text" if kind == "d" else kind
        out.append(include(part) if kind == "include" else comment(part) if kind == "comment" else part)
        at = match.end()
    out.append(code(text[at:]))
    return "".join(out)


def formatted(paths):
    paths = [p for p in paths if p.endswith((".h", ".cpp"))]
    if paths:
        subprocess.run(["clang-format", "-i", *paths], check=True)


def apply(pairs, within):
    """Makes the renames in the work tree; returns the changed paths."""
    moved = {old: new for old, new in pairs if isPath(old)}
    for old, new in moved.items():
        os.makedirs(os.path.dirname(new) or ".", exist_ok=True)
        git("mv", old, new)
    changed = list(moved.values())
    for path in sources():
        with open(path, encoding="utf-8") as file:
            before = file.read()
        after = renamedText(before, path, pairs, within)
        if after != before:
            with open(path, "w", encoding="utf-8") as file:
                file.write(after)
            changed.append(path)
    formatted(changed)
    return sorted(set(changed))


def clashes(pairs, within):
    """New names that already stand in the code that would be touched."""
    found = []
    olds = {old for old, _ in pairs}
    for old, new in pairs:
        if isPath(old):
            if os.path.exists(new):
                found.append(f"{new} exists")
            continue
        for path in sources():
            if within and not any(path == w or path.startswith(w.rstrip("/") + "/") for w in within):
                continue
            with open(path, encoding="utf-8") as file:
                text = file.read()
            code = TOKENS.sub(lambda m: "\n" * m.group(0).count("\n"), text)
            if new not in olds and word(old).search(code) and word(new).search(code):
                line = code[:word(new).search(code).start()].count("\n") + 1
                found.append(f"{new} already stands in {path}:{line}")
                break
    return found


def run(options):
    if git("status", "--porcelain", "--untracked-files=no").strip():
        sys.exit("rename.py: commit or stash first")
    pairs = [tuple(pair.split("=", 1)) for pair in options.pairs]
    bad = clashes(pairs, options.within)
    if bad and not options.force:
        sys.exit("rename.py: nothing done; look at these, then --force if they are fine:\n  " + "\n  ".join(bad))
    changed = apply(pairs, options.within)
    if not changed:
        sys.exit("rename.py: nothing to rename")
    within = "".join(f"--in {shlex.quote(p)} " for p in options.within)
    command = MARK + within + " ".join(shlex.quote(p) for p in options.pairs)
    body = (options.body + "\n\n") if options.body else ""
    where = "in the files named" if options.within else "over src, platform, standins, bench and tests"
    message = f"{options.subject}\n\n{body}Word by word {where}, texts aside:\n{command}\n"
    git("add", "-A", *changed)
    git("commit", "-aqF", "-", data=message)
    print(f"{git('rev-parse', '--short', 'HEAD').strip()} {options.subject}: {len(changed)} files")


def commandsOf(message):
    """The renames that a commit's body holds: (pairs, within) each."""
    found = []
    for line in message.splitlines():
        if not line.startswith(MARK):
            continue
        words, within, pairs = shlex.split(line[len(MARK):]), [], []
        while words:
            item = words.pop(0)
            if item == "--in":
                within.append(words.pop(0))
            else:
                pairs.append(tuple(item.split("=", 1)))
        found.append((pairs, within))
    return found


def commits(span):
    return git("rev-list", "--reverse", "--no-merges", span).split()


def identity(commit):
    return git("log", "-1", "--format=%at %B", commit).strip()


def moves(commands):
    return [pair for pairs, _ in commands for pair in pairs if isPath(pair[0])]


def textAt(commit, path, renames):
    """The file of a commit with renames made in it; empty where it isn't there."""
    text = git("show", f"{commit}:{path}", check=False)
    if path.endswith((".h", ".cpp")):
        for pairs, within in renames:
            text = renamedText(text, path, pairs, within)
        text = subprocess.run(["clang-format", "--assume-filename=" + path], input=text,
                              capture_output=True, text=True, check=True).stdout
    return text


def mergeFile(commit, path, target, renames):
    """Merges what a commit did to a file; returns whether it could."""
    sides = []
    ours = open(target, encoding="utf-8").read() if os.path.exists(target) else ""
    for text in (ours, textAt(commit + "^", path, renames), textAt(commit, path, renames)):
        file = tempfile.NamedTemporaryFile("w", suffix=os.path.basename(path), delete=False, encoding="utf-8")
        file.write(text)
        file.close()
        sides.append(file.name)
    done = subprocess.run(["git", "merge-file", "-p", "-L", "here", "-L", "base", "-L", "there", *sides],
                          capture_output=True, text=True)
    for side in sides:
        os.unlink(side)
    os.makedirs(os.path.dirname(target) or ".", exist_ok=True)
    with open(target, "w", encoding="utf-8") as file:
        file.write(done.stdout)
    return done.returncode == 0


def replay(options):
    if git("status", "--porcelain", "--untracked-files=no").strip():
        sys.exit("rename.py: commit or stash first")
    had = commits(f"{options.base}..HEAD")
    foreign = [c for commit in had for c in commandsOf(git("log", "-1", "--format=%B", commit))]
    done = {identity(commit) for commit in had}
    for commit in commits(f"{options.base}..{options.branch}"):
        message = git("log", "-1", "--format=%B", commit)
        title = message.splitlines()[0]
        commands = commandsOf(message)
        if identity(commit) in done:
            foreign = [c for c in foreign if c not in commands]
            continue
        broken = []
        if commands:
            for pairs, within in commands:
                within = within + [new for old, new in moves(foreign) if old in within]
                apply([(o, n) for o, n in pairs if not isPath(o) or os.path.exists(o)], within)
            git("add", "-A", *FOLDERS)
        else:
            rows = git("diff-tree", "-r", "--no-commit-id", "--name-status", "--no-renames", commit)
            for status, path in (row.split("\t") for row in rows.splitlines()):
                target = path
                for pairs, _ in foreign:
                    target = dict(p for p in pairs if isPath(p[0])).get(target, target)
                if status == "D":
                    git("rm", "-q", target)
                    continue
                if not mergeFile(commit, path, target, foreign):
                    broken.append(target)
                git("add", target)
        if not git("diff", "--cached", "--name-only").strip():
            print(f"empty  {title}")
            continue
        date = git("log", "-1", "--format=%at", commit).strip()
        author = git("log", "-1", "--format=%an <%ae>", commit).strip()
        git("commit", "-qF", "-", f"--date=@{date}", f"--author={author}", data=message)
        print(f"{'rename' if commands else 'text  '} {git('rev-parse', '--short', 'HEAD').strip()} {title}")
        if broken:
            sys.exit("rename.py: committed with conflict marks in " + ", ".join(broken) + "; mend, amend, replay again")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    one = verbs.add_parser("run")
    one.add_argument("--in", dest="within", action="append", default=[])
    one.add_argument("-m", dest="subject", required=True)
    one.add_argument("-b", dest="body", default="")
    one.add_argument("--force", action="store_true")
    one.add_argument("pairs", nargs="+")
    one.set_defaults(act=run)
    other = verbs.add_parser("replay")
    other.add_argument("base")
    other.add_argument("branch")
    other.set_defaults(act=replay)
    options = parser.parse_args()
    os.chdir(git("rev-parse", "--show-toplevel").strip())
    options.act(options)


if __name__ == "__main__":
    main()
