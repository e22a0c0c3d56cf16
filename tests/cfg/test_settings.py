from __future__ import annotations

import pytest

from bronzequay import codes, errors
from bronzequay.cfg import entry, settings
from bronzequay.cfg import flags as command_flags

REQUIRED = {"instance": "e1"}


def resolve(
    flags: dict[str, str | None] | None = None, environ: dict[str, str] | None = None
) -> dict[str, settings.Resolved]:
    return settings.resolve(entry.DECLARED, flags=flags or REQUIRED, environ=environ or {})


def test_a_flag_goes_before_the_environment_and_the_environment_before_the_default() -> None:
    found = resolve({**REQUIRED, "port": "1"}, {"BRONZEQUAY_PORT": "2", "BRONZEQUAY_HOST": "::1"})
    assert (found["port"].value, found["port"].origin) == (1, settings.Origin.FLAG)
    assert (found["host"].value, found["host"].origin) == ("::1", settings.Origin.ENVIRONMENT)
    assert found["mesh_port"].origin is settings.Origin.DEFAULT


@pytest.mark.parametrize(
    ("flags", "environ", "code"),
    [
        ({"instance": None}, {}, codes.ResultCode.SETTING_MISSING),
        ({**REQUIRED, "port": "70000"}, {}, codes.ResultCode.SETTING_INVALID),
        ({**REQUIRED, "port": "ten"}, {}, codes.ResultCode.SETTING_INVALID),
        ({**REQUIRED, "discovery_s": "nan"}, {}, codes.ResultCode.SETTING_INVALID),
        ({**REQUIRED, "platform_url": "store"}, {}, codes.ResultCode.SETTING_INVALID),
        (REQUIRED, {"BRONZEQUAY_PROT": "1"}, codes.ResultCode.SETTING_UNKNOWN),
    ],
)
def test_a_bad_setting_ends_with_its_code_and_place(
    flags: dict[str, str | None], environ: dict[str, str], code: codes.ResultCode
) -> None:
    with pytest.raises(errors.BronzequayError) as caught:
        resolve(flags, environ)
    assert caught.value.code is code
    assert "BRONZEQUAY_" in str(caught.value)
    assert "\n" not in str(caught.value)


def test_a_secret_is_never_shown_and_has_no_flag() -> None:
    found = resolve(environ={"BRONZEQUAY_OPERATOR_TOKENS": "olga=operator:hush"})
    assert found["operator_tokens"].shown == settings.MASK
    flags = command_flags.parse(entry.DECLARED, program="p", description="d", argv=[])
    assert "operator_tokens" not in flags


def test_every_field_of_the_typed_settings_is_declared() -> None:
    values = {name: item.value for name, item in resolve().items()}
    assert entry.EntryCfg(**values).instance == "e1"
