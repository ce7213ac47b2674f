"""Backend servers that stop in the middle of their answer's head and close.

Each case ends the head at another byte, in an orderly way.
"""

import standins.common  # noqa: F401  # isort: skip

import unittest

from poplarspar.exceptions import BackendFailed, StoreUnavailable
from poplarspar.platform.store import PlatformStore
from tests.test_endless_answers import AttemptTestCase
from tests.test_foreign_answers import RawServer

HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n"
    b"Content-Type: text/event-stream\r\nContent-Length: 14\r\n"
    b"Server-Load: 1,0,4\r\n\r\n"
)
LEASE_HEAD = b"HTTP/1.1 404 Not Found\r\nStore-Era: 0\r\nContent-Length: 2\r\n\r\n"


class TruncatedHeadTest(AttemptTestCase):
    def serve(self, *answers):
        server = RawServer(answers)
        self.addCleanup(server.close)
        return server.address

    # Guards against a success with an empty or short body, framed as whole.
    def test_answer_that_ends_in_its_head_fails_the_attempt(self):
        for size in range(len(HEAD)):
            address = self.serve(HEAD[:size], HEAD[:size])
            for receive in (self.read_body, self.read_events):
                with self.subTest(size=size, receive=receive.__name__):
                    with self.assertRaises(BackendFailed) as raised:
                        receive(address)
                    self.assertTrue(raised.exception.sent)
                    self.assertTrue(raised.exception.disconnected)

    # Guards against a lease or a key that counts as gone.
    def test_answer_of_the_store_that_ends_in_its_head_is_none(self):
        for size in range(len(LEASE_HEAD)):
            store = PlatformStore(self.serve(*[LEASE_HEAD[:size]] * 2))
            self.addCleanup(store.close)
            with self.subTest(size=size):
                with self.assertRaises(StoreUnavailable):
                    store.read("op/a")
                with self.assertRaises(StoreUnavailable):
                    store.renew_lease("0:1")


if __name__ == "__main__":
    unittest.main()
