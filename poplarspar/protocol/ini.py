"""Validation of INI files with pydantic models; reports every problem."""

import configparser
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError


class IniModel(BaseModel):
    """Base class of the models of INI sections; rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


@dataclass(frozen=True)
class ParsedSection:
    """The validated section, or the problems found in it."""

    model: BaseModel | None
    problems: list[str]


def read_ini(text: str, source: str) -> tuple[configparser.ConfigParser, list[str]]:
    """Parse INI text.

    Returns
    -------
    parser : ConfigParser
        The sections; none if the text has a syntax error.
    problems : list of str
        Syntax errors.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.optionxform = str
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return configparser.ConfigParser(), [" ".join(str(error).split())]
    return parser, []


def parse_section(
    parser: configparser.ConfigParser,
    section: str,
    model: type[BaseModel],
    source: str,
    **extra: Any,
) -> ParsedSection:
    """Validate a section against its model.

    Parameters
    ----------
    source : str
        Name of the file, used in messages.
    **extra
        Values that are not among the section's keys, such as its name.
    """
    values = {**dict(parser[section]), **extra}
    try:
        return ParsedSection(model.model_validate(values), [])
    except ValidationError as error:
        prefix = f"{source}: [{section}]"
        problems = [
            f"{prefix} {_describe_problem(problem, model)}"
            for problem in error.errors()
        ]
        return ParsedSection(None, problems)


def split_names(value: Any) -> Any:
    """Split a comma-separated text into names; return other values unchanged."""
    if not isinstance(value, str):
        return value
    return tuple(name.strip() for name in value.split(",") if name.strip())


def _describe_problem(problem: dict, model: type[BaseModel]) -> str:
    key = str(problem["loc"][0]) if problem["loc"] else "section"
    match problem["type"]:
        case "extra_forbidden":
            allowed = ", ".join(sorted(model.model_fields))
            return f"{key}: unknown key; allowed are {allowed}"
        case "missing":
            return f"{key}: missing"
        case _:
            message = problem["msg"].removeprefix("Value error, ")
            return f"{key}: {message}, got {problem['input']!r}"
