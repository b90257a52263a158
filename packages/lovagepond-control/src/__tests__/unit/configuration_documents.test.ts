import {configurationSchema} from '@lovagepond/core';
import {expect, test} from 'vitest';
import {CONTROL_DEFAULTS} from '../../control_settings.js';
import {
  decodeResult,
  encodeCommand,
  INSTALL_COMMAND,
} from '../../control_commands.js';
import {ControlStateMachine} from '../../control_state_machine.js';

const content = configurationSchema.parse({});

function install(
  machine: ControlStateMachine,
  version: number,
  source: string,
): number {
  const stamp = {timeMs: 0, wallTimeMs: 0, term: 1};
  const payload = {version, content, source};
  const command = encodeCommand(INSTALL_COMMAND, payload, stamp);
  const result = machine.apply(command, 1);
  return decodeResult<{version: number}>(result).version;
}

function makeMachine(): ControlStateMachine {
  return new ControlStateMachine(CONTROL_DEFAULTS, () => 0);
}

// Guards against an older or changed document replacing the highest version.
// Versions 7 and 5 arrive concurrently, then version 7 again with other
// content. Every answer names the version in force.
test('the highest version wins, with the content installed first', () => {
  const machine = makeMachine();
  expect(install(machine, 7, 'seven')).toBe(7);
  expect(install(machine, 5, 'five')).toBe(7);
  expect(install(machine, 7, 'other')).toBe(7);
  const {document, current} = machine.configuration;
  expect(document).toEqual({version: 7, source: 'seven'});
  expect(current.read()).toMatchObject({
    revision: 1,
    content: {documentVersion: 7},
  });
});

// Guards against a member that restores a snapshot and then returns another
// document than the operators installed.
test('a snapshot preserves the document', () => {
  const machine = makeMachine();
  install(machine, 3, 'three');
  const restored = makeMachine();
  restored.restore(machine.snapshot());
  expect(restored.configuration.document?.source).toBe('three');
  expect(install(restored, 2, 'two')).toBe(3);
});
