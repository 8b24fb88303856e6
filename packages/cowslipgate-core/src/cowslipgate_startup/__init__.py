"""What the binaries do before they import anything else.

A package of its own, since importing a module of the other packages loads
the libraries that are to be kept out of memory.
"""

from cowslipgate_startup import _lean_imports

exclude_unused = _lean_imports.exclude_unused
forget_sources = _lean_imports.forget_sources
UnusedModule = _lean_imports.UnusedModule
