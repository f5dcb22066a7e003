#!/usr/bin/env python3
"""Compares policies on the same days and seeds.

Plays every arm on each day and seed of the given sites and prints paired differences to the first arm: worth with a
95 % interval, broken rules, work thrown away and store calls. Finished plays are kept in the output folder, so an
interrupted comparison continues where it stopped. A play that fails is named and never counted.

    scripts/experiment.py --bench PATH --site SITE.toml --arm base=HEAD --arm slow=policy:slow.toml --seeds 8
"""

import argparse
import concurrent.futures
import hashlib
import json
import math
import os
import pathlib
import shutil
import statistics
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIRST_SEED = 920001
PLAY_TIMEOUT_S = 600
BUILD_TIMEOUT_S = 1800
MAX_JOBS = max(1, (os.cpu_count() or 2) // 2)
# Two-sided 95 % quantiles of Student's t by degrees of freedom; beyond the table the normal quantile is close enough.
STUDENT_T = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31, 9: 2.26, 10: 2.23, 15: 2.13,
             20: 2.09, 30: 2.04}


def student_t(degrees):
    """Returns the quantile of the largest tabulated degrees of freedom that do not exceed the given ones."""
    if degrees > 60:
        return 1.96
    return STUDENT_T[max(known for known in STUDENT_T if known <= degrees)]


def interval(values):
    """Returns mean and half width of the 95 % interval; the width is infinite for a single value."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, math.inf
    return mean, student_t(len(values) - 1) * statistics.stdev(values) / math.sqrt(len(values))


class Arm:
    """A revision of the repository, or a policy file on the current revision."""

    def __init__(self, text):
        self.name, _, source = text.partition("=")
        if not source:
            raise SystemExit(f"arm '{text}': write NAME=REVISION or NAME=policy:FILE")
        self.policy = None
        revision = source
        if source.startswith("policy:"):
            self.policy = pathlib.Path(source.removeprefix("policy:")).read_text()
            revision = "HEAD"
        self.revision = git("rev-parse", f"{revision}^{{commit}}")
        self.folder = None

    def key(self):
        """Identifies what is played, so that results of an earlier call can be used again."""
        return self.revision[:12] + (f"+{hash_of(self.policy)}" if self.policy else "")

    def check_out(self, folder):
        """Checks the revision out into a folder that its arms share, so that it is built once."""
        self.folder = folder / self.revision[:12]
        if not self.folder.exists():
            git("worktree", "prune")
            git("worktree", "add", "--detach", str(self.folder), self.revision)

    def activate(self):
        """Puts the arm's policy file in place; the arms of a folder are played one after another."""
        subprocess.run(["git", "checkout", "--quiet", "--", "deploy"], cwd=self.folder, check=True)
        if self.policy:
            (self.folder / "deploy" / "policy.toml").write_text(self.policy)


