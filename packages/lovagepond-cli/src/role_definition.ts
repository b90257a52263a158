/**
 * Definition of a role: its settings schema and its factory.
 */
import {
  type Clock,
  type Logger,
  type Random,
  type Role,
} from '@lovagepond/core';
import {
  type FileSchema,
  type FileValues,
  type MetricsRegistry,
} from '@lovagepond/process';
import {type RoleName} from './cli_constants.js';

/** Dependencies that are injected into every role. */
export interface RoleDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  readonly metrics: MetricsRegistry;
}

/** Name, settings schema and factory of a role. */
export interface RoleDefinition<Schema extends FileSchema = FileSchema> {
  readonly name: RoleName;
  readonly schema: Schema;
  /** Creates the role without starting it. */
  createRole(
    values: FileValues<Schema>,
    dependencies: RoleDependencies,
  ): Promise<Role>;
}
