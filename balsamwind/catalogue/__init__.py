"""Memory of the store's objects; the newest version always wins."""

from balsamwind.catalogue._catalogue import Catalogue

__all__ = ['Catalogue']
