"""Load settings of any class from JSON files.

Kept apart from ``snipedeal.settings``, whose classes the direct router does not use.
"""

import pathlib
import typing as t

from snipedeal.checking import CheckError
from snipedeal.checking import structure
from snipedeal.decoding import parse_json
from snipedeal.exceptions import SettingsError
from snipedeal.exceptions import UnreadableError

_T = t.TypeVar("_T")


def load_settings(path: str, cls: type[_T]) -> _T:
    """Load settings from a JSON file.

    :param path: path of the file.
    :param cls: the settings class.
    :raises SettingsError: the file can't be read or a setting is invalid. The
        message names the file, the key and the allowed values.
    """
    try:
        data = parse_json(pathlib.Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}", "settings") from error
    except UnreadableError as error:
        raise SettingsError(f"{path}: {error.message}", "settings") from error
    try:
        return structure(data, cls)
    except CheckError as error:
        lines = "; ".join(str(item) for item in error.invalid_fields)
        raise SettingsError(f"{path}: {lines}", "settings") from error
