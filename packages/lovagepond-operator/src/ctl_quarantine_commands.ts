/**
 * `ctl` commands for requests and prompt parts during which backend servers
 * crashed.
 */
import {type SuspectView} from '@lovagepond/control';
import {OPERATION_OPTIONS, operationIdOf} from './ctl_change_utils.js';
import {formatTable} from './ctl_format_utils.js';
import {type CtlCall, type CtlCommand, type CtlOutput} from './ctl_types.js';

const PATH = '/v1/quarantine';
const MS_PER_SECOND = 1_000;

async function listQuarantine(call: CtlCall): Promise<CtlOutput> {
  const views = (await call.client.read(PATH)) as readonly SuspectView[];
  const rows = views.map(view => [
    view.request,
    view.crashes,
    Math.ceil(view.quarantinedForMs / MS_PER_SECOND),
    view.companions.join(' '),
  ]);
  const headings = ['REQUEST', 'CRASHES', 'QUARANTINED FOR (S)', 'ONLY WITH'];
  return {json: views, lines: formatTable(headings, rows)};
}

async function liftQuarantine(call: CtlCall): Promise<CtlOutput> {
  const request = call.args[0] ?? '';
  const operationId = operationIdOf(call);
  const path = `${PATH}/${encodeURIComponent(request)}/lift`;
  await call.client.change({method: 'POST', path, operationId});
  const lines = [`${request} may run again`];
  return {json: {request, operationId}, lines};
}

/** Commands for quarantined requests. */
export const QUARANTINE_COMMANDS: readonly CtlCommand[] = [
  {
    group: 'quarantine',
    name: 'list',
    description:
      'list the requests and prompt parts during which backend servers crashed',
    example: 'quarantine list',
    run: listQuarantine,
  },
  {
    group: 'quarantine',
    name: 'lift',
    args: '<request>',
    description: 'lift the quarantine and reset the crash count',
    options: OPERATION_OPTIONS,
    example: 'quarantine lift 1f6c0a5b9d2e47738a90c4be51f2d306',
    run: liftQuarantine,
  },
];
