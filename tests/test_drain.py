"""Graceful shutdown waits for requests in flight; timers survive failures."""

import unittest

import eventlet
from eventlet.event import Event

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.timers import TimerService


class DrainTest(unittest.TestCase):
    def test_waits_for_request_that_arrives_while_draining(self):
        drain = Drain()
        drain.begin()
        request = drain.request()
        request.__enter__()
        waiting = eventlet.spawn(drain.wait_idle, 5.0)
        eventlet.sleep(0)
        self.assertFalse(waiting.dead)
        request.__exit__(None, None, None)
        self.assertTrue(waiting.wait())

    def test_wait_ends_at_timeout(self):
        drain = Drain()
        drain.begin()
        with drain.request():
            self.assertFalse(drain.wait_idle(0.01))


class TimersTest(unittest.TestCase):
    def test_failing_callback_does_not_stop_others(self):
        timers = TimerService()
        self.addCleanup(timers.close)
        done = Event()
        timers.after(0.0, lambda: 1 / 0)
        timers.after(0.0, lambda: done.send("later"))
        self.assertEqual("later", done.wait(timeout=5.0))
