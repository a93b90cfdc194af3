"""Example settings are valid and state what the deployments require."""

import pathlib

import pytest

from foxtaildale import options
from foxtaildale import settings
from foxtaildale import values

_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'
_PRESETS = ('ordinary', 'peak', 'maintenance')


def _example_files(pattern: str) -> list[pathlib.Path]:
    return sorted(_EXAMPLES.glob(pattern))


def _preset(deployment: str, name: str) -> values.Preset:
    path = _EXAMPLES / deployment / f'{name}.json5'
    return settings.parse_preset(path.read_text(encoding='utf-8'), path.name)


@pytest.mark.parametrize(
    'path', _example_files('*/vm-*.json5'), ids=lambda p: p.name
)
def test_daemon_settings_match_their_file_names(path: pathlib.Path) -> None:
    cfg = settings.parse_options(path.read_text(encoding='utf-8'), path.name)
    assert isinstance(cfg, options.Options)
    assert path.stem == f'{cfg.entry_vm}-{cfg.role}'


@pytest.mark.parametrize('deployment', ['eisbrecher', 'sahakorn'])
def test_entry_and_keeper_settings_of_a_vm_agree(deployment: str) -> None:
    """An entry with a wrong keeper address receives no configuration."""
    entry, keeper = (
        settings.parse_options(path.read_text(encoding='utf-8'), path.name)
        for path in _example_files(f'{deployment}/vm-*.json5')
    )
    assert (entry.role, keeper.role) == ('entry', 'keeper')
    assert entry.keeper == keeper.peer_address
    assert entry.secret == keeper.secret
    assert entry.platform == keeper.platform


@pytest.mark.parametrize('name', _PRESETS)
def test_presets_of_eisbrecher(name: str) -> None:
    preset = _preset('eisbrecher', name)
    assert preset.name == name
    reader, queue = preset.services['enteis-llm'], preset.services['queue-app']
    assert (reader.kind, reader.once) == ('model', 'none')
    assert reader.first_answer_ms and reader.between_tokens_ms
    assert queue.kind == 'plain'
    assert preset.weights.goodput > preset.weights.wasted_prefill


@pytest.mark.parametrize('name', _PRESETS)
def test_presets_of_sahakorn(name: str) -> None:
    preset = _preset('sahakorn', name)
    assert preset.name == name
    reader = preset.services['patrol-reader']
    desk = preset.services['dispatch-desk']
    assert (reader.kind, reader.once) == ('model', 'claim')
    assert not reader.first_answer_ms and not reader.between_tokens_ms
    assert reader.patience_ms >= 3_600_000
    assert (desk.kind, desk.once, desk.priority) == ('plain', 'ticket', 0)
    assert preset.weights.goodput < preset.weights.wasted_prefill
