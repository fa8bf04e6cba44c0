"""Random faults on nodes that serve from a pool, with checked callers."""
