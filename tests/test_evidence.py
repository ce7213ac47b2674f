"""Decisions on prompt parts that crash backend servers, on one node's knowledge."""

import time
import unittest
from dataclasses import replace
from unittest import mock

from poplarspar.coordination.quarantine import (
    QUARANTINE_PREFIX,
    Admitted,
    EvidenceTable,
    Quarantine,
    Quarantined,
    QuarantineExchange,
)
from poplarspar.coordination.store_ports import (
    Change,
)
from poplarspar.exceptions import MalformedDocument
from poplarspar.protocol.quarantine import QuarantineJson
from poplarspar.state.quarantine import (
    Evidence,
    QuarantinedParts,
    UnansweredRequest,
    request_part,
)
from tests.test_forwarding import backend


def unanswered(number, *parts, at=None, backends=None):
    return UnansweredRequest(
        f"n1#{number}",
        (f"s{number}/1",) if backends is None else backends,
        parts,
        float(number) if at is None else at,
        "llm m0",
    )


class ConvictionTest(unittest.TestCase):
    def setUp(self):
        self.table = EvidenceTable()

    def add(self, *requests):
        for request in requests:
            self.table.add(request)

    def test_part_of_three_unanswered_requests_is_convicted(self):
        self.add(unanswered(1, "a", "x"), unanswered(2, "b", "x"))
        self.assertEqual((), self.table.convicted())
        self.add(unanswered(3, "c", "x"))
        self.assertEqual((frozenset({"x"}),), self.table.convicted())

    # Guards against refusing all prompts that begin like the harmful ones.
    def test_first_part_whose_answers_begin_is_not_convicted(self):
        self.add(*(unanswered(number, "a", "x") for number in (1, 2, 3)))
        self.assertEqual((frozenset({"a", "x"}),), self.table.convicted())
        self.table.record_begun("a", 2.5)
        self.assertEqual((frozenset({"x"}),), self.table.convicted())

    def test_parts_explained_by_another_part_are_not_convicted(self):
        self.add(*(unanswered(number, "a", "x") for number in (1, 2, 3)))
        self.add(unanswered(4, "b", "x"))
        self.assertEqual((frozenset({"x"}),), self.table.convicted())

    # Guards against convicting parts of prompts that only shared a crashed server.
    def test_parts_that_are_there_at_all_crashes_by_chance_are_not_convicted(self):
        for number in (1, 2, 3, 4):
            server = (f"s{number}/1",)
            self.add(unanswered(number, "a", "x", backends=server))
            if number < 4:
                self.add(unanswered(number + 10, "b", at=number + 0.1, backends=server))
        self.assertEqual((frozenset({"a", "x"}),), self.table.convicted())

    def test_parts_of_different_requests_at_the_same_crashes_wait_for_another(self):
        for number in (1, 2, 3):
            server = (f"s{number}/1",)
            self.add(unanswered(number, "x", backends=server))
            self.add(unanswered(number + 10, "b", at=number + 0.1, backends=server))
        self.assertEqual((), self.table.convicted())
        self.add(unanswered(4, "x"))
        self.assertEqual((frozenset({"x"}),), self.table.convicted())

    # Guards against convicting parts of prompts sent to a server that is down.
    def test_requests_to_a_server_that_is_down_count_as_its_one_crash(self):
        self.add(*(unanswered(n, "x", backends=("s1/1",)) for n in range(1, 9)))
        self.add(unanswered(9, "x", backends=("s2/1", "s3/1")))
        self.assertEqual(2, self.table.moments("x"))
        self.assertEqual((), self.table.convicted())

    # Guards against convicting a common part that was there at other crashes too.
    def test_crashes_that_a_new_part_explains_do_not_count_against_a_served_one(self):
        self.table.record_begun("a", 0.5)
        for number in (1, 2, 3):
            self.add(unanswered(number, "a", "x"))
        for number in (4, 5):
            self.add(unanswered(number, "a"))
        self.assertEqual((frozenset({"x"}),), self.table.convicted())
        self.add(unanswered(6, "a"))
        self.assertEqual({frozenset("x"), frozenset("a")}, {*self.table.convicted()})

    def test_suspected_new_part_explains_crashes_before_its_conviction(self):
        self.table.record_begun("a", 0.5)
        self.add(unanswered(1, "a", "x"), unanswered(2, "a", "x"))
        self.add(unanswered(3, "a"))
        self.assertEqual((), self.table.convicted())

    # Guards against sparing a part that was sound before, say, a release.
    def test_served_part_is_convicted_if_nothing_else_explains_the_crashes(self):
        self.table.record_begun("a", 0.5)
        self.add(*(unanswered(number, "a", f"y{number}") for number in (1, 2, 3)))
        self.assertEqual((frozenset({"a"}),), self.table.convicted())

    # Guards against quarantine after the loss of a zone or rack.
    def test_requests_that_fail_at_one_moment_convict_nothing(self):
        self.add(*(unanswered(n, "x", at=1.0 + n / 100) for n in range(1, 9)))
        self.assertEqual((), self.table.convicted())

    # Guards against a batch of harmful prompts that counts as the loss of a rack.
    def test_requests_at_one_moment_whose_retries_crash_too_convict_a_part(self):
        self.add(*(unanswered(n, "x", f"y{n}", at=1.0 + n / 100) for n in range(4)))
        self.assertEqual((), self.table.convicted())
        for n in (4, 5):
            self.add(unanswered(n, "x", at=1.0, backends=(f"s{n}/1", f"t{n}/1")))
        self.assertEqual((frozenset({"x"}),), self.table.convicted())

    # Guards against quarantine of a new part after the loss of a rack, which fails
    # other requests too.
    def test_part_of_few_requests_at_one_moment_is_not_convicted(self):
        for n in range(6):
            self.add(unanswered(n, "x", at=1.0, backends=(f"s{n}/1", f"t{n}/1")))
        self.add(*(unanswered(n, f"y{n}", at=1.1) for n in range(10, 16)))
        self.assertEqual((), self.table.convicted())
        self.table.record_begun("x", 0.5)
        self.assertEqual((), self.table.convicted())

    def test_served_part_at_one_moment_is_not_convicted(self):
        self.table.record_begun("x", 0.5)
        for n in range(6):
            self.add(unanswered(n, "x", at=1.0, backends=(f"s{n}/1", f"t{n}/1")))
        self.assertEqual((), self.table.convicted())
        self.assertEqual(("x",), self.table.suspected())

    def test_one_faulty_backend_server_convicts_nothing(self):
        self.add(*(unanswered(n, "x", backends=("s1/1",)) for n in range(1, 9)))
        self.assertEqual((), self.table.convicted())

    def test_repeated_report_of_a_request_counts_once(self):
        self.add(*(unanswered(1, "x", at=float(n)) for n in range(1, 9)))
        self.assertEqual(1, self.table.moments("x"))

    def test_begun_answer_of_another_node_clears_earlier_evidence_only(self):
        self.add(unanswered(1, "x"), unanswered(5, "x"))
        self.table.merge(Evidence((unanswered(2, "x"),), {"x": 3.0}))
        self.assertEqual(1, self.table.moments("x"))

    # Guards against refusing every prompt, and against minutes of work to decide it.
    def test_many_convicted_parts_at_once_convict_nothing(self):
        for number in (1, 2, 3):
            for index in range(300):
                parts = (f"x{index}",)
                request = unanswered(f"{number}-{index}", *parts, at=float(number))
                self.add(request)
        self.assertEqual((), self.table.convicted())

    def test_old_evidence_expires(self):
        self.add(*(unanswered(number, "x") for number in (1, 2, 3)))
        self.table.expire(200.0)
        self.assertFalse(self.table.is_accused("x"))


