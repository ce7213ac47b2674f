"""Reading INI files against pydantic models, with every problem listed."""

import configparser
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError


class IniModel(BaseModel):
    """Base of the models of INI sections; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


@dataclass(frozen=True)
class ParsedSection:
    """One section's model, or the problems that it has."""

    model: BaseModel | None
    problems: list[str]


def read_ini(text: str, source: str) -> tuple[configparser.ConfigParser, list[str]]:
    """Parse INI text.

    Returns
    -------
    parser : ConfigParser
        The sections, none of them when the text cannot be parsed.
    problems : list of str
        What is wrong with the syntax.
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
    """Check one section against its model.

    Parameters
    ----------
    source : str
        Name of the file, for messages.
    **extra
        Values that do not come from the section's keys, such as its name.
    """
    values = {**dict(parser[section]), **extra}
    try:
        return ParsedSection(model.model_validate(values), [])
    except ValidationError as error:
        prefix = f"{source}: [{section}]"
        problems = [
            f"{prefix} {_describe_problem(item, model)}" for item in error.errors()
        ]
        return ParsedSection(None, problems)


def split_names(value: Any) -> Any:
    """Turn a comma-separated text into a tuple of names."""
    if not isinstance(value, str):
        return value
    return tuple(name.strip() for name in value.split(",") if name.strip())


def _describe_problem(item: dict, model: type[BaseModel]) -> str:
    key = str(item["loc"][0]) if item["loc"] else "section"
    match item["type"]:
        case "extra_forbidden":
            allowed = ", ".join(sorted(model.model_fields))
            return f"{key}: unknown key; allowed are {allowed}"
        case "missing":
            return f"{key}: missing"
        case _:
            message = item["msg"].removeprefix("Value error, ")
            return f"{key}: {message}, got {item['input']!r}"
