#!/usr/bin/env python3
"""Shows where the worth of a played day went.

Reads the processes' logs (lines of JSON, with or without a time and a name before them) and, if given, the bench's
report of the same run. Prints for each job that ended late or not at all the cause that cost it the most time, sums
these by queue and cause, and lists the work of runs that did not end as done by the reason of their stop.

    scripts/day_report.py LOG [--report REPORT.json] [--jobs]
"""

import argparse
import collections
import json
import pathlib
import re
import sys

TASK = re.compile(r"^([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)$")
PLACEMENT = re.compile(r"^([0-9a-f]{16}\.\d+\.\d+\.\d+)#(\d+)@(.+)$")
# Causes by the reason that the leader logs; the first match counts.
CAUSES = [
    ("preempted", "preempted"),
    ("departs", "executor departed"),
    ("departed", "executor departed"),
    ("no progress", "no progress"),
    ("new lifetime", "power loss or restart"),
    ("permits of the node expired", "executor lost"),
    ("member of the gang was lost", "power loss or restart"),
    ("member of the gang ended", "failed member"),
    ("did not start", "start refused"),
    ("withdrawn", "start refused"),
    ("no longer accepts", "start refused"),
    ("job completed", "job ended"),
    ("job cancelled", "job ended"),
    ("job failed", "job ended"),
]

# Causes of ends that the leader did not ask for.
CAUSES_BY_END = {
    "failed": "failed by itself",
    "broken": "failed member",
    "alone": "gang incomplete",
    "lapsed": "lease lapsed",
}


def cause_of(reason, how):
    for text, cause in CAUSES:
        if text in reason:
            return cause
    return CAUSES_BY_END.get(how, reason or how)


class Run:
    def __init__(self, planned_ms, priced_cores):
        self.planned_ms = planned_ms
        self.priced_cores = priced_cores
        self.ended_ms = None
        self.how = "open"
        self.reason = ""


class Job:
    def __init__(self):
        self.accepted_ms = None
        self.ended_ms = None
        self.state = "open"
        self.queue = "?"
        self.tier = None
        self.objective_ms = None
        self.plans = 0
        self.gang = False
        self.tasks = set()
        self.runs = {}

    def age_ms(self):
        return None if self.ended_ms is None or self.accepted_ms is None else self.ended_ms - self.accepted_ms

    def is_late(self):
        age = self.age_ms()
        return age is not None and self.state == "completed" and self.objective_ms is not None and age > self.objective_ms

    def lost_ms(self):
        """Returns the time lost by cause: waits for the first start, runs that were repeated, and slow last runs."""
        lost = collections.Counter()
        if not self.runs:
            return lost
        lost["no room at first"] += min(run.planned_ms for run in self.runs.values()) - (self.accepted_ms or 0)
        by_task = collections.defaultdict(list)
        for (task, _), run in sorted(self.runs.items()):
            by_task[task].append(run)
        spans = [run.ended_ms - run.planned_ms for run in self.runs.values() if run.how == "done" and run.ended_ms]
        work = min(spans) if spans else 0
        worst = collections.Counter()
        for runs in by_task.values():
            own = collections.Counter()
            for before, after in zip(runs, runs[1:]):
                own[cause_of(before.reason, before.how)] += after.planned_ms - before.planned_ms
            last = runs[-1]
            if last.how == "done" and last.ended_ms:
                own["slow run"] += last.ended_ms - last.planned_ms - work
            first = min(run.planned_ms for run in self.runs.values())
            own["room came in parts"] += runs[0].planned_ms - first
            if own.total() > worst.total():
                worst = own
        return lost + worst


def read(lines):
    jobs = collections.defaultdict(Job)
    skipped = 0
    for number, line in enumerate(lines, 1):
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
            apply(jobs, event)
        except (ValueError, KeyError, TypeError) as error:
            skipped += 1
            if skipped <= 5:
                print(f"line {number}: not a log line of this program ({error.__class__.__name__}): {line.strip()[:80]}", file=sys.stderr)
    if skipped > 5:
        print(f"{skipped} such lines in all", file=sys.stderr)
    return jobs