class AdmissionTestCase(unittest.TestCase):
    def setUp(self):
        self.now = time.monotonic()
        patcher = mock.patch("time.monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.writes = []
        self.accept_writes = True
        self.quarantine = Quarantine("n1", claim_trial=self.claim)

    def claim(self, entries):
        self.writes.append(entries)
        return self.accept_writes

    def admit(self, *parts):
        admission = self.quarantine.admit(parts, "llm m0")
        self.assertIsInstance(admission, Admitted)
        return admission.observation

    def crash(self, number, *parts):
        self.now += 0.5
        observation = self.admit(*parts)
        observation.record_disconnected(backend(f"s{number}"))
        observation.close()

    def hold(self, hold_s, *parts):
        entry = QuarantinedParts(frozenset(parts), hold_s)
        self.quarantine.replace_entries((entry,))
        return entry

    def check_for(self, duration_s):
        for _ in range(round(duration_s / 0.1)):
            self.now += 0.1
            self.quarantine.check()


class AdmissionTest(AdmissionTestCase):
    def test_quarantined_parts_are_refused_together_only(self):
        self.hold(30.0, "x", "y")
        admission = self.quarantine.admit(("x", "y", "z"), "llm m0")
        self.assertIsInstance(admission, Quarantined)
        self.assertAlmostEqual(30.0, admission.retry_after_s, places=1)
        self.admit("x", "z")

    def test_caller_that_leaves_early_accuses_nothing(self):
        self.admit("x").close()
        self.assertEqual((), self.quarantine.own_evidence().unanswered)

    def test_request_that_another_backend_server_answers_accuses_nothing(self):
        observation = self.admit("x")
        observation.record_disconnected(backend("s1"))
        observation.record_complete()
        observation.close()
        self.assertEqual((), self.quarantine.own_evidence().unanswered)

    # Guards against refusing sound prompts that are sent to servers that are down.
    def test_requests_after_a_crash_accuse_nothing(self):
        for number in (1, 2, 3):
            self.crash(number, "x")
            for delay_s in (0.05, 0.3, 0.6):
                self.now += delay_s
                observation = self.admit("y")
                observation.record_disconnected(backend(f"s{number}"))
                observation.close()
        parts = [r.parts for r in self.quarantine.own_evidence().unanswered]
        self.assertEqual([("x",), ("y",)] * 3, parts)

    def test_server_that_answers_after_a_disconnection_may_crash_again(self):
        for expected_count in (1, 2):
            observation = self.admit("x")
            observation.record_disconnected(backend("s1"))
            observation.close()
            unanswered_requests = self.quarantine.own_evidence().unanswered
            self.assertEqual(expected_count, len(unanswered_requests))
            self.now += 1.0
            self.admit("y").record_answering(backend("s1"))

    def test_suspected_request_is_not_retried(self):
        self.assertTrue(self.admit("x").may_retry())
        self.crash(1, "x")
        self.assertTrue(self.admit("x").may_retry())
        self.crash(2, "x")
        self.assertFalse(self.admit("x").may_retry())

    def test_answer_that_begins_is_reported_once_its_parts_are_accused(self):
        self.admit("x").record_complete()
        self.assertEqual({}, self.quarantine.own_evidence().begun_at_by_part)
        for number in (1, 2, 3):
            self.crash(number, "x")
            self.now += 0.5
            self.admit("x", "z").record_complete()
            begun = self.quarantine.own_evidence().begun_at_by_part
            self.assertEqual({"x": self.now}, begun)
        self.now += 0.5
        self.admit("x", "z").record_complete()
        begun = self.quarantine.own_evidence().begun_at_by_part
        self.assertEqual({"x": self.now - 0.5}, begun)

    def test_part_is_quarantined_some_time_after_its_conviction(self):
        self.admit("y").record_complete()
        for number in (1, 2, 3):
            self.crash(number, "y", "x")
            self.admit("y").record_complete()
        self.check_for(0.5)
        self.admit("x")
        self.check_for(0.5)
        self.assertIsInstance(self.quarantine.admit(("x",), "llm m0"), Quarantined)
        self.admit("y")

    # Guards against quarantine of common parts when all backend servers crash.
    def test_served_part_is_not_quarantined_while_a_whole_pool_fails(self):
        self.admit("x").record_complete()
        for number in range(9):
            self.crash(number, "x", f"y{number}")
        self.check_for(2.0)
        self.assertEqual((), self.quarantine.entries())
        for _ in range(4):
            self.admit("y").record_complete()
        self.check_for(2.0)
        (entry,) = self.quarantine.entries()
        self.assertEqual({"x"}, entry.parts)

    # Guards against crashes without end where all requests have the harmful part.
    def test_part_that_was_never_served_is_quarantined_though_all_requests_fail(self):
        for number in range(9):
            self.crash(number, "x", f"y{number}")
        self.check_for(2.0)
        (entry,) = self.quarantine.entries()
        self.assertEqual({"x"}, entry.parts)

    # Guards against a retry ban after the loss of a rack, for its callers' other parts.
    def test_requests_that_fail_at_one_moment_are_retried(self):
        observations = [self.admit("x") for _ in range(5)]
        for number, observation in enumerate(observations):
            observation.record_disconnected(backend(f"s{number}"))
            self.assertTrue(observation.may_retry())
            observation.close()

    # Guards against refusing sound requests until the hold ends.
    def test_quarantine_that_contradicts_an_answer_here_ends_at_once(self):
        self.crash(1, "x")
        self.admit("x").record_complete()
        self.hold(30.0, "x")
        self.assertEqual((), self.quarantine.entries())
        self.assertTrue(self.quarantine.needs_write())

    # Guards against a node without answers that takes a common part for the cause of
    # crashes by several harmful ones.
    def test_quarantine_of_a_common_part_that_the_evidence_does_not_convict_ends(self):
        self.admit("a").record_complete()
        for number, part in enumerate(("x", "y", "x", "y")):
            self.crash(number, "a", part)
        self.hold(30.0, "a")
        self.assertEqual((), self.quarantine.entries())
        self.assertTrue(self.quarantine.needs_write())

    def test_quarantine_of_a_served_part_that_the_evidence_convicts_stays(self):
        self.admit("a").record_complete()
        for number in range(4):
            self.crash(number, "a", f"x{number}")
        entry = self.hold(30.0, "a")
        self.assertEqual((entry,), self.quarantine.entries())

    def test_nodes_tell_each_other_which_suspected_parts_were_served(self):
        self.admit("a").record_complete()
        self.check_for(0.1)
        self.assertEqual({}, self.quarantine.own_evidence().begun_at_by_part)
        served_at = self.now - 0.1
        for number in (1, 2):
            self.crash(number, "a", "x")
        self.check_for(0.2)
        begun = self.quarantine.own_evidence().begun_at_by_part
        self.assertEqual(["a"], list(begun))
        self.assertAlmostEqual(served_at, begun["a"], places=2)
        self.assertTrue(self.quarantine.is_suspected(("a",)))

    def test_one_request_is_the_trial_after_the_hold(self):
        self.hold(0.0, "x")
        observation = self.admit("x")
        self.assertFalse(observation.may_retry())
        self.assertEqual(1, len(self.writes))

    def test_request_is_refused_if_another_node_claims_the_trial(self):
        self.hold(0.0, "x")
        self.accept_writes = False
        self.assertIsInstance(self.quarantine.admit(("x",), "llm m0"), Quarantined)

    def test_crashing_trial_starts_a_longer_hold(self):
        self.hold(0.1, "x")
        self.crash(1, "x")
        (entry,) = self.quarantine.entries()
        self.assertEqual(0.2, entry.hold_s)

    def test_answered_trial_ends_the_quarantine(self):
        self.hold(0.0, "x")
        self.admit("x").record_complete()
        self.assertEqual((), self.quarantine.entries())
        self.assertTrue(self.quarantine.needs_write())
        self.admit("x")

    def test_quarantine_ended_by_another_node_clears_the_evidence(self):
        for number in (1, 2, 3):
            self.crash(number, "x")
        self.hold(30.0, "x")
        self.quarantine.replace_entries(())
        self.admit("x")
        self.assertFalse(self.quarantine.is_suspected(("x",)))

    # Guards against forgetting the quarantine with the store's data.
    def test_entries_that_the_store_lost_are_written_again(self):
        self.hold(30.0, "x")
        self.assertFalse(self.quarantine.needs_write())
        self.quarantine.mark_unstored()
        self.assertTrue(self.quarantine.needs_write())

    # Guards against callers and failures that fill the table of a node.
    def test_own_evidence_is_bounded(self):
        for number in range(100):
            self.crash(number, *(f"p{number}-{index}" for index in range(40)))
        evidence = self.quarantine.own_evidence()
        self.assertEqual(32, len(evidence.unanswered))
        self.assertTrue(all(len(r.parts) <= 32 for r in evidence.unanswered))
        text = QuarantineJson().evidence_text(evidence)
        self.assertEqual(32, len(QuarantineJson().parse_evidence(text).unanswered))


class RestartTest(AdmissionTestCase):
    """A node that starts after all nodes were killed has only what they shared."""

    def restart(self, after_s=1.0):
        """Continue at a node that has just started and read the evidence."""
        documents = QuarantineJson()
        text = documents.evidence_text(self.quarantine.own_evidence())
        self.now += after_s
        self.quarantine = Quarantine("n2", claim_trial=self.claim)
        self.quarantine.merge_evidence(documents.parse_evidence(text))

    def crash_pool(self, number, *parts):
        """Let all backend servers crash under requests that share these parts."""
        self.now += 0.5
        observations = [self.admit(*parts, f"request:{number}.{n}") for n in range(4)]
        for server, observation in enumerate(observations):
            observation.record_disconnected(backend(f"s{number}.{server % 2}"))
            observation.close()

    def serve(self, *parts):
        for _ in range(4):
            self.now += 0.1
            self.admit(*parts).record_complete()

    # Guards against a common part that nodes quarantine after a restart, since none of
    # them knows the answers between the crashes.
    def test_evidence_that_answers_have_cleared_convicts_nothing(self):
        for number in (1, 2, 3):
            self.serve("a")
            self.crash_pool(number, "a")
        self.restart()
        self.assertFalse(self.quarantine.is_suspected(("a",)))
        self.check_for(1.0)
        self.serve("other")
        self.check_for(2.0)
        self.assertEqual((), self.quarantine.entries())

    # Guards against answers after the last crash of which no other evidence tells.
    def test_answers_after_the_last_crash_are_shared(self):
        self.crash_pool(1, "a")
        changes = []
        self.quarantine._on_change = lambda: changes.append(1)
        self.serve("a")
        self.assertEqual([1], changes)
        self.restart()
        self.crash_pool(2, "a")
        self.assertFalse(self.quarantine.is_suspected(("a",)))

    # Guards against a pool that keeps crashing after the restart, with no answer.
    def test_common_part_is_spared_while_its_pool_fails_after_the_restart(self):
        self.serve("a")
        self.crash_pool(1, "a")
        self.restart()
        for number in (2, 3, 4):
            self.crash_pool(number, "a")
        self.check_for(2.0)
        self.assertEqual((), self.quarantine.entries())

    # Guards against harmful parts that answers to sound requests would clear.
    def test_harmful_part_is_convicted_and_common_one_served(self):
        for number in (1, 2, 3):
            self.serve("a")
            self.crash(number, "a", "x")
            self.crash_pool(number + 10, "a")
        self.restart()
        self.check_for(2.0)
        (entry,) = self.quarantine.entries()
        self.assertEqual({"x"}, entry.parts)
        self.admit("a", "y")

    def test_harmful_part_is_convicted_by_crashes_before_and_after_the_restart(self):
        for number in (1, 2):
            self.serve("a")
            self.crash(number, "a", "x")
        self.restart()
        self.serve("a")
        self.crash(3, "a", "x")
        self.serve("a")
        self.check_for(2.0)
        (entry,) = self.quarantine.entries()
        self.assertEqual({"x"}, entry.parts)

    # Guards against a wrong entry in the store that no node of before the restart is
    # left to end.
    def test_stored_entry_of_a_common_part_ends(self):
        for number in (1, 2, 3):
            self.serve("a")
            self.crash(number, "a", "x")
        self.restart()
        self.hold(30.0, "a")
        self.assertEqual((), self.quarantine.entries())
        self.assertTrue(self.quarantine.needs_write())

    def test_stored_entry_of_a_harmful_part_stays(self):
        for number in (1, 2, 3):
            self.serve("a")
            self.crash(number, "a", "x")
        self.restart()
        entry = self.hold(30.0, "x")
        self.check_for(2.0)
        self.assertEqual((entry,), self.quarantine.entries())


class CrashingRequestTest(AdmissionTestCase):
    """Parts that stand for one request."""

    def setUp(self):
        super().setUp()
        self.bad = request_part("pilots", "POST a.example/look/1", b"bad")

    def crash_in_turn(self, *numbers, parts=()):
        """Record a request that crashed these backend servers one after the other."""
        observation = self.admit(*parts, self.bad)
        for number in numbers:
            observation.record_disconnected(backend(f"s{number}"))
        observation.close()

    def is_refused(self, *parts):
        return isinstance(self.quarantine.admit(parts, "llm m0"), Quarantined)

    def test_parts_differ_by_caller_target_and_body(self):
        fields = [
            ("a", "bc", b""),
            ("ab", "c", b""),
            ("a", "b", b"c"),
            ("", "abc", b""),
        ]
        self.assertEqual(4, len({request_part(*row) for row in fields}))
        self.assertEqual(request_part(*fields[0]), request_part(*fields[0]))

    # Guards against a harmful request that is new each time its parts are cleared.
    def test_request_is_convicted_though_its_prompt_parts_are_served(self):
        for number in range(3):
            self.now += 0.5
            self.crash_in_turn(number, parts=("x",))
            self.admit("x", "request:other").record_complete()
        self.check_for(1.0)
        (entry,) = self.quarantine.entries()
        self.assertEqual({self.bad}, entry.parts)
        self.assertTrue(self.is_refused("x", self.bad))
        self.assertFalse(self.is_refused("x", "request:other"))

    # Guards against three more crashes of a pool that has three backend servers.
    def test_crashes_in_turn_within_a_moment_convict(self):
        self.crash_in_turn(1, 2)
        self.assertTrue(self.quarantine.is_suspected((self.bad,)))
        self.now += 0.1
        self.crash_in_turn(3)
        self.check_for(1.0)
        self.assertTrue(self.is_refused(self.bad))

    # Guards against refusing a request that many callers' nodes repeat, after the loss
    # of a rack.
    def test_crashes_at_one_moment_convict_no_request(self):
        for number in range(6):
            self.now += 0.01
            self.crash_in_turn(number)
        self.check_for(1.0)
        self.assertEqual((), self.quarantine.entries())

    # Guards against refusing a request that fails at the crashes of another one.
    def test_requests_at_the_same_crashes_wait_for_another(self):
        self.crash_in_turn(1, 2)
        observation = self.admit("request:innocent")
        for number in (1, 2, 3):
            observation.record_disconnected(backend(f"s{number}"))
        observation.close()
        self.now += 0.1
        self.crash_in_turn(3)
        self.check_for(1.0)
        self.assertEqual((), self.quarantine.entries())
        self.crash_in_turn(4)
        self.check_for(1.0)
        self.assertTrue(self.is_refused(self.bad))
        self.assertFalse(self.is_refused("request:innocent"))

    # Guards against one of two harmful requests that the other one hides, since a small
    # pool crashes under both.
    def test_both_requests_that_recur_at_the_same_crashes_are_convicted(self):
        other = "request:other"
        for first in (1, 4):
            self.crash_in_turn(first, first + 1, first + 2)
            observation = self.admit(other)
            for number in (first, first + 2):
                observation.record_disconnected(backend(f"s{number}"))
            observation.close()
            self.now += 4.0
        self.check_for(1.0)
        self.assertTrue(self.is_refused(self.bad))
        self.assertTrue(self.is_refused(other))

    # Guards against a trial each ten minutes of a request that always crashes.
    def test_request_has_few_trials(self):
        self.hold(30.0, self.bad)
        trials = 0
        for _ in range(3000):
            self.now += 1.0
            self.quarantine.check()
            if not self.is_refused(self.bad):
                trials += 1
        self.assertEqual(3, trials)

    # Guards against the loss of what a node knows of shared parts.
    def test_requests_do_not_displace_shared_parts(self):
        self.admit("a").record_complete()
        for number in range(5000):
            self.admit(f"request:{number}").record_complete()
        for number in (1, 2):
            self.crash(number, "a", "x")
        self.check_for(0.2)
        self.assertEqual(["a"], list(self.quarantine.own_evidence().begun_at_by_part))

    def test_parts_of_requests_pass_through_the_documents(self):
        self.crash_in_turn(1)
        evidence = self.quarantine.own_evidence()
        documents = QuarantineJson()
        parsed = documents.parse_evidence(documents.evidence_text(evidence))
        self.assertEqual(evidence.unanswered[0].parts, parsed.unanswered[0].parts)


class StoreStub:
    """Records what an exchange writes, and leases without end."""

    def __init__(self):
        self.writes = []

    def grant_lease(self, ttl_s):
        return "1"

    def renew_lease(self, lease):
        return True

    def compare_and_swap(self, key, expected, text, lease=""):
        self.writes.append(key)
        return len(self.writes)


class ExchangeTest(unittest.TestCase):
    def setUp(self):
        self.now = time.monotonic()
        patcher = mock.patch("time.monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.store = StoreStub()
        self.exchange = QuarantineExchange(
            self.store, QuarantineJson(), "n1", lambda: True
        )
        self.quarantine = self.exchange.quarantine

    def change(self, revision, evidence):
        key = QUARANTINE_PREFIX + "evidence/n2"
        return Change(key, revision, QuarantineJson().evidence_text(evidence))

    # Guards against old answers that seem new and clear newer evidence.
    def test_evidence_that_is_read_again_is_merged_once(self):
        old = self.change(5, Evidence((), {"x": self.now}))
        self.exchange.replace((old,))
        for number in (1, 2):
            self.now += 1.0
            observation = self.quarantine.admit(("x",), "llm m0").observation
            observation.record_disconnected(backend(f"s{number}"))
            observation.close()
        self.exchange.replace((old,))
        self.assertTrue(self.quarantine.is_suspected(("x",)))
        self.exchange.apply((self.change(6, Evidence((), {"x": self.now})),))
        self.assertFalse(self.quarantine.is_suspected(("x",)))

    # Guards against writes that wake all nodes and tell them nothing.
    def test_expired_evidence_is_not_written_again(self):
        observation = self.quarantine.admit(("x",), "llm m0").observation
        observation.record_disconnected(backend("s1"))
        observation.close()
        self.exchange._share()
        self.now += 200.0
        self.quarantine.check()
        self.exchange._share()
        self.assertEqual(1, len(self.store.writes))

    def entries_change(self, revision, *quarantined):
        text = QuarantineJson().entries_text(quarantined)
        return Change(QUARANTINE_PREFIX + "entries", revision, text)

    # Guards against parts that go on crashing backend servers since a restored store
    # has an earlier quarantine.
    def test_entries_that_a_restored_store_lacks_stay_and_are_written_again(self):
        first = QuarantinedParts(frozenset({"x"}), 30.0)
        second = QuarantinedParts(frozenset({"y"}), 30.0)
        self.exchange.replace((self.entries_change(5, first),))
        copy = self.entries_change(2**32 + 5, first)
        trial = replace(first, hold_s=60.0)
        self.exchange.apply((self.entries_change(6, trial, second),))
        self.exchange.share_again()
        self.exchange.replace((copy,))
        self.assertEqual({trial, second}, set(self.quarantine.entries()))
        self.now += 1.0
        self.assertTrue(self.quarantine.needs_write())
        self.exchange._share()
        self.assertFalse(self.quarantine.needs_write())
        self.assertEqual({trial, second}, set(self.quarantine.entries()))

    # Guards against a verdict on entries without the evidence that came with them.
    def test_evidence_is_applied_before_entries(self):
        self.quarantine.admit(("x",), "llm m0").observation.record_complete()
        rows = tuple(unanswered(n, "x", at=self.now + n) for n in range(1, 5))
        self.now += 5.0
        entry = QuarantinedParts(frozenset({"x"}), 30.0)
        changes = (self.entries_change(4, entry), self.change(5, Evidence(rows)))
        self.exchange.replace(changes)
        self.assertEqual((entry,), self.quarantine.entries())

    # Guards against evidence that other nodes have read from the store only.
    def test_evidence_is_shared_again_after_a_restore(self):
        observation = self.quarantine.admit(("x",), "llm m0").observation
        observation.record_disconnected(backend("s1"))
        observation.close()
        self.exchange._share()
        self.exchange.share_again()
        self.exchange._share()
        self.assertEqual(2, len(self.store.writes))

    # Guards against evidence under a lease of before, which may be another node's now.
    def test_evidence_is_shared_again_after_a_restore_during_its_write(self):
        write = self.store.compare_and_swap

        def restore_and_write(*arguments):
            self.store.compare_and_swap = write
            self.exchange.share_again()
            return write(*arguments)

        self.store.compare_and_swap = restore_and_write
        observation = self.quarantine.admit(("x",), "llm m0").observation
        observation.record_disconnected(backend("s1"))
        observation.close()
        self.exchange._share()
        self.exchange._share()
        self.assertEqual(2, len(self.store.writes))

    # Guards against old answers that clear newer evidence at their new revision.
    def test_old_evidence_of_a_restored_store_is_not_merged_again(self):
        old = self.change(5, Evidence((), {"x": self.now}))
        self.exchange.replace((old,))
        for number in (1, 2):
            self.now += 1.0
            observation = self.quarantine.admit(("x",), "llm m0").observation
            observation.record_disconnected(backend(f"s{number}"))
            observation.close()
        self.exchange.share_again()
        self.exchange.replace((replace(old, revision=2**32 + 5),))
        self.assertTrue(self.quarantine.is_suspected(("x",)))

    def test_malformed_documents_are_left_out(self):
        changes = [
            Change(QUARANTINE_PREFIX + key, 3, "{")
            for key in ("entries", "evidence/n2")
        ]
        self.exchange.replace(tuple(changes))
        self.assertEqual((), self.quarantine.entries())


class DocumentTest(unittest.TestCase):
    def test_evidence_round_trip_keeps_ages(self):
        now = time.monotonic()
        evidence = Evidence((unanswered(1, "x", at=now - 2.0),), {"y": now - 1.0})
        parsed = QuarantineJson().parse_evidence(
            QuarantineJson().evidence_text(evidence)
        )
        self.assertAlmostEqual(now - 2.0, parsed.unanswered[0].ended_at, places=1)
        self.assertAlmostEqual(now - 1.0, parsed.begun_at_by_part["y"], places=1)

    def test_entries_round_trip_and_malformed_documents(self):
        entries = (QuarantinedParts(frozenset({"x", "y"}), 60.0),)
        text = QuarantineJson().entries_text(entries)
        self.assertEqual(entries, QuarantineJson().parse_entries(text))
        for text in ("", "[]", '{"entries": [{"parts": [], "hold_ms": 1}]}'):
            with self.subTest(text=text), self.assertRaises(MalformedDocument):
                QuarantineJson().parse_entries(text)


if __name__ == "__main__":
    unittest.main()
