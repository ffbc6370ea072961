"""Merge the chunks of a streamed completion into one completion object."""

import json
import typing as t


def assemble_completion(
    chunks: t.Sequence[bytes], request_id: str, is_chat: bool
) -> bytes:
    """Return the response body of a completion that is not streamed.

    :param chunks: JSON texts of the streamed chunks, in order.
    :param request_id: identifier of the request.
    :param is_chat: whether it is a chat completion.
    """
    base: dict[str, t.Any] = {}
    choices: dict[int, dict[str, t.Any]] = {}
    usage = None
    for chunk in chunks:
        fields = json.loads(chunk)
        base = base or fields
        usage = fields.get("usage") or usage
        for choice in fields.get("choices", []):
            _merge_choice(choices, choice, is_chat)
    kind = "chat.completion" if is_chat else "text_completion"
    return json.dumps(
        {
            "id": request_id,
            "object": kind,
            "created": base.get("created", 0),
            "model": base.get("model", ""),
            "choices": [choices[index] for index in sorted(choices)],
            "usage": usage,
        }
    ).encode()


def is_usage_only(chunk: bytes) -> bool:
    """Return whether a chunk contains usage figures and no choice."""
    return b'"usage"' in chunk and not json.loads(chunk).get("choices")


def _merge_choice(
    choices: dict[int, dict[str, t.Any]], choice: dict[str, t.Any], is_chat: bool
) -> None:
    index = choice.get("index", 0)
    merged = choices.setdefault(index, {"index": index, "finish_reason": None})
    merged["finish_reason"] = choice.get("finish_reason") or merged["finish_reason"]
    if is_chat:
        message = merged.setdefault("message", {"role": "assistant", "content": ""})
        _merge_delta(message, choice.get("delta") or {})
    else:
        merged["text"] = merged.get("text", "") + choice.get("text", "")
    if choice.get("logprobs"):
        _merge_logprobs(merged, choice["logprobs"])


def _merge_delta(message: dict[str, t.Any], delta: dict[str, t.Any]) -> None:
    for name, value in delta.items():
        if name == "tool_calls":
            _merge_tool_calls(message, value)
        elif name == "role":
            message["role"] = value
        elif isinstance(value, str):
            message[name] = (message.get(name) or "") + value
        elif value is not None:
            message[name] = value


def _merge_tool_calls(message: dict[str, t.Any], deltas: list[dict]) -> None:
    calls = message.setdefault("tool_calls", [])
    for delta in deltas:
        index = delta.get("index", 0)
        while len(calls) <= index:
            calls.append({"type": "function", "function": {"arguments": ""}})
        call = calls[index]
        if delta.get("id"):
            call["id"] = delta["id"]
        function = delta.get("function") or {}
        if function.get("name"):
            call["function"]["name"] = function["name"]
        call["function"]["arguments"] += function.get("arguments") or ""


def _merge_logprobs(merged: dict[str, t.Any], logprobs: dict[str, t.Any]) -> None:
    merged_logprobs = merged.setdefault("logprobs", {})
    for name, values in logprobs.items():
        if isinstance(values, list):
            merged_logprobs.setdefault(name, []).extend(values)
