"""Start-up images: one file with all code that a program imports.

Most of a program's start is spent on finding and reading some 350 modules and
on compiling the methods that attrs generates. A build imports the program
once and stores the code; a start takes it from there. Whatever an image lacks
is imported as usual.
"""

import builtins
from collections.abc import Callable, Sequence
import importlib.machinery
import marshal
import pathlib
import sys
import types

_GENERATOR = "attr._make"
"""Module that compiles generated methods."""

_Loader = importlib.machinery.SourceFileLoader
_ExtensionLoader = importlib.machinery.ExtensionFileLoader


class Image:
    """Finds modules and generated code of one program.

    Each is kept until its first use.
    """

    def __init__(self) -> None:
        # Code and path of the source, by the name of the module.
        self._modules: dict[str, tuple[bytes, str]] = {}
        # Path of the shared library, by the name of the module.
        self._extensions: dict[str, str] = {}
        # Code by file name and source text.
        self._generated: dict[tuple[str, str], bytes] = {}

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None = None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Return how to load a module of the image, or None."""
        if name in self._modules:
            source = self._modules[name][1]
            return _make_spec(name, _ImageLoader(name, source, self))
        if name in self._extensions:
            library = self._extensions.pop(name)
            return _make_spec(name, _ExtensionLoader(name, library))
        return None

    def take_code(self, name: str) -> types.CodeType | None:
        """Return a module's code at its first use, later None."""
        stored = self._modules.pop(name, None)
        return None if stored is None else marshal.loads(stored[0])

    def compile(self, source: str, filename: str, mode: str) -> types.CodeType:
        """Return the stored code of a source text, or compile it."""
        code = self._generated.pop((filename, source), None)
        if code is None:
            return builtins.compile(source, filename, mode)
        return marshal.loads(code)

    def load(self, path: pathlib.Path) -> None:
        """Read an image file.

        An image of another interpreter, one that was moved and a damaged one
        are passed over.

        :raises OSError: when the file cannot be read
        """
        try:
            tag, *parts = marshal.loads(path.read_bytes())
        except (EOFError, TypeError, ValueError):
            return
        if tag == _make_tag(path):
            self._modules, self._extensions, self._generated = parts


class _ImageLoader(_Loader):
    """Loads a module with code from an image."""

    def __init__(self, name: str, path: str, image: Image) -> None:
        super().__init__(name, path)
        self._image = image

    def get_code(self, fullname: str) -> types.CodeType | None:
        """Return the code from the image or, without it, from the file."""
        code = self._image.take_code(fullname)
        return super().get_code(fullname) if code is None else code

    def exec_module(self, module: types.ModuleType) -> None:
        """Execute the module."""
        if module.__name__ == _GENERATOR:
            module.compile = self._image.compile
            module.hash = _hash_text
        super().exec_module(module)


class _Recorder(Image):
    """Records the code that is generated during an import."""

    def __init__(self) -> None:
        super().__init__()
        self.generated: dict[tuple[str, str], bytes] = {}

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None = None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Return how to load the module that generates code, or None."""
        if name != _GENERATOR:
            return None
        spec = importlib.machinery.PathFinder.find_spec(name, path)
        return _make_spec(name, _ImageLoader(name, spec.origin, self))

    def compile(self, source: str, filename: str, mode: str) -> types.CodeType:
        """Compile a source text and keep the code."""
        code = builtins.compile(source, filename, mode)
        self.generated[filename, source] = marshal.dumps(code)
        return code


def use_image(path: pathlib.Path) -> None:
    """Take modules from an image from now on, if there is one.

    :param path: file that ``write_image`` wrote
    """
    image = Image()
    try:
        image.load(path)
    except OSError:
        return
    sys.meta_path.insert(0, image)


def write_image(path: pathlib.Path, load: Callable[[], None]) -> None:
    """Write an image of all that is imported by a function.

    :param load: imports the program, of which nothing is imported yet
    :raises OSError: when the file cannot be written
    """
    earlier = set(sys.modules)
    recorder = _Recorder()
    sys.meta_path.insert(0, recorder)
    try:
        load()
    finally:
        sys.meta_path.remove(recorder)
    modules = {}
    extensions = {}
    for name in sorted(set(sys.modules) - earlier):
        loader = getattr(sys.modules[name], "__loader__", None)
        if isinstance(loader, _ExtensionLoader):
            extensions[name] = loader.path
        elif isinstance(loader, _Loader):
            code = marshal.dumps(loader.get_code(name))
            modules[name] = code, loader.path
    content = _make_tag(path), modules, extensions, recorder.generated
    path.write_bytes(marshal.dumps(content))


def _make_spec(
    name: str, loader: _Loader | _ExtensionLoader
) -> importlib.machinery.ModuleSpec:
    package = loader.is_package(name)
    spec = importlib.machinery.ModuleSpec(
        name, loader, origin=loader.path, is_package=package
    )
    spec.has_location = True
    # Importlib would derive it from the path.
    spec.cached = loader.path
    if package:
        folder = loader.path.rpartition("/")[0]
        spec.submodule_search_locations.append(folder)
    return spec


def _hash_text(text: str) -> int:
    # The built-in hash of a text differs from process to process, and attrs
    # puts it into generated code.
    return hash(int.from_bytes(text.encode()))


def _make_tag(path: pathlib.Path) -> tuple[str, str, str]:
    # The code of the standard library belongs to one interpreter, and modules
    # look for their data beside the path of their source.
    return sys.version, sys.base_prefix, str(path.absolute())
