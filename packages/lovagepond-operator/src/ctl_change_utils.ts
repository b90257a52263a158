/**
 * Changes of the configuration as `ctl` sends and shows them.
 */
import {type ChangeAnswer} from '@lovagepond/control';
import {type Configuration} from '@lovagepond/core';
import {formatDifference, parseCount} from './ctl_format_utils.js';
import {type CtlCall, type CtlOutput} from './ctl_types.js';
import {type ChangeCall} from './operator_client.js';

type Accepted = Extract<ChangeAnswer, {kind: 'accepted'}>;

/** Options that every change of the configuration takes. */
export const CHANGE_OPTIONS = [
  ['--dry-run', 'check and compare only'],
  ['--base <revision>', 'the revision you looked at (default: the current)'],
  ['--operation-id <id>', 'repeat an earlier call after a lost answer'],
] as const;

/** Options that every other change takes. */
export const OPERATION_OPTIONS = [
  ['--operation-id <id>', 'repeat an earlier call after a lost answer'],
] as const;

/**
 * Reads what a command starts from. With `--base` it is that revision, not the
 * one in force: a command that is repeated after a lost answer must make the
 * very same change, or control takes it for another one under the same id.
 *
 * @param call a run of a command
 * @returns the base revision's configuration
 */
export async function readConfiguration(call: CtlCall): Promise<Configuration> {
  const {base} = call.options;
  const path =
    base === undefined
      ? '/v1/configuration'
      : `/v1/history/${parseCount(base, '--base')}`;
  return (await call.client.read(path)) as Configuration;
}

/**
 * Sends a change of the configuration.
 *
 * @param call the run of the command
 * @param change method, path and body
 * @param baseRevision the revision that the change was made from
 * @returns what to show
 */
export async function sendChange(
  call: CtlCall,
  change: Pick<ChangeCall, 'method' | 'path' | 'body'>,
  baseRevision: number,
): Promise<CtlOutput> {
  const {dryRun = false} = call.options;
  const operationId = operationIdOf(call);
  const accepted = (await call.client.change({
    ...change,
    operationId,
    baseRevision,
    dryRun,
  })) as Accepted;
  const verb = dryRun ? 'would become' : 'is';
  const lines = [
    ...accepted.differences.flatMap(formatDifference),
    `the configuration ${verb} revision ${accepted.revision}`,
  ];
  return {json: {...accepted, operationId, dryRun}, lines};
}

/**
 * @param call a run of a command
 * @returns the id that the operator gave, or a new one
 */
export function operationIdOf(call: CtlCall): string {
  return call.options.operationId ?? call.io.createOperationId();
}
