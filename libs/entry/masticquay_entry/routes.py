"""Lookup tables for the routes, keys and endpoints of one bundle."""

from masticquay_bundles import models
from masticquay_entry import refusals


class RouteTable:
    """Lookup tables of one bundle, by path, name and key digest."""

    def __init__(self, bundle: models.Bundle):
        self.bundle = bundle
        self.keys = {key.digest: key.workspace for key in bundle.keys}
        self.endpoints = {e.name: e for e in bundle.endpoints}
        self.models = {model.name: model for model in bundle.models}
        self.classes = {c.name: c for c in bundle.classes}
        self._exact: dict[str, list[models.Route]] = {}
        self._prefixes: list[models.Route] = []
        for route in bundle.routes:
            self._exact.setdefault(route.path, []).append(route)
            if route.path.endswith('/'):
                self._prefixes.append(route)
        self._prefixes.sort(key=lambda route: len(route.path), reverse=True)

    def match(self, method: str, path: str) -> list[models.Route]:
        """Returns the routes of the longest matching path for a method.

        A route whose path ends with a slash matches all paths below it.

        :raises Refusal: when there is none for the path and the method
        """
        found = self._exact.get(path) or self._match_prefix(path)
        if not found:
            raise refusals.Refusal(404, 'unknown-path', 'no such path')
        allowed = [route for route in found if method in route.methods]
        if not allowed:
            raise refusals.Refusal(
                405, 'wrong-method', f'{method} is not served here'
            )
        return allowed

    def _match_prefix(self, path: str) -> list[models.Route]:
        for route in self._prefixes:
            if path.startswith(route.path):
                return self._exact[route.path]
        return []

    def route_for_model(
        self, routes: list[models.Route], model: str
    ) -> models.Route:
        """Selects the route for a model among the routes of one path.

        A route for this model is preferred to one for any model.

        :raises Refusal: when no route serves the model
        """
        if model not in self.models:
            raise refusals.Refusal(
                404, 'model_not_found', 'no such model here'
            )
        for wanted in (model, ''):
            for route in routes:
                if route.model == wanted and not route.service:
                    return route
        raise refusals.Refusal(404, 'model_not_found', 'no such model here')
