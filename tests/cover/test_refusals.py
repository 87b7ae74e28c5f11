"""Refusals: each reason has an HTTP status, and outcomes are truthful."""

import pytest

from ebonycleat import Outcome, Reason
from ebonycleat.internal.request.refusal import (
    HTTP_STATUS_BY_REASON,
    refuse_not_run,
    refuse_outcome_unknown,
)


@pytest.mark.parametrize('reason', list(Reason))
def test_every_reason_has_an_http_status_of_an_error(reason):
    """Guards against a reason that fails with a KeyError when it is used."""
    assert HTTP_STATUS_BY_REASON[reason] >= 400


def test_the_two_constructors_state_the_outcome_they_are_named_for():
    """Guards against "not run" for a request that may have run."""
    not_run = refuse_not_run(Reason.SHED)
    unknown = refuse_outcome_unknown(Reason.CONNECTION_LOST)
    assert not_run.outcome is Outcome.NOT_RUN
    assert unknown.outcome is Outcome.UNKNOWN
