import {readFileSync} from 'node:fs';
import {DEFAULT_GATEWAY_SETTINGS} from '@lovagepond/gateway';
import {checkSettings, parseSettings} from '@lovagepond/process';
import {describe, expect, it} from 'vitest';
import {GATEWAY_SCHEMA, toGatewaySettings} from '../../settings_gateway.js';

function check(
  line: string,
): ReturnType<typeof checkSettings<typeof GATEWAY_SCHEMA>> {
  const file = 'examples/roles/gateway.ini';
  const text = readFileSync(file, 'utf8').replace(/^;serverCapacity.*$/m, line);
  return checkSettings(parseSettings(file, text), GATEWAY_SCHEMA);
}

// A setting that is read but not passed on leaves the gateway as it was.
describe('serverCapacity', () => {
  it.each([
    ['serverCapacity = on', true],
    ['serverCapacity = off', false],
    ['', DEFAULT_GATEWAY_SETTINGS.serverCapacity],
  ])('%o reaches the gateway', (line, expected) => {
    const result = check(line);
    if (!result.ok) throw new Error(JSON.stringify(result.faults));
    const settings = toGatewaySettings(result.values);
    const {serverCapacity} = {...DEFAULT_GATEWAY_SETTINGS, ...settings};
    expect(serverCapacity).toBe(expected);
  });

  it('names a value that is neither on nor off', () => {
    expect(JSON.stringify(check('serverCapacity = fast'))).toContain(
      'serverCapacity',
    );
  });
});
