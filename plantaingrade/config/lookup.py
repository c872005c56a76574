"""Find the route of a request, and the service that takes its turn."""

from plantaingrade.config.entity import Route, RoutingConfig

SLASH = '/'


class RouteTable:
    """Routes of one configuration, by host and prefix.

    Prefixes begin and end with a slash, so a lookup cuts the path at each
    slash from its end; its cost grows with the depth of the path and not with
    the number of routes.
    """

    __slots__ = ('_route_by_place', '_turns_by_route')

    def __init__(self, config: RoutingConfig) -> None:
        """Index the routes of a configuration."""
        self._route_by_place = {
            (route.host, route.prefix): route for route in config.routes
        }
        self._turns_by_route: dict[str, ShareTurns] = {}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        end = len(path)
        while end > 0:
            end = path.rfind(SLASH, 0, end)
            if end < 0:
                return None
            route = self._route_by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def next_service(self, route: Route) -> str:
        """Return the service that the next request of a route goes to."""
        if len(route.shares) == 1:
            return route.shares[0].service
        turns = self._turns_by_route.get(route.name)
        if turns is None:
            turns = ShareTurns(route)
            self._turns_by_route[route.name] = turns
        return turns.next_service()


class ShareTurns:
    """Smooth weighted round robin over the services of one route.

    Counting turns keeps each share within one request of its weight, where
    random choices stray by the square root of the number of requests.
    """

    __slots__ = ('_credit_by_service', '_shares', '_total')

    def __init__(self, route: Route) -> None:
        """Start with no turn taken."""
        self._shares = route.shares
        self._total = sum(share.weight for share in route.shares)
        self._credit_by_service = {share.service: 0.0 for share in route.shares}

    def next_service(self) -> str:
        """Return the service whose turn it is."""
        credits = self._credit_by_service
        for share in self._shares:
            credits[share.service] += share.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= self._total
        return chosen
