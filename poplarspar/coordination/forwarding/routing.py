"""Finding the route of a request and the workspace of its key."""

import random
from dataclasses import dataclass

from expression import Error, Ok, Result

from poplarspar.state.callers import CallerRequest
from poplarspar.state.refusals import Reason, Refusal
from poplarspar.state.serving import (
    ServiceRoute,
    ServiceSpec,
    ServingConfiguration,
    WeightedService,
)


@dataclass(frozen=True)
class RoutedRequest:
    """A request with all that the configuration says of it.

    Attributes
    ----------
    urgency : int
        Rank of the workspace, or else of the route; 0 first.
    ends_at : float
        Monotonic time at which the caller is to have its answer.
    """

    request: CallerRequest
    route: ServiceRoute
    service: ServiceSpec
    workspace: str
    urgency: int
    deadline: float


def route_request(
    configuration: ServingConfiguration | None, request: CallerRequest
) -> Result[RoutedRequest, Refusal]:
    """Look up the route, the key and the service of a request."""
    if configuration is None:
        return Error(Refusal(Reason.STALE, "no configuration is known yet"))
    route = configuration.find_route(request.host, request.path)
    if route is None:
        return Error(Refusal(Reason.NOT_FOUND, "no route for this host and path"))
    holder = configuration.holder_by_key.get(request.api_key)
    if configuration.keys_required and not route.public and holder is None:
        return Error(Refusal(Reason.UNAUTHORIZED, "the key is not known"))
    service = configuration.services_by_name.get(_pick(route.services))
    if service is None:
        return Error(Refusal(Reason.NO_BACKEND, "the route's service is not known"))
    patience_s = route.timeout_s
    if request.timeout_s is not None:
        patience_s = min(patience_s, request.timeout_s)
    urgency = route.priority
    if holder is not None and holder.priority is not None:
        urgency = holder.priority
    return Ok(
        RoutedRequest(
            request=request,
            route=route,
            service=service,
            workspace=holder.workspace if holder else "",
            urgency=urgency,
            deadline=request.arrived_at + patience_s,
        )
    )


def _pick(services: tuple[WeightedService, ...]) -> str:
    if len(services) == 1:
        return services[0].service
    weights = [part.weight for part in services]
    if sum(weights) <= 0:
        return services[0].service
    return random.choices(services, weights)[0].service
