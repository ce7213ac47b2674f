"""Tests of counting requests during a graceful shutdown."""

import unittest

import eventlet

from poplarspar.coordination.drain import Drain


class DrainTest(unittest.TestCase):
    def test_waits_for_requests_that_came_after_the_start(self):
        drain = Drain()
        drain.begin()
        request = drain.request()
        request.__enter__()
        waiting = eventlet.spawn(drain.wait_idle, 5.0)
        eventlet.sleep(0)
        self.assertFalse(waiting.dead)
        request.__exit__(None, None, None)
        self.assertTrue(waiting.wait())

    def test_gives_up_after_the_timeout(self):
        drain = Drain()
        drain.begin()
        with drain.request():
            self.assertFalse(drain.wait_idle(0.01))
