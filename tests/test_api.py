"""Test the callers' API with the public OpenAI client and with plain HTTP."""

import json
import urllib.error
import urllib.request

import openai
import pytest
from prometheus_client.parser import text_string_to_metric_families

from snipedeal_standins.engine import response_text


@pytest.fixture
def client(small_fleet):
    url = small_fleet.fleet.router_urls[0]
    return openai.OpenAI(api_key="one-key", base_url=f"{url}/v1", max_retries=0)


def messages(text):
    return [{"role": "user", "content": text}]


def call(small_fleet, method, path, body=b"", key="one-key", router=0, **headers):
    """Send a request and return the status, headers and body of its answer."""
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    if key:
        sent["Authorization"] = f"Bearer {key}"
    request = urllib.request.Request(
        small_fleet.fleet.router_urls[router] + path,
        data=body if method != "GET" else None,
        headers=sent,
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=60) as answer:
            return answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


class TestOpenAiClient:
    def test_complete_answer(self, client):
        sent = messages("hello [tokens=12]")
        answer = client.chat.completions.create(model="model", messages=sent)
        assert answer.choices[0].message.content == response_text({"messages": sent})
        assert answer.choices[0].finish_reason == "stop"
        assert answer.usage.completion_tokens == 12

    def test_streamed_answer_with_usage(self, client):
        sent = messages("hello again [tokens=9]")
        stream = client.chat.completions.create(
            model="model",
            messages=sent,
            stream=True,
            stream_options={"include_usage": True},
        )
        parts = list(stream)
        text = "".join(p.choices[0].delta.content or "" for p in parts if p.choices)
        assert text == response_text({"messages": sent})
        assert parts[-1].usage.completion_tokens == 9

    def test_streamed_answer_without_usage(self, client):
        stream = client.chat.completions.create(
            model="model", messages=messages("x [tokens=3]"), stream=True
        )
        assert all(part.choices for part in stream)

    def test_completions(self, client):
        answer = client.completions.create(model="model", prompt="ask [tokens=4]")
        assert answer.choices[0].text == response_text({"prompt": "ask [tokens=4]"})

    def test_models(self, client):
        assert [model.id for model in client.models.list()] == ["model"]
        assert client.models.retrieve("model").owned_by == "snipedeal"

    @pytest.mark.parametrize(
        ("key", "model", "error"),
        [
            ("wrong", "model", openai.AuthenticationError),
            ("shut-out-key", "model", openai.PermissionDeniedError),
            ("one-key", "novel", openai.NotFoundError),
        ],
    )
    def test_typed_error_for_each_refusal(self, client, key, model, error):
        other = client.with_options(api_key=key)
        with pytest.raises(error) as caught:
            other.chat.completions.create(model=model, messages=messages("x"))
        assert "not_run" in str(caught.value)

    def test_model_name_that_is_not_a_string_is_refused(self, client):
        with pytest.raises(openai.BadRequestError):
            client.chat.completions.create(model=5, messages=messages("x"))


class TestRefusals:
    @pytest.mark.parametrize(
        ("method", "path", "body", "key", "headers", "status", "code"),
        [
            ("GET", "/plain/x", b"", "", {}, 401, "no_key"),
            ("GET", "/plain/x", b"", "wrong", {}, 401, "wrong_key"),
            ("GET", "/elsewhere", b"", "one-key", {}, 404, "unknown_service"),
            ("POST", "/plain/x", b"y" * 1_001, "one-key", {}, 413, "body_too_large"),
            ("POST", "/plain/x", b"", "one-key", {}, 400, "no_idempotency_key"),
            ("POST", "/v1/chat/completions", b"{", "one-key", {}, 400, "bad_json"),
            ("POST", "/v1/chat/completions", b"[]", "one-key", {}, 400, "bad_body"),
            (
                "GET",
                "/plain/x",
                b"",
                "one-key",
                {"X_Deadline_Ms": "soon"},
                400,
                "bad_deadline",
            ),
            ("DELETE", "/v1/models", b"", "one-key", {}, 405, "405_method_not_allowed"),
        ],
    )
    def test_problem_documents(
        self, small_fleet, method, path, body, key, headers, status, code
    ):
        got, answer_headers, text = call(
            small_fleet, method, path, body, key, **headers
        )
        problem = json.loads(text)
        assert got == status
        assert answer_headers["Content-Type"] == "application/problem+json"
        assert problem["type"] == f"urn:snipedeal:{code}"
        assert problem["ran"] == "not_run"
        assert problem["request_id"].startswith("req-")
        assert problem["step"]
        assert "Traceback" not in text.decode()


