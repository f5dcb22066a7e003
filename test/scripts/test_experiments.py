"""Tests of the scripts that read played days and compare policies."""

import contextlib
import io
import json
import pathlib
import stat
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import day_report
import experiment

ID = "0123456789abcdef"


def line(event, at, **fields):
    return json.dumps({"event": event, "at": at, **fields})


def planned(at, run, node, gang=False):
    return line("runs_planned", at, job=ID, tasks=[f"{ID}.0.0.0#{run}@{node}"], tier=1, objective_ms=2000, gang=gang, priced_cores=10)


class DayReport(unittest.TestCase):
    def read(self, *lines):
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            jobs = day_report.read(lines)
        return jobs, errors.getvalue()

    def test_a_late_job_is_charged_to_the_cause_that_cost_the_most_time(self):
        jobs, _ = self.read(
            line("job_submitted", 1000, job=ID, queue="q", result=0),
            "  0.1 edge-a-1 " + planned(1100, 1, "n1"),
            line("run_ended", 3100, task=f"{ID}.0.0.0", run=1, how="stopped", reason="no progress"),
            planned(3200, 2, "n2"),
            line("run_ended", 4200, task=f"{ID}.0.0.0", run=2, how="done", reason=""),
            line("job_ended", 4200, job=ID, state="completed", age_ms=3200),
        )
        self.assertTrue(jobs[ID].is_late())
        self.assertEqual(jobs[ID].lost_ms().most_common(1), [("no progress", 2100)])

    # Guards against a log that was cut or mixed with other output and then ends the report.
    def test_a_cut_or_foreign_line_is_named_and_skipped(self):
        jobs, errors = self.read('{"event":"job_ended","job":"x', line("job_submitted", 5, job=ID, queue="q"), '{"other": 1}', "plain text")
        self.assertIn("line 1", errors)
        self.assertIn("line 3", errors)
        self.assertEqual(jobs[ID].accepted_ms, 5)

    def test_the_end_of_a_job_that_a_new_leader_repeats_counts_once(self):
        jobs, _ = self.read(line("job_ended", 10, job=ID, state="completed"), line("job_ended", 90, job=ID, state="completed"))
        self.assertEqual(jobs[ID].ended_ms, 10)


class Experiment(unittest.TestCase):
    def test_the_interval_widens_with_the_spread_and_is_infinite_for_one_value(self):
        self.assertEqual(experiment.interval([0.5])[1], float("inf"))
        mean, width = experiment.interval([1.0, 2.0, 3.0])
        self.assertAlmostEqual(mean, 2.0)
        self.assertAlmostEqual(width, 4.30 / 3**0.5)

    # Guards against a play that crashed and is counted as a result.
    def test_a_play_without_a_report_is_an_error_and_no_result(self):
        with tempfile.TemporaryDirectory() as folder:
            bench = pathlib.Path(folder) / "bench"
            bench.write_text("#!/bin/sh\necho no such day >&2\nexit 3\n")
            bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
            arm = type("Arm", (), {"folder": pathlib.Path(folder)})
            figures = experiment.play(str(bench), arm, "site.toml", "day", 1, "why")
        self.assertIn("exit code 3", figures["error"])
        self.assertIn("no such day", figures["error"])

    # Guards against a day that breaks no rule and serves too little of one class.
    def test_missed_floors_and_the_share_of_each_class_are_kept(self):
        kind = {"name": "wide", "n": 4, "in_aim": 1, "late": 0, "refused": 2, "failed": 1, "not_owed": 0, "worth": 0.3}
        report = {"G": 0.7, "served": 0.9, "breaks": {}, "prices": [], "classes": [kind], "short": ["0.3 of class wide"]}
        figures = experiment.read_report(report)
        self.assertEqual(figures["short"], ["0.3 of class wide"])
        self.assertEqual(figures["class_worth"], {"wide": 0.3})
        output = io.StringIO()
        arm = type("Arm", (), {"name": "base", "key": lambda self: "k"})()
        with contextlib.redirect_stdout(output):
            experiment.print_weakest_classes(arm, {("k", "s", "day-1", 7): figures}, [("s", "day-1", 7)])
        self.assertIn("weakest 0.300 on day-1 seed 7", output.getvalue())

    def test_only_days_with_faults_are_played_by_default(self):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as site:
            site.write('[[day]]\nname = "calm"\nslot = "quiet"\n[[day]]\nname = "busy"\nslot = "scale"\n')
            site.flush()
            self.assertEqual(experiment.days_of(site.name, []), ["busy"])
            self.assertEqual(experiment.days_of(site.name, ["calm"]), ["calm"])


if __name__ == "__main__":
    unittest.main()
