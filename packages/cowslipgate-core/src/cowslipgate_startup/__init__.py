"""Preparation of the programs' imports, to be run before any other import.

This is a separate package, because importing any module of the other packages
loads the libraries that are to be excluded.
"""

from cowslipgate_startup import _images
from cowslipgate_startup import _lean_imports

exclude_unused = _lean_imports.exclude_unused
clear_generated_sources = _lean_imports.clear_generated_sources
UnusedModule = _lean_imports.UnusedModule
use_image = _images.use_image
write_image = _images.write_image
