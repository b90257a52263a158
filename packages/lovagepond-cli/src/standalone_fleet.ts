/**
 * Creates every role of a set, with fake backend servers, as one role.
 */
import {type Role} from '@lovagepond/core';
import {
  checkSettings,
  type FileSchema,
  type HostPort,
  type ParsedSettings,
  parseHostPort,
  SettingsError,
} from '@lovagepond/process';
import {checkParsedSettings} from './check_settings_files.js';
import {type RoleName} from './cli_constants.js';
import {createFake, type FakeKind} from './command_fake.js';
import {ControlMember} from './control_member.js';
import {type RoleDependencies} from './role_definition.js';
import {type NamedRole, RoleGroup} from './role_group.js';
import {loadRoleDefinition} from './role_loader.js';
import {roleOf} from './role_of_settings.js';
import {type MeteredRole, registerRoleMetrics} from './role_metrics.js';
import {type FleetSet} from './standalone_set.js';

/** The roles of one process and its control members, not started yet. */
export interface StandaloneFleet {
  readonly group: Role;
  readonly members: readonly ControlMember[];
}

/** Each kind of role after the kinds that it depends on. */
const START_ORDER: readonly RoleName[] = ['control', 'sidecar', 'router'];

function createFakes(settings: readonly ParsedSettings[]): NamedRole[] {
  return settings.flatMap(({sections}): NamedRole[] => {
    const {kind, url} = sections['backend'] ?? {};
    if (kind === undefined || url === undefined) return [];
    const address = parseHostPort(new URL(url).host) as HostPort;
    const name = `${sections['process']?.['name'] ?? url}-backend`;
    return [{name, role: createFake(kind as FakeKind, address)}];
  });
}

async function createMeteredRole(
  kind: RoleName,
  parsed: ParsedSettings,
  dependencies: RoleDependencies,
): Promise<MeteredRole> {
  const definition = await loadRoleDefinition(kind);
  const schema: FileSchema = definition.schema;
  const check = checkSettings(parsed, schema);
  if (!check.ok) throw new SettingsError(check.faults);
  const role = await definition.createRole(check.values, dependencies);
  return {kind, name: parsed.sections['process']?.['name'] ?? '', role};
}

async function createMeteredRoles(
  settings: readonly ParsedSettings[],
  dependencies: RoleDependencies,
): Promise<MeteredRole[]> {
  const roles: MeteredRole[] = [];
  for (const kind of START_ORDER) {
    for (const parsed of settings) {
      if (roleOf(parsed) !== kind) continue;
      roles.push(await createMeteredRole(kind, parsed, dependencies));
    }
  }
  return roles;
}

/**
 * @param set settings of the fleet
 * @param dependencies the dependencies that all roles share
 * @returns the roles
 * @throws SettingsError with the faults of every file
 */
export async function createStandaloneFleet(
  {settings}: FleetSet,
  dependencies: RoleDependencies,
): Promise<StandaloneFleet> {
  const {faults} = checkParsedSettings(settings, {sharedPlatform: true});
  if (faults.length > 0) throw new SettingsError(faults);
  const roles = await createMeteredRoles(settings, dependencies);
  registerRoleMetrics(dependencies.metrics, roles);
  const members = roles.flatMap(({role}) =>
    role instanceof ControlMember ? [role] : [],
  );
  const layers = START_ORDER.map(kind =>
    roles.filter(role => role.kind === kind),
  );
  const group = new RoleGroup(
    [createFakes(settings), ...layers],
    dependencies.clock,
  );
  return {group, members};
}
