"""Pages that name tests, settings or refusal reasons must match the code."""

import dataclasses
import pathlib
import re

import pytest

from ebonycleat import Reason
from ebonycleat.internal.process.settings import NodeSettings
from ebonycleat.internal.request.refusal import HTTP_STATUS_BY_REASON

ROOT = pathlib.Path(__file__).parents[2]
FAILURES_PAGE = (ROOT / 'docs/failures.md').read_text(encoding='utf-8')
OPERATORS_PAGE = (ROOT / 'docs/operators.md').read_text(encoding='utf-8')
DOCUMENTED_TESTS = sorted(set(re.findall('`(test_[a-z0-9_]+)`', FAILURES_PAGE)))
TEST_FILES = sorted((ROOT / 'tests').rglob('test_*.py'))
EXISTING_TESTS = frozenset(
    name
    for path in TEST_FILES
    for name in re.findall(
        r'def (test_\w+)',
        path.read_text(encoding='utf-8'),
    )
)


@pytest.mark.parametrize('name', DOCUMENTED_TESTS)
def test_every_test_that_the_failures_page_names_exists(name):
    """Guards against a documented test that was renamed or removed."""
    assert name in EXISTING_TESTS


@pytest.mark.parametrize('reason', list(Reason))
def test_the_operators_page_lists_every_refusal_with_its_status(reason):
    """Guards against a refusal reason that operators cannot look up."""
    status = HTTP_STATUS_BY_REASON[reason].value
    assert f'| `{reason.value}` | {status} |' in OPERATORS_PAGE


@pytest.mark.parametrize(
    'table',
    dataclasses.fields(NodeSettings),
    ids=lambda table: table.name,
)
def test_the_operators_page_lists_every_settings_table(table):
    """Guards against a setting that operators cannot look up."""
    assert re.search(rf'`\[+{table.name}\]+', OPERATORS_PAGE)
