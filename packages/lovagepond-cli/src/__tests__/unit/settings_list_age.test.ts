import {readFileSync} from 'node:fs';
import {CONTROL_DEFAULTS} from '@lovagepond/control';
import {type GatewaySettings} from '@lovagepond/gateway';
import {checkSettings, parseSettings} from '@lovagepond/process';
import {describe, expect, it} from 'vitest';
import {CONTROL_SCHEMA, toControlSettings} from '../../settings_control.js';
import {GATEWAY_SCHEMA, toGatewaySettings} from '../../settings_gateway.js';

/** @returns the settings of an example with the commented lines set */
function setLines(
  file: string,
  lines: Readonly<Record<string, string>>,
): string {
  let text = readFileSync(file, 'utf8');
  for (const [key, value] of Object.entries(lines)) {
    text = text.replace(new RegExp(`^;${key} = .*$`, 'm'), `${key} = ${value}`);
  }
  return text;
}

function controlWith(
  lines: Readonly<Record<string, string>>,
): typeof CONTROL_DEFAULTS {
  const text = setLines('examples/roles/control.ini', lines);
  const check = checkSettings(parseSettings('control', text), CONTROL_SCHEMA);
  if (!check.ok) throw new Error(JSON.stringify(check.faults));
  return {...CONTROL_DEFAULTS, ...toControlSettings(check.values)} as never;
}

function gatewayWith(
  lines: Readonly<Record<string, string>>,
): Partial<GatewaySettings> {
  const text = setLines('examples/roles/gateway.ini', lines);
  const check = checkSettings(parseSettings('gateway', text), GATEWAY_SCHEMA);
  if (!check.ok) throw new Error(JSON.stringify(check.faults));
  return toGatewaySettings(check.values);
}

// Guards against lists of servers that routers act on for longer than a server
// that leaves serves.
describe('the limits on the age of the list of servers', () => {
  it.each([
    [{}, 2_500, 1_000],
    [{drainTimeout: '2s'}, 1_200, 400],
    [{drainTimeout: '1999.5ms'}, 1_199.7, 399.9],
    [{drainTimeout: '2s', heartbeatInterval: '300ms'}, 1_200, 300],
    [{drainTimeout: '2s', leaderContactLimit: '900ms'}, 900, 300],
    [{drainTimeout: '2s', leaderContactLimit: '3s'}, 1_200, 400],
    [{drainTimeout: '30s'}, 2_500, 2_500 / 3],
    [{drainTimeout: '10ms'}, 500, 500 / 3],
  ])('of control follow from %j', (lines, limitMs, heartbeatMs) => {
    const {leaderContactLimitMs, heartbeatIntervalMs} = controlWith(lines);
    expect(leaderContactLimitMs).toBeCloseTo(limitMs, 1);
    expect(heartbeatIntervalMs).toBeCloseTo(heartbeatMs, 1);
  });

  it.each([
    [{}, 1_200],
    [{drainTimeout: '4s'}, 1_500],
    [{drainTimeout: '4s', silentAfter: '3s'}, 2_400],
    [{drainTimeout: '1s'}, 600],
    [{drainTimeout: '2s', silentAfter: '3s'}, 1_200],
    [{drainTimeout: '2s', silentAfter: '700ms'}, 700],
  ])('of a gateway follow from %j', (lines, limitMs) => {
    const {controlSilentAfterMs} = gatewayWith(lines);
    expect(controlSilentAfterMs).toBeCloseTo(limitMs, 1);
  });
});