def git(*arguments):
    return subprocess.run(["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True).stdout.strip()


def hash_of(text):
    return hashlib.sha256(text.encode()).hexdigest()[:8]


def days_of(site, wanted):
    """Returns the names of the wanted days of a site file; by default the days with faults."""
    days = tomllib.loads(pathlib.Path(site).read_text()).get("day", [])
    if wanted:
        return [day["name"] for day in days if day["name"] in wanted]
    return [day["name"] for day in days if day.get("slot") != "quiet"]


def build(bench, arm):
    """Builds an arm and returns why it failed, or nothing."""
    command = [bench, "build"]
    built = subprocess.run(command, cwd=arm.folder, capture_output=True, text=True, timeout=BUILD_TIMEOUT_S)
    return f"{arm.name} does not build: {(built.stdout + built.stderr)[-600:]}" if built.returncode else ""


def play(bench, arm, site, day, seed, why):
    """Plays one day and returns its figures, or the reason why there are none."""
    report = arm.folder / "build" / f"report-{os.getpid()}-{day}-{seed}-{pathlib.Path(site).stem}.json"
    report.parent.mkdir(exist_ok=True)
    command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1"]
    command += ["--report", str(report), "--why", why]
    if day != "mix":
        command.append("--vary")
    try:
        done = subprocess.run(command, cwd=arm.folder, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return {"error": f"no result within {PLAY_TIMEOUT_S} s"}
    if not report.exists():
        return {"error": f"exit code {done.returncode}: {(done.stdout + done.stderr).strip()[-300:]}"}
    figures = read_report(json.loads(report.read_text()))
    report.unlink()
    return figures


def read_report(report):
    """Picks the figures that are compared from the bench's report of a play."""
    prices = {name: (amount, cost) for name, amount, cost in report["prices"]}
    waste = prices.get("core-seconds of work thrown away", (0, 0))
    outcomes = ("n", "in_aim", "late", "refused", "failed", "not_owed")
    return {
        "worth": report["G"],
        "served": report["served"],
        "breaks": report["breaks"] or {},
        "fault": report.get("fault"),
        "short": report.get("short") or [],
        "class_worth": {kind["name"]: kind.get("worth") for kind in report["classes"]},
        "waste": waste[0],
        "waste_worth": waste[1],
        "calls": prices.get("cloud calls", (0, 0))[0],
        "classes": {kind["name"]: [kind[it] for it in outcomes] for kind in report["classes"]},
        "prices": {name: cost for name, (_, cost) in prices.items() if cost > 0.0005},
    }


def collect_journal(arm):
    """Copies the journal entries of an arm's plays beside those of the repository."""
    for entry in (arm.folder / "journal").rglob("*"):
        target = ROOT / "journal" / entry.relative_to(arm.folder / "journal")
        if entry.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(entry, target)


def print_weakest_classes(arm, results, cases):
    """Prints the play in which each class earned the smallest share of what it was owed."""
    shares = {}
    for case in cases:
        for kind, share in results.get((arm.key(), *case), {}).get("class_worth", {}).items():
            if share is not None:
                shares.setdefault(kind, []).append((share, *case[1:]))
    for kind, plays in shares.items():
        mean = statistics.fmean(play[0] for play in plays)
        print(f"{arm.name:12} {kind:20} mean {mean:.3f}, weakest {min(plays)[0]:.3f} on {min(plays)[1]} seed {min(plays)[2]}")


def print_comparison(base, arm, results, groups):
    print(f"\n{arm.name} against {base.name} ({base.key()} -> {arm.key()})")
    print(f"{'site':24} {'day':10} {'n':>3} {'base':>7} {'arm':>7} {'difference':>18} {'waste':>14} {'calls':>12} broken")
    for title, cases in groups:
        pairs = [(results.get((base.key(), *case)), results.get((arm.key(), *case))) for case in cases]
        pairs = [pair for pair in pairs if all(pair)]
        if not pairs:
            continue
        mean, width = interval([after["worth"] - before["worth"] for before, after in pairs])
        means = [
            [statistics.fmean(pair[side][key] for pair in pairs) for side in (0, 1)]
            for key in ("worth", "waste", "calls")
        ]
        broken = [sorted({rule for pair in pairs for rule in pair[side]["breaks"]}) for side in (0, 1)]
        print(
            f"{title[0]:24} {title[1]:10} {len(pairs):3} {means[0][0]:7.4f} {means[0][1]:7.4f} {mean:+8.4f} +-{width:7.4f} "
            f"{means[1][0]:6.0f} {means[1][1]:7.0f} {means[2][0]:5.0f} {means[2][1]:6.0f} {broken[0] or '-'} {broken[1] or '-'}"
        )


def read_results(log):
    """Returns the figures of the plays that earlier calls finished."""
    results = {}
    for line in log.read_text().splitlines() if log.exists() else []:
        try:
            entry = json.loads(line)
            results[entry["arm"], entry["site"], entry["day"], entry["seed"]] = entry["figures"]
        except (ValueError, KeyError):
            print(f"{log}: skipped an unreadable line: {line[:80]}", file=sys.stderr)
    return results


def play_cases(options, arm, cases, results, out):
    """Plays an arm's cases, adds their figures to the results and the log, and returns the failures."""
    failures = []
    with concurrent.futures.ThreadPoolExecutor(max(1, min(options.jobs, MAX_JOBS))) as pool:
        plays = {pool.submit(play, options.bench, arm, *case, options.why): case for case in cases}
        for future in concurrent.futures.as_completed(plays):
            case = plays[future]
            figures = future.result()
            if "error" in figures:
                failures.append(f"{arm.name} {' '.join(map(str, case))}: {figures['error']}")
                continue
            results[arm.key(), *case] = figures
            entry = dict(zip(("arm", "site", "day", "seed", "figures"), (arm.key(), *case, figures)))
            out.write(json.dumps(entry) + "\n")
            out.flush()
    return failures


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True, help="program that plays days")
    parser.add_argument("--site", action="append", required=True, help="site file; repeatable")
    parser.add_argument(
        "--arm", action="append", required=True, help="NAME=REVISION or NAME=policy:FILE; the first is the base"
    )
    parser.add_argument(
        "--day", action="append", default=[], help="name of a day, or 'mix'; by default all days with faults"
    )
    parser.add_argument("--seeds", type=int, default=8, help="seeds for each day")
    parser.add_argument("--first-seed", type=int, default=FIRST_SEED)
    parser.add_argument("--jobs", type=int, default=MAX_JOBS, help="plays at a time, at most half of the processors")
    parser.add_argument("--output", type=pathlib.Path, default=ROOT / "build" / "experiments")
    parser.add_argument("--why", default="paired comparison of policies", help="line for the journal")
    options = parser.parse_args()
    options.output.mkdir(parents=True, exist_ok=True)
    arms = [Arm(text) for text in options.arm]
    for arm in arms:
        arm.check_out(options.output / "arms")
    log = options.output / "results.jsonl"
    results = read_results(log)
    cases = []
    for site in options.site:
        days = ["mix"] if options.day == ["mix"] else days_of(site, options.day)
        cases += [(site, day, options.first_seed + i) for day in days for i in range(options.seeds)]
    failures = []
    with log.open("a") as out:
        for arm in arms:
            open_cases = [case for case in cases if (arm.key(), *case) not in results]
            if not open_cases:
                continue
            arm.activate()
            if error := build(options.bench, arm):
                failures.append(error)
                continue
            failures += play_cases(options, arm, open_cases, results, out)
    for arm in arms:
        collect_journal(arm)

    groups = []
    for site in options.site:
        own = [case for case in cases if case[0] == site]
        name = pathlib.Path(site).stem
        groups += [((name, day), [case for case in own if case[1] == day]) for day in dict.fromkeys(case[1] for case in own)]
        groups.append(((name, "all"), own))
    for arm in arms[1:] or arms:
        print_comparison(arms[0], arm, results, groups)
    for arm in arms:
        print_weakest_classes(arm, results, cases)
    broken = []
    for arm in arms:
        for case in cases:
            figures = results.get((arm.key(), *case), {})
            if figures.get("breaks") or figures.get("fault"):
                broken.append(f"{arm.name} {' '.join(map(str, case))}: {figures['breaks'] or figures['fault']}")
    short = [
        f"{arm.name} {' '.join(map(str, case))}: {line}"
        for arm in arms
        for case in cases
        for line in results.get((arm.key(), *case), {}).get("short", [])
    ]
    for title, lines in (("broken rules and faults", broken), ("missed floors", short), ("plays without a result, not counted", failures)):
        if lines:
            print(f"\n{title}:\n  " + "\n  ".join(lines))
    return 1 if failures or short else 0


if __name__ == "__main__":
    sys.exit(main())
