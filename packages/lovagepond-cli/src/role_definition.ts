/**
 * How the program knows a role: its settings file and how it is made.
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

/** What each role is given besides its settings. */
export interface RoleDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  readonly metrics: MetricsRegistry;
}

/** A role as the program knows it. */
export interface RoleDefinition<Schema extends FileSchema = FileSchema> {
  readonly name: RoleName;
  readonly schema: Schema;
  /** Makes the role, not started yet. */
  createRole(
    values: FileValues<Schema>,
    dependencies: RoleDependencies,
  ): Promise<Role>;
}
