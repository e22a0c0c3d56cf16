from __future__ import annotations

import pytest

from bronzequay import codes, errors
from bronzequay.cfg import entry, settings
from bronzequay.cfg import flags as command_flags

REQUIRED = {"instance": "e1"}


def resolve(
    flags: dict[str, str | None] | None = None, environ: dict[str, str] | None = None
) -> dict[str, settings.ResolvedSetting]:
    return settings.resolve(entry.SETTINGS, flags=flags or REQUIRED, environ=environ or {})


def test_flags_override_the_environment_which_overrides_defaults() -> None:
    resolved = resolve(
        {**REQUIRED, "port": "1"}, {"BRONZEQUAY_PORT": "2", "BRONZEQUAY_HOST": "::1"}
    )
    assert (resolved["port"].value, resolved["port"].origin) == (1, settings.Origin.FLAG)
    assert (resolved["host"].value, resolved["host"].origin) == ("::1", settings.Origin.ENVIRONMENT)
    assert resolved["mesh_port"].origin is settings.Origin.DEFAULT


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
def test_an_invalid_setting_is_refused_with_its_code_and_variable(
    flags: dict[str, str | None], environ: dict[str, str], code: codes.ResultCode
) -> None:
    with pytest.raises(errors.BronzequayError) as caught:
        resolve(flags, environ)
    assert caught.value.code is code
    assert "BRONZEQUAY_" in str(caught.value)
    assert "\n" not in str(caught.value)


def test_a_secret_is_masked_and_has_no_flag() -> None:
    resolved = resolve(environ={"BRONZEQUAY_OPERATOR_TOKENS": "olga=operator:hush"})
    assert resolved["operator_tokens"].display_value == settings.MASK
    flags = command_flags.parse(entry.SETTINGS, program="p", description="d", argv=[])
    assert "operator_tokens" not in flags


def test_every_field_of_the_typed_settings_is_declared() -> None:
    values = {name: item.value for name, item in resolve().items()}
    assert entry.EntryCfg(**values).instance == "e1"
