from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.cli import main, registry

if TYPE_CHECKING:
    import pytest


def run(argv: list[str], monkeypatch: pytest.MonkeyPatch) -> int:
    monkeypatch.setattr("sys.argv", ["bronzequay", *argv])
    try:
        main.main()
    except SystemExit as exc:
        return int(exc.code or 0)
    return 0


def test_every_command_file_registers_a_command() -> None:
    main.load_commands()
    assert set(registry.names()) >= {"job submit", "bundle roll-out", "state", "settings"}


def test_an_unreachable_instance_ends_as_one_line_with_its_own_exit_code(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["state", "--url", "http://127.0.0.1:9"], monkeypatch) == main.EXIT_UNREACHABLE
    shown = capsys.readouterr().err
    assert shown.startswith("bronzequay: 607 INSTANCE_UNREACHABLE")
    assert shown.count("\n") == 1


def test_settings_show_their_origin(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("BRONZEQUAY_PORT", "99")
    assert run(["settings"], monkeypatch) == 0
    line = next(row for row in capsys.readouterr().out.splitlines() if row.startswith("--port"))
    assert line.split() == ["--port", "BRONZEQUAY_PORT", "99", "environment"]


def test_a_bad_bundle_file_ends_as_one_line(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    path = tmp_path_factory.mktemp("bundle") / "bad.toml"
    path.write_text("format = 7", encoding="utf-8")
    assert run(["bundle", "check", str(path)], monkeypatch) == main.EXIT_ERROR
    assert capsys.readouterr().err.startswith("bronzequay: 500 BUNDLE_INVALID")


def test_wrong_usage_ends_with_exit_code_2(monkeypatch: pytest.MonkeyPatch) -> None:
    assert run(["job", "shwo"], monkeypatch) == 2
