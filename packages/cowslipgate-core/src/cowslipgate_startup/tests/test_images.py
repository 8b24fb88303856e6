"""Start-up images: what they serve, and what is imported without them."""

from collections.abc import Callable
import marshal
import pathlib
import subprocess
import sys

import pytest

_WRITE = """
import pathlib
import sys

import cowslipgate_startup as startup

def load():
    import cowslipgate_core
    import zmq

startup.write_image(pathlib.Path(sys.argv[1]), load)
"""

_USE = """
import pathlib
import sys

import cowslipgate_startup as startup

path = pathlib.Path(sys.argv[1])
compiled = []
if path.name != "none":
    startup.use_image(path)
sys.addaudithook(
    lambda event, arguments: event == "compile"
    and compiled.append(arguments[1])
)
import cowslipgate_core as core
import zmq

version = core.Resources(millicores=2)
generated = [name for name in compiled if "attrs generated" in str(name)]
print(repr(version), version == core.Resources(millicores=2), hash(version))
print(core.load_chart("job").initial, zmq.zmq_version_info())
print(core.__file__, core.__path__, zmq.backend.__name__)
print(len(generated), core.__spec__.loader.__class__.__name__)
"""


def _run(program: str, path: pathlib.Path) -> list[str]:
    done = subprocess.run(
        [sys.executable, "-c", program, str(path)],
        capture_output=True,
        text=True,
        env={"PYTHONHASHSEED": "random"},
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.splitlines()


@pytest.fixture(name="image")
def _image(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / "core.image"
    _run(_WRITE, path)
    return path


def _find_loader(path: pathlib.Path) -> str:
    """Return the kind of loader that a program with an image uses."""
    *_, last = _run(_USE, path)
    return last.split()[1]


def test_program_from_an_image_behaves_alike_and_compiles_nothing(
    image: pathlib.Path,
) -> None:
    *expected, without = _run(_USE, image.with_name("none"))
    *seen, with_image = _run(_USE, image)
    assert int(without.split()[0]) > 50
    assert with_image.split() == ["0", "_ImageLoader"]
    # Hashes of texts, and so of records, differ from process to process.
    assert seen[1:] == expected[1:]
    assert seen[0].rpartition(" ")[0] == expected[0].rpartition(" ")[0]


@pytest.mark.parametrize(
    "content",
    [
        pytest.param(lambda whole: whole[: len(whole) // 2], id="cut"),
        pytest.param(lambda whole: b"", id="empty"),
        pytest.param(lambda whole: marshal.dumps(7), id="a number"),
        pytest.param(
            lambda whole: marshal.dumps(
                (("other", "interpreter", ""), *marshal.loads(whole)[1:])
            ),
            id="other interpreter",
        ),
    ],
)
def test_image_that_cannot_be_used_is_passed_over(
    content: Callable[[bytes], bytes], image: pathlib.Path
) -> None:
    image.write_bytes(content(image.read_bytes()))
    assert _find_loader(image) == "SourceFileLoader"


def test_moved_image_is_passed_over(image: pathlib.Path) -> None:
    moved = image.rename(image.with_name("moved.image"))
    assert _find_loader(moved) == "SourceFileLoader"


def test_missing_image_is_passed_over(tmp_path: pathlib.Path) -> None:
    assert _find_loader(tmp_path / "missing.image") == "SourceFileLoader"