def apply(jobs, event):
    name = event["event"]
    if name in ("job_submitted", "job_taken_in"):
        job = jobs[event["job"]]
        if job.accepted_ms is None:
            job.accepted_ms = event["at"]
        job.queue = event.get("queue", job.queue)
    elif name == "runs_planned":
        job = jobs[event["job"]]
        job.tier = event["tier"]
        job.objective_ms = event["objective_ms"]
        job.plans += 1
        job.gang = job.gang or event["gang"]
        for text in event["tasks"]:
            match = PLACEMENT.match(text)
            if match:
                job.tasks.add(match[1])
                job.runs[match[1], int(match[2])] = Run(event["at"], event["priced_cores"])
    elif name in ("run_ended", "run_lost", "run_absent"):
        match = TASK.match(event["task"])
        run = jobs[match[1]].runs.get((event["task"], event["run"])) if match else None
        if run and run.ended_ms is None:
            run.ended_ms = event["at"]
            run.how = event.get("how", "lost")
            run.reason = event["reason"]
    elif name == "job_ended":
        job = jobs[event["job"]]
        # A new leader may repeat the end of a job.
        if job.ended_ms is None:
            job.ended_ms = event["at"]
            job.state = event["state"]


def print_jobs(jobs):
    print("\njobs that ended late, failed or are open (objective as forecast at the last start)")
    print(
        f"{'job':16} {'queue':12} {'tier':>4} {'tasks':>5} {'gang':>5} {'plans':>5} {'age ms':>7} "
        f"{'objective':>9} {'state':10} lost ms by cause"
    )
    for name, job in sorted(jobs.items(), key=lambda it: it[1].accepted_ms or 0):
        if job.state == "cancelled" or (job.state == "completed" and not job.is_late()):
            continue
        lost = ", ".join(f"{cause} {ms}" for cause, ms in job.lost_ms().most_common() if ms > 100)
        print(
            f"{name} {job.queue:12.12} {job.tier!s:>4} {len(job.tasks):5} {job.gang!s:>5} {job.plans:5} "
            f"{job.age_ms()!s:>7} {job.objective_ms!s:>9} {job.state:10} {lost}"
        )


def print_causes(jobs):
    causes = collections.Counter()
    asked = collections.Counter()
    for job in jobs.values():
        asked[job.queue] += 1
        if job.state == "cancelled" or (job.state == "completed" and not job.is_late()):
            continue
        lost = job.lost_ms().most_common(1)
        causes[job.queue, job.state if job.state != "completed" else "late", lost[0][0] if lost else "never started"] += 1
    print("\nby queue, outcome and cause that cost the most time")
    for (queue, outcome, cause), count in sorted(causes.items()):
        print(f"{queue:24} {outcome:10} {cause:28} {count:4} of {asked[queue]}")
    thrown = collections.Counter()
    counts = collections.Counter()
    for job in jobs.values():
        for run in job.runs.values():
            if run.how in ("done", "open") or not run.ended_ms:
                continue
            cause = cause_of(run.reason, run.how)
            thrown[job.queue, cause] += (run.ended_ms - run.planned_ms) / 1000 * run.priced_cores
            counts[job.queue, cause] += 1
    print("\nwork of runs that did not end as done, core-seconds; what checkpoints saved is included")
    for (queue, cause), amount in thrown.most_common():
        print(f"{queue:24} {cause:28} {amount:8.0f} in {counts[queue, cause]} runs")


def print_report(path):
    report = json.loads(path.read_text())
    print(f"worth {report['G']:.3f}, served {report['served']:.3f}, broken rules {report['breaks'] or 'none'}")
    total = sum(weight for _, weight, _ in report["parts"])
    missing = 1 - report["G"]
    print(f"missing to 1: {missing:.3f}, of it")
    for name, weight, share in report["parts"]:
        print(f"  {weight / total * (1 - share):7.4f}  {name} ({share:.3f} at weight {weight / total:.3f})")
    for name, amount, cost in report["prices"]:
        if abs(cost) >= 0.0005:
            print(f"  {cost:7.4f}  {name} ({amount:.3f})")
    for kind in report["classes"]:
        print(
            f"  {kind['name']:16} asked {kind['n']} in time {kind['in_aim']} late {kind['late']} "
            f"refused {kind['refused']} failed {kind['failed']} not owed {kind['not_owed']}"
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("log", type=pathlib.Path, nargs="+", help="logs of one or more runs; several are summed")
    parser.add_argument("--report", type=pathlib.Path, help="the bench's report of the run")
    parser.add_argument("--jobs", action="store_true", help="list each late, failed or open job")
    options = parser.parse_args()
    jobs = {}
    for path in options.log:
        with path.open(errors="replace") as lines:
            for name, job in read(lines).items():
                jobs[f"{name}" if len(options.log) == 1 else f"{path.stem}/{name}"] = job
    if options.report:
        print_report(options.report)
    if options.jobs:
        print_jobs(jobs)
    print_causes(jobs)


if __name__ == "__main__":
    main()
