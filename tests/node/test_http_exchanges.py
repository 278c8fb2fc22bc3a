"""HTTP calls that wait for the node: the first response counts, and the wait is bounded."""

import trio

from yarrowloom.node.http_exchanges import EXCHANGE_MOST_S, HttpExchanges
from yarrowloom.transport.http_messages import Response


def test_a_call_gets_the_first_response_for_its_key() -> None:
    exchanges = HttpExchanges()
    first, second = exchanges.begin(now=0.0), exchanges.begin(now=0.0)
    for key, status in ((second, 202), (first, 200), (first, 500), (99, 500)):
        exchanges.respond(key=key, response=Response(status=status))

    async def statuses() -> list[int]:
        return [(await exchanges.response(key=key)).status for key in (first, second)]

    assert trio.run(statuses) == [200, 202]
    assert len(exchanges) == 0


def test_a_call_that_waited_too_long_gets_504_and_later_responses_are_dropped() -> None:
    exchanges = HttpExchanges()
    key = exchanges.begin(now=0.0)
    exchanges.expire(now=EXCHANGE_MOST_S)

    async def status() -> int:
        with trio.move_on_after(0):
            await exchanges.response(key=exchanges.begin(now=EXCHANGE_MOST_S))
            raise AssertionError("a call that is not due was ended")
        exchanges.expire(now=EXCHANGE_MOST_S + 0.1)
        return (await exchanges.response(key=key)).status

    assert trio.run(status) == 504
    exchanges.respond(key=key, response=Response(status=200))
    assert len(exchanges) == 0
