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

// Two operators send versions 7 and 5 at the same time, and after a lost
// answer 7 comes once more with other content. The highest version stays as it
// was first sent, and each of them hears the version in force.
test('the highest version wins, as it was sent first', () => {
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

// A member catches up by a snapshot. What operators then read from it must be
// what they sent.
test('a snapshot keeps the document', () => {
  const machine = makeMachine();
  install(machine, 3, 'three');
  const restored = makeMachine();
  restored.restore(machine.snapshot());
  expect(restored.configuration.document?.source).toBe('three');
  expect(install(restored, 2, 'two')).toBe(3);
});
