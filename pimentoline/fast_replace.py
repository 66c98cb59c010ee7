"""pimentoline.fast_replace: a faster `dataclasses.replace` for frozen data classes."""

from dataclasses import fields

__all__ = ["replace"]

_COPIERS = {}


def _make_copier(cls):
    """Generate a copying function for a class, as `dataclasses` generates `__init__`.

    `dataclasses.replace` inspects every field each time, which would take half of the
    CPU time that a node spends on a call. Assigning to the slots directly takes a fifth
    of the time of `dataclasses.replace`.

    For a class with the fields `a` and `b`, the generated function is::

        def copy(obj, changes):
            new = make(cls)
            set_a(new, obj.a)
            set_b(new, obj.b)
            for name in changes:
                setters[name](new, changes[name])
            return new

    `make` is `object.__new__`, which does not call `__init__`.
    """
    names = [field.name for field in fields(cls)]
    # A frozen class rejects `obj.name = value`, but not the setter of the slot.
    setters = {name: getattr(cls, name).__set__ for name in names}
    scope = {f"set_{name}": setter for name, setter in setters.items()}
    lines = [f"    set_{name}(new, obj.{name})" for name in names]
    source = "def copy(obj, changes):\n    new = make(cls)\n" + "\n".join(lines)
    source += "\n    for name in changes:\n        setters[name](new, changes[name])"
    scope |= {"make": object.__new__, "cls": cls, "setters": setters}
    exec(source + "\n    return new", scope)
    return scope["copy"]


def replace(obj, **changes):
    """Return a copy of a slotted frozen data class with some fields changed.

    Unlike `dataclasses.replace`, this does not call `__post_init__`.

    Raises
    ------
    KeyError
        If the class has no such field.
    """
    cls = obj.__class__
    copier = _COPIERS.get(cls)
    if copier is None:
        copier = _COPIERS[cls] = _make_copier(cls)
    return copier(obj, changes)
