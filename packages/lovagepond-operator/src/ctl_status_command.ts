/**
 * `ctl status`: one line for each control member, from its state dump.
 */
import {type StateDump} from '@lovagepond/core';
import {formatTable} from './ctl_format_utils.js';
import {type CtlCall, type CtlCommand, type CtlOutput} from './ctl_types.js';

/** The fields of a control member's state dump that are shown. */
interface MemberState {
  readonly nodeName?: string;
  readonly consensus?: {
    readonly role?: string;
    readonly term?: number;
    readonly leaseValid?: boolean;
    readonly failure?: string;
  };
  readonly revision?: number;
  readonly backendServers?: number;
  readonly subscribers?: number;
}

async function showStatus(call: CtlCall): Promise<CtlOutput> {
  const dumps = await call.client.readAll('/v1/dump');
  const members = call.client.origins.map(origin => {
    const dump = dumps.get(origin) as StateDump | undefined;
    return {origin, state: dump?.state as MemberState | undefined};
  });
  const rows = members.map(({origin, state}) => [
    origin,
    state?.nodeName,
    state ? (state.consensus?.role ?? 'unknown') : 'no answer',
    state?.consensus?.leaseValid ? 'yes' : 'no',
    state?.consensus?.term,
    state?.revision,
    state?.backendServers,
    state?.subscribers,
    state?.consensus?.failure,
  ]);
  const headings = [
    'MEMBER',
    'NAME',
    'ROLE',
    'LEADS',
    'TERM',
    'REVISION',
    'SERVERS',
    'SUBSCRIBERS',
    'FAILURE',
  ];
  return {json: members, lines: formatTable(headings, rows)};
}

/** The `status` command. */
export const STATUS_COMMANDS: readonly CtlCommand[] = [
  {
    name: 'status',
    description: 'show role, term, revision and failure of each control member',
    example: 'status',
    run: showStatus,
  },
];