class TestPlainServices:
    def test_status_headers_and_body_are_forwarded_unchanged(self, small_fleet):
        status, headers, body = call(small_fleet, "GET", "/plain/a?b=c", X_Mark="m.1")
        assert status == 200
        assert headers["X-Run-Number"]
        assert json.loads(body)["path"] == "/plain/a"

    def test_repeat_through_another_router_gets_the_recorded_answer(self, small_fleet):
        first = call(small_fleet, "POST", "/plain/n", b"z", Idempotency_Key="api-1")
        again = call(
            small_fleet, "POST", "/plain/n", b"z", router=1, Idempotency_Key="api-1"
        )
        assert first[0] == again[0] == 201
        assert first[2] == again[2]
        assert again[1]["Idempotent-Replayed"] == "true"

    def test_key_with_another_content_is_refused(self, small_fleet):
        call(small_fleet, "POST", "/plain/n", b"z", Idempotency_Key="api-2")
        status, _, text = call(
            small_fleet, "POST", "/plain/n", b"other", Idempotency_Key="api-2"
        )
        assert status == 422
        assert json.loads(text)["type"] == "urn:snipedeal:key_reused"


class TestObservation:
    def test_metrics_are_valid_prometheus_text(self, small_fleet):
        call(small_fleet, "GET", "/plain/metrics")
        for name in ("router-0", "engine-0"):
            url = f"{small_fleet.fleet.url(name)}/metrics"
            with urllib.request.urlopen(url) as answer:
                text = answer.read().decode()
            families = {f.name: f for f in text_string_to_metric_families(text)}
            assert "snipedeal_peer_bytes" in families
            assert families["snipedeal_config_offset"].samples[0].value >= 0

    def test_health_and_readiness(self, small_fleet):
        for name in ("router-0", "engine-0", "plain-0"):
            for path in ("/healthz", "/readyz"):
                url = small_fleet.fleet.url(name) + path
                with urllib.request.urlopen(url) as answer:
                    assert answer.status == 200

    def test_request_id_finds_every_log_event_of_a_request(self, small_fleet):
        caller = small_fleet.caller()
        url = small_fleet.fleet.router_urls[0]
        record = small_fleet.run(caller.chat(url, "one", "model", 5))
        found = set()
        for path in small_fleet.fleet.directory.glob("*.log"):
            for line in path.read_text().splitlines():
                if record.request_id in line:
                    found.add(json.loads(line)["event"])
        assert {"request.accepted", "request.dispatched", "request.ended"} <= found
        assert {"attempt.started", "attempt.ended"} <= found


class TestCommands:
    def test_check_names_the_field(self, small_fleet, tmp_path):
        path = tmp_path / "bad.json"
        path.write_text(
            json.dumps(
                {
                    "schema_version": 1,
                    "kind": "customer",
                    "name": "x",
                    "spec": {"share": -1, "keys": []},
                }
            )
        )
        status, output = small_fleet.run(small_fleet.fleet.command("check", str(path)))
        assert status == 2
        assert "spec.share" in output
        assert "-1.0 is not in 0.001..1000000" in output

    def test_publish_without_base_on_an_existing_object_is_rejected(self, small_fleet):
        record = small_fleet.fleet.plan.records[-1]
        status, output = small_fleet.run(small_fleet.fleet.try_publish([record]))
        assert status == 1
        assert "rejected at offset" in output
        assert "is not the current" in output

    def test_status_shows_every_process(self, small_fleet):
        fleet = small_fleet.fleet
        status, output = small_fleet.run(
            fleet.command("status", "--vm-list-url", fleet.vm_list_url)
        )
        assert status == 0
        for name in ("router-0", "router-1", "engine-0", "engine-1", "plain-0"):
            assert name in output

    def test_timeline_is_one_ordered_file(self, small_fleet, tmp_path):
        fleet = small_fleet.fleet
        call(small_fleet, "GET", "/plain/line")
        out = tmp_path / "line.json"
        arguments = ("timeline", "--vm-list-url", fleet.vm_list_url, "--out", str(out))
        status, _ = small_fleet.run(fleet.command(*arguments))
        entries = json.loads(out.read_text())["traceEvents"]
        assert status == 0
        instants = [entry["ts"] for entry in entries if entry["ph"] == "i"]
        assert instants == sorted(instants)
        status, _ = small_fleet.run(fleet.command(*arguments, "--text"))
        assert "request.dispatched" in out.read_text()

    def test_bad_settings_exit_with_2(self, small_fleet, tmp_path):
        path = tmp_path / "router.json"
        path.write_text('{"node": 5}')
        status, output = small_fleet.run(small_fleet.fleet.command("router", str(path)))
        assert status == 2
        assert str(path) in output
