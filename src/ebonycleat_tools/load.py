"""Entry point of the load generator."""

import pathlib
import sys
import uuid
from collections.abc import Sequence

from ebonycleat.internal.process.command_line import (
    EXIT_OK,
    EXIT_USAGE_ERROR,
    Program,
    run_program,
)
from ebonycleat.internal.process.logging_setup import set_up_logging
from ebonycleat_tools.load_plan import LoadPlan, MissingApiKey, read_key
from ebonycleat_tools.load_report import create_report
from ebonycleat_tools.load_results import LoadResults
from ebonycleat_tools.load_runner import run_load

REPORT_TITLE = 'ebonycleat load run'


def _start(plan: LoadPlan) -> int:
    set_up_logging('WARNING', 'load')
    try:
        key_by_team = {team.name: read_key(team) for team in plan.teams}
    except MissingApiKey as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE_ERROR
    results = run_load(plan, key_by_team, uuid.uuid4().hex)
    write_reports(plan, results)
    sys.stdout.write(results.to_table())
    return EXIT_OK


def write_reports(plan: LoadPlan, results: LoadResults) -> None:
    """Write the report files that the plan names."""
    _write_file(plan.report.json_file, results.to_json())
    _write_file(plan.report.html_file, create_report(results, REPORT_TITLE))


def _write_file(file_name: str, text: str) -> None:
    if file_name:
        path = pathlib.Path(file_name)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding='utf-8')


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point of ``ebonycleat-load``."""
    program = Program(
        'ebonycleat-load',
        'Sends an open-loop load and reports the results.',
        LoadPlan,
        _start,
    )
    return run_program(program, argv)
