"""Tests of one odd entry among those that other writers put in the store."""

import asyncio
import datetime
import json

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from tests.platform import test_decoding
from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls
from turmerichook._internal.models import ids
from turmerichook._internal.platform import documents
from turmerichook._internal.platform import settings_file
from turmerichook._internal.platform import store_calls
from turmerichook._internal.storage import interface
from turmerichook import exceptions

GOOD = {"key": "servers/i-1", "value": "e30=", "revision": 7}
ODD_ROWS = (
    None,
    3,
    [],
    {},
    {"key": 5, "value": "e30=", "revision": 8},
    {"key": "servers/\ud800", "value": "e30=", "revision": 8},
    {"key": "servers/i-2", "value": "e30", "revision": 8},
    {"key": "servers/i-2", "value": 5, "revision": 8},
    {"key": "servers/i-2", "value": "e30=", "revision": 10**30},
    {"key": "servers/i-2", "value": "e30=", "revision": None},
    {"key": "servers/i-2", "removed": True, "revision": -1},
)


def answer(document):
    return calls.Answer(
        status=200, headers=[], body=json.dumps(document).encode()
    )


class TestRows:
    """One row of a list or of a watch is not as expected."""

    @pytest.mark.parametrize("odd", ODD_ROWS, ids=repr)
    def test_other_rows_are_read(self, odd):
        """Guards against a registry that nobody follows for one odd row.

        The answer as a whole was refused, and asked for again and again.
        """
        rows = [GOOD, odd, {**GOOD, "key": "servers/i-3"}]
        page = store_calls._decode_page(
            answer({"items": rows, "current-rev": 9, "has-more": False})
        )
        changes = store_calls._decode_changes(
            answer({"events": rows, "current-rev": 9})
        )
        for items in (page.items, changes.changes):
            keys = [item.key for item in items]
            assert keys[0] == "servers/i-1"
            assert keys[-1] == "servers/i-3"
        assert changes.revision == page.revision == 9

    def test_page_that_may_not_be_the_last(self):
        """Guards against workers taken for removed as a page was cut short."""
        with pytest.raises(exceptions.StoreUnavailableError):
            store_calls._decode_page(
                answer({"items": [GOOD], "current-rev": 9})
            )

    def test_page_without_a_readable_key(self):
        """Guards against a list that ends, or repeats, at an odd page."""

        class Storage:
            async def page(self, prefix, *, after=""):
                return interface.Page(
                    items=(), revision=ids.Revision(9), more=True
                )

        with pytest.raises(exceptions.StoreUnavailableError):
            asyncio.run(interface.read_all(Storage(), "servers/"))

    def test_unreadable_value_is_not_taken_for_a_missing_key(self):
        """Guards against a job that starts anew as its progress is odd."""
        row = {"key": "progress/a", "value": "e30", "revision": 8}
        page = store_calls._decode_page(
            answer({"items": [row], "current-rev": 9, "has-more": False})
        )
        assert page.items == (
            interface.Item(
                key="progress/a", value=b"", revision=ids.Revision(0)
            ),
        )


class TestEntries:
    """A worker's entry has the right form and makes no sense."""

    @pytest.mark.parametrize(
        "port", (" 80", "80 ", "+80", "8_0", "٣", "0", "65536", "-1", "")
    )
    def test_odd_port_is_refused(self, port):
        """Guards against connections to ports that the entry does not name."""
        entry = {**test_decoding.ENTRY, "address": f"10.0.0.1:{port}"}
        with pytest.raises(exceptions.MessageError):
            documents.decode_worker_entry(
                "servers/i-1", test_decoding.encode(entry)
            )

    @pytest.mark.parametrize("scope", ("eth0", "br-" + "5c0e" * 16, "a..b"))
    @pytest.mark.parametrize("form", ("fe80::1%{}", "[fe80::1%{}]"))
    def test_address_with_a_scope_is_refused(self, form, scope):
        """Guards against an address that ends the leader's term.

        A scope names an interface of the host that wrote the entry. One that
        is too long for a host name cannot be resolved at all.
        """
        entry = {
            **test_decoding.ENTRY,
            "address": f"{form.format(scope)}:8080",
        }
        with pytest.raises(exceptions.MessageError):
            documents.decode_worker_entry(
                "servers/i-1", test_decoding.encode(entry)
            )

    def test_key_without_a_name_is_refused(self):
        """Guards against a worker whose id means that there is none."""
        with pytest.raises(exceptions.MessageError):
            documents.decode_worker_entry(
                "servers/", test_decoding.encode(test_decoding.ENTRY)
            )

    def test_settings_may_leave_the_port_to_the_system(self):
        """Guards against settings that are no longer accepted."""
        assert addresses.split("127.0.0.1:0") == ("127.0.0.1", 0)


class TestSettings:
    """The settings file is nested very deeply."""

    def test_is_refused_with_its_name(self, tmp_path):
        """Guards against a process that ends without saying why."""
        path = tmp_path / "node.toml"
        path.write_text("a = " + "[" * 5000 + "]" * 5000)
        with pytest.raises(exceptions.SettingsError):
            settings_file.load(path)


class TestUnreadableEntryOfALiveWorker:
    """Another writer overwrites the entry of a worker that runs a task."""

    def test_its_task_runs_on_and_the_next_good_entry_counts(self):
        """Guards against work that is started again for one odd entry."""
        site = test_dispatcher.DispatcherHarness("a", "b")
        minute = datetime.timedelta(minutes=1)
        site.submit(fakes.job("0" * 16, fakes.step(estimate=minute)))
        site.step()
        (name,) = [n for n, w in site.workers.items() if w.running]
        site.dispatcher.remove_entry(ids.WorkerId(name))
        for _ in range(40):
            site.advance(datetime.timedelta(seconds=0.5))
            site.step()
        assert sum(len(w.starts) for w in site.workers.values()) == 1
        site.dispatcher.set_entry(fakes.entry(name), site.now)
        assert site.dispatcher.workers[ids.WorkerId(name)].listed
