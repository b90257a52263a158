/**
 * `ctl` commands for the evacuation of availability zones.
 */
import {type ZoneView} from '@lovagepond/control';
import {OPERATION_OPTIONS, operationIdOf} from './ctl_change_utils.js';
import {formatTable} from './ctl_format_utils.js';
import {type CtlCall, type CtlCommand, type CtlOutput} from './ctl_types.js';

const PATH = '/v1/zones';
const MS_PER_SECOND = 1_000;

async function listZones(call: CtlCall): Promise<CtlOutput> {
  const views = (await call.client.read(PATH)) as readonly ZoneView[];
  const rows = views.map(view => [
    view.zone,
    view.evacuated ? 'evacuated' : 'in service',
    Math.floor(view.evacuatedForMs / MS_PER_SECOND),
  ]);
  const headings = ['ZONE', 'STATE', 'EVACUATED FOR (S)'];
  return {json: views, lines: formatTable(headings, rows)};
}

function changeZone(action: string, done: string): CtlCommand['run'] {
  return async call => {
    const zone = call.args[0] ?? '';
    const operationId = operationIdOf(call);
    const path = `${PATH}/${encodeURIComponent(zone)}/${action}`;
    await call.client.change({method: 'POST', path, operationId});
    return {json: {zone, operationId}, lines: [`${zone} ${done}`]};
  };
}

/** Commands for availability zones. */
export const ZONE_COMMANDS: readonly CtlCommand[] = [
  {
    group: 'zones',
    name: 'list',
    description: 'list the availability zones, and which are evacuated',
    example: 'zones list',
    run: listZones,
  },
  {
    group: 'zones',
    name: 'evacuate',
    args: '<zone>',
    description: 'send no new requests to the backend servers of a zone',
    options: OPERATION_OPTIONS,
    example: 'zones evacuate muc-riem',
    run: changeZone('evacuate', 'is evacuated'),
  },
  {
    group: 'zones',
    name: 'resume',
    args: '<zone>',
    description: 'return an evacuated zone to service',
    options: OPERATION_OPTIONS,
    example: 'zones resume muc-riem',
    run: changeZone('resume', 'is in service'),
  },
];
