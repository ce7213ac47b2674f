"""Re-exports of packages whose modules are imported at the first use of a name.

A restarted node serves sooner if it imports only the modules that it runs.
"""

from collections.abc import Callable
from importlib import import_module


def lazy_exports(
    package: str, names_by_module: dict[str, tuple[str, ...]]
) -> tuple[list[str], Callable[[str], object]]:
    """Return `__all__` and `__getattr__` of a package.

    Parameters
    ----------
    package : str
        Name of the package.
    names_by_module : dict of str to tuple of str
        Names to re-export, by the module of the package that defines them.

    Returns
    -------
    exported : list of str
        All names, sorted.
    get_attribute : callable
        Returns the object with a name; raises `AttributeError` for other names.
    """
    module_by_name = {
        name: module for module, names in names_by_module.items() for name in names
    }

    def get_attribute(name: str) -> object:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{module}"), name)

    return sorted(module_by_name), get_attribute
