"""JSON bodies of callers' requests and of the answers to them."""

import json

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from poplarspar.coordination.streams import Prompt
from poplarspar.exceptions import InvalidRequest
from poplarspar.protocol.refusals import refusal_body
from poplarspar.state.refusals import Refusal
from poplarspar.state.status import EntryReport

ENTRY_REPORT = TypeAdapter(EntryReport)
MAX_KEY_LENGTH = 200
MAX_TOKENS = 100_000


class GenerateRequest(BaseModel):
    """Body of a request for generated text."""

    model_config = ConfigDict(extra="forbid", defer_build=True)

    prompt: str = Field(min_length=1)
    max_tokens: int = Field(default=256, ge=1, le=MAX_TOKENS)
    stream: bool = True

    def to_prompt(self) -> Prompt:
        """Return the coordination layer's form of the request."""
        return Prompt(self.prompt, self.max_tokens)


def parse_generate_request(body: bytes) -> GenerateRequest:
    """Validate a request for generated text; raises `InvalidRequest`."""
    return parse_json(GenerateRequest, body)


def parse_json(model: type[BaseModel], body: bytes) -> BaseModel:
    """Validate a JSON body against `model`; raises `InvalidRequest`."""
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        raise InvalidRequest(
            "; ".join(map(_describe_problem, error.errors()))
        ) from error


def check_idempotency_key(key: str) -> str:
    """Validate an idempotency key; raises `InvalidRequest`."""
    if len(key) > MAX_KEY_LENGTH:
        message = f"header Idempotency-Key: longer than {MAX_KEY_LENGTH} characters"
        raise InvalidRequest(message)
    return key


def text_event(text: str) -> bytes:
    """Return the server-sent event with a piece of text."""
    return b"data: " + json.dumps({"text": text}).encode() + b"\n\n"


def error_event(refusal: Refusal) -> bytes:
    """Return the server-sent event that ends a failed stream."""
    return b"event: error\ndata: " + refusal_body(refusal) + b"\n\n"


END_EVENT = b"data: [DONE]\n\n"


def text_body(text: str) -> bytes:
    """Return the JSON body of an answer that is not streamed."""
    return json.dumps({"text": text}).encode()


def _describe_problem(problem: dict) -> str:
    location = ".".join(str(part) for part in problem["loc"]) or "body"
    return f"{location}: {problem['msg']}"
