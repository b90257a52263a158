/**
 * Every role, with stand-ins for the backend servers, as one role.
 */
import {
  checkSettings,
  type FileSchema,
  type HostPort,
  type MetricsRegistry,
  SettingsError,
} from '@lovagepond/platform';
import {type Role} from '@lovagepond/core';
import {type RoleName} from './cli_constants.js';
import {createFake} from './command_fake.js';
import {ControlMember} from './control_member.js';
import {type NamedRole, RoleGroup} from './role_group.js';
import {loadRoleDefinition} from './role_loader.js';
import {type RoleParts} from './role_definition.js';
import {type MeteredRole, registerRoleMetrics} from './role_metrics.js';
import {
  makeStandaloneRoles,
  type PortPlan,
  STANDALONE_COUNTS,
  type StandaloneRole,
} from './standalone_settings.js';

/** The roles of one process, not started yet. */
export interface StandaloneFleet {
  readonly group: Role;
  readonly control: ControlMember;
}

const HOST = '127.0.0.1';

function makeFakes(plan: PortPlan): NamedRole[] {
  return plan.backends.map((port, index) => {
    const kind = index < STANDALONE_COUNTS.ENGINES ? 'engine' : 'service';
    const address: HostPort = {host: HOST, port};
    return {name: `fake-${kind}-${index + 1}`, role: createFake(kind, address)};
  });
}

async function makeRole(
  {role, parsed}: StandaloneRole,
  parts: RoleParts,
): Promise<Role> {
  const definition = await loadRoleDefinition(role);
  const schema: FileSchema = definition.schema;
  const check = checkSettings(parsed, schema);
  if (!check.ok) throw new SettingsError(check.faults);
  return definition.createRole(check.values, parts);
}

async function makeMembers(
  roles: readonly StandaloneRole[],
  parts: RoleParts,
): Promise<MeteredRole[]> {
  const members: MeteredRole[] = [];
  for (const entry of roles) {
    const role = await makeRole(entry, parts);
    const kind: RoleName = entry.role;
    members.push({kind, name: entry.parsed.file, role});
  }
  return members;
}

/**
 * @param plan which part listens on which port
 * @param dataFolder folder of the whole process
 * @param parts what the roles share
 * @param metrics where their metrics go
 * @returns the roles
 */
export async function makeStandaloneFleet(
  plan: PortPlan,
  dataFolder: string,
  parts: RoleParts,
  metrics: MetricsRegistry,
): Promise<StandaloneFleet> {
  const roles = makeStandaloneRoles(plan, dataFolder);
  const members = await makeMembers(roles, parts);
  registerRoleMetrics(metrics, members);
  const control = members.find(({role}) => role instanceof ControlMember);
  const group = new RoleGroup([...makeFakes(plan), ...members]);
  return {group, control: control?.role as ControlMember};
}
