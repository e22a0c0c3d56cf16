from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.cli import main, registry

if TYPE_CHECKING:
    import pytest


def run_command(argv: list[str], monkeypatch: pytest.MonkeyPatch) -> int:
    monkeypatch.setattr("sys.argv", ["bronzequay", *argv])
    try:
        main.main()
    except SystemExit as exc:
        return int(exc.code or 0)
    return 0


def test_importing_the_modules_registers_the_commands() -> None:
    main.load_commands()
    assert set(registry.command_names()) >= {"job submit", "bundle roll-out", "state", "settings"}


def test_an_unreachable_instance_is_reported_in_one_line_with_its_own_exit_code(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert (
        run_command(["state", "--url", "http://127.0.0.1:9"], monkeypatch) == main.EXIT_UNREACHABLE
    )
    stderr = capsys.readouterr().err
    assert stderr.startswith("bronzequay: 607 INSTANCE_UNREACHABLE")
    assert stderr.count("\n") == 1


def test_settings_are_shown_with_their_origin(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("BRONZEQUAY_PORT", "99")
    assert run_command(["settings"], monkeypatch) == 0
    line = next(row for row in capsys.readouterr().out.splitlines() if row.startswith("--port"))
    assert line.split() == ["--port", "BRONZEQUAY_PORT", "99", "environment"]


def test_an_invalid_bundle_file_is_reported_in_one_line(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    path = tmp_path_factory.mktemp("bundle") / "bad.toml"
    path.write_text("format = 7", encoding="utf-8")
    assert run_command(["bundle", "check", str(path)], monkeypatch) == main.EXIT_ERROR
    assert capsys.readouterr().err.startswith("bronzequay: 500 BUNDLE_INVALID")


def test_invalid_usage_exits_with_code_2(monkeypatch: pytest.MonkeyPatch) -> None:
    assert run_command(["job", "shwo"], monkeypatch) == 2
