"""Tests of an agent's runs after a pause of its process."""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

NOW = builders.NOW
ENTRY = 7
OTHER_ENTRY = 8
KEY = core.AttemptKey(ENTRY, 1)
ENTRY_LOST_AFTER = datetime.timedelta(seconds=1)
LIMITS = core.PauseLimits(
    datetime.timedelta(milliseconds=200), datetime.timedelta(seconds=3)
)
LAPSE = datetime.timedelta(hours=1)


def _later(milliseconds: int) -> datetime.datetime:
    return NOW + datetime.timedelta(milliseconds=milliseconds)


def _build_executor(limits: core.PauseLimits | None = LIMITS) -> core.Executor:
    """Return an executor with a run that is confirmed to be wanted."""
    executor = core.Executor(
        1, 0, ENTRY_LOST_AFTER, core.PAUSE_AFTER, pause_limits=limits
    )
    executor.announce(builders.build_announcement(2), NOW)
    executor.dispatch(builders.build_dispatch(builders.build_order(1)), NOW)
    executor.confirm(ENTRY, NOW, ages=[(1, 0)])
    return executor


def _is_stopped(executor: core.Executor, milliseconds: int) -> bool:
    actions = executor.tick(_later(milliseconds), LAPSE)
    return any(isinstance(action, core.StopTask) for action in actions)


# Guards against runs that are stopped, though their jobs are wanted, because
# their agent stood still.
def test_run_goes_on_once_it_is_confirmed_after_a_pause() -> None:
    executor = _build_executor()
    assert not _is_stopped(executor, 2_000)
    assert not _is_stopped(executor, 2_190)
    executor.confirm(ENTRY, _later(2_001), ages=[(1, 5)])
    assert not _is_stopped(executor, 2_300)
    assert not _is_stopped(executor, 2_600)


def test_run_that_no_entry_confirms_is_stopped_soon_after_a_pause() -> None:
    executor = _build_executor()
    assert not _is_stopped(executor, 2_000)
    assert not _is_stopped(executor, 2_200)
    assert _is_stopped(executor, 2_300)


def test_run_that_its_entry_no_longer_lists_is_stopped_at_once() -> None:
    executor = _build_executor()
    assert not _is_stopped(executor, 2_000)
    executor.confirm(ENTRY, _later(2_001), ages=[])
    assert _is_stopped(executor, 2_050)


# Guards against a run that goes on for a while beside the next one of its
# task, which its entry has started elsewhere meanwhile.
@pytest.mark.parametrize(
    ("limits", "milliseconds"), [(LIMITS, 3_001), (None, 1_001)]
)
def test_run_that_may_be_given_elsewhere_is_stopped_at_once(
    limits: core.PauseLimits | None, milliseconds: int
) -> None:
    assert _is_stopped(_build_executor(limits), milliseconds)


def test_two_pauses_in_a_row_count_as_one() -> None:
    executor = _build_executor()
    assert not _is_stopped(executor, 1_500)
    assert not _is_stopped(executor, 1_600)
    assert not _is_stopped(executor, 2_900)
    assert _is_stopped(executor, 3_101)


def test_steady_time_leaves_suspensions_out() -> None:
    clock = core.ManualClock()
    now, steady = clock.now(), clock.read_steady()
    clock.suspend(datetime.timedelta(seconds=2))
    clock.advance(datetime.timedelta(seconds=1))
    assert clock.now() - now == datetime.timedelta(seconds=3)
    assert clock.read_steady() - steady == datetime.timedelta(seconds=1)


# Guards against a run that goes on while its agent waits for an entry whose
# connection broke during the pause, beside the next run of its task.
def test_run_of_an_entry_whose_connection_broke_in_a_pause_is_stopped() -> (
    None
):
    executor = _build_executor()
    assert not _is_stopped(executor, 2_000)
    (stop,) = executor.lose_connection(ENTRY, _later(2_001))
    assert (stop.key, stop.unseen_for) == (KEY, _later(2_001) - NOW)


def test_sign_that_is_valid_outlasts_a_broken_connection() -> None:
    executor = _build_executor()
    assert not _is_stopped(executor, 900)
    assert executor.lose_connection(ENTRY, _later(900)) == []
    assert not _is_stopped(executor, 1_000)
    assert _is_stopped(executor, 1_001)


def test_entry_that_connects_again_may_confirm_its_runs() -> None:
    executor = _build_executor()
    assert not _is_stopped(executor, 900)
    executor.lose_connection(ENTRY, _later(900))
    executor.connect(ENTRY)
    assert not _is_stopped(executor, 1_050)
    executor.confirm(ENTRY, _later(1_060), ages=[(1, 5)])
    assert not _is_stopped(executor, 1_300)


# Guards against runs of other entries that are stopped, since the broken
# connection is the first thing that the agent reads after a pause.
def test_broken_connection_leaves_runs_of_other_entries_alone() -> None:
    executor = _build_executor()
    order = builders.build_order(1, "job-2")
    other = attrs.evolve(builders.build_dispatch(order), entry=OTHER_ENTRY)
    executor.dispatch(other, NOW)
    executor.confirm(OTHER_ENTRY, NOW, ages=[(1, 0)])
    stops = [
        action.key
        for action in executor.lose_connection(ENTRY, _later(2_000))
        if isinstance(action, core.StopTask)
    ]
    assert stops == [KEY]
    executor.confirm(OTHER_ENTRY, _later(2_001), ages=[(1, 5)])
    assert not _is_stopped(executor, 2_300)
